"""Regular work on the lots of a gateway: storing, passing on, removing."""

import asyncio
import contextlib

import msgspec

from turmericreach.daemon.lot_calls import LotCall, LotOperation
from turmericreach.daemon.lot_duties import LOT, LotDuties
from turmericreach.daemon.lot_observer import LotObserver
from turmericreach.daemon.lot_runner import LotRunner
from turmericreach.daemon.lot_store import LotStore
from turmericreach.daemon.node import Node
from turmericreach.lots import encode_lot
from turmericreach.objectstore import ObjectStoreError
from turmericreach.rpc import PeerError

__all__ = ["IDLE_S", "RETENTION_S", "LotHousekeeping"]

HOUSEKEEPING_S = 1.0
# A lot that nobody pulls from stops using engines; its next pull starts it again.
IDLE_S = 600.0
# A trainer that falls back to an older checkpoint finds its lot again within this time.
RETENTION_S = 3600.0
HAND_OVER_TIMEOUT_S = 20.0


class LotHousekeeping(LotDuties):
    """Keeps the lots of one gateway in order.

    Parameters
    ----------
    node : Node

    Attributes
    ----------
    runners : dict of str to LotRunner
        Lots that this gateway coordinates.
    """

    def __init__(self, node: Node):
        super().__init__(node)
        self.runners: dict[str, LotRunner] = {}
        self.store = LotStore(node.store)
        self.observer = LotObserver(node)

    async def run(self) -> None:
        """Store cursors and pending lots, and pass on lots whose duty has moved."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            await self.store.flush(self.runners)
            await self.pass_on_moved()
            await self.drop_idle()
            self.observer.count_waste(self.runners)

    async def pass_on_moved(self) -> None:
        """Hand over the lots that another gateway coordinates now."""
        for name, runner in list(self.runners.items()):
            holder = self.coordinator_of(name)
            if holder is not None and holder != self.node.name:
                await self.hand_over(name, runner, holder)

    async def hand_over(self, name: str, runner: LotRunner, holder: str) -> None:
        """Pass one lot on; if the next coordinator cannot take it, the samples are made again."""
        address = self.node.members.records[holder].address
        self.runners.pop(name, None)
        cancelled = runner.is_cancelled()
        body = runner.coordinator.hand_over()
        await runner.stop()
        pending = self.store.pending.pop(name, None) is not None
        call = LotCall(
            LotOperation.TAKE_OVER,
            name,
            body,
            spec=encode_lot(runner.spec),
            pending=pending,
            cancelled=cancelled,
        )
        try:
            client = await self.node.peers.get(address)
            await client.control(LOT, msgspec.json.encode(call), HAND_OVER_TIMEOUT_S)
        except PeerError as error:
            self.node.record_decision(name, "", f"hand-over to {holder} failed", str(error))

    async def drop_idle(self) -> None:
        """Stop lots that nobody pulls from, and remove complete ones after their retention."""
        for name, runner in list(self.runners.items()):
            idle_s = self.node.now() - runner.last_pull
            if runner.is_complete() and idle_s < RETENTION_S:
                continue
            if idle_s < IDLE_S:
                continue
            self.runners.pop(name, None)
            await runner.stop()
            if runner.is_complete():
                await self.remove_quietly(name)

    async def remove_quietly(self, lot: str) -> None:
        """Remove a complete lot from the platform; the sweep tries again what fails."""
        with contextlib.suppress(ObjectStoreError):
            await self.store.remove(lot)

    async def leave(self) -> None:
        """Hand all lots over, for a graceful stop."""
        self.leaving = True
        await self.store.flush(self.runners)
        await self.pass_on_moved()
        for runner in self.runners.values():
            # The lot does not end here: its trainer asks another gateway, or this one's successor.
            runner.coordinator.hand_over()
            await runner.stop()
