"""Periodic maintenance of the lots of a gateway: storing, handover and removal."""

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

__all__ = ["IDLE_TIMEOUT_S", "RETENTION_S", "LotHousekeeping"]

HOUSEKEEPING_INTERVAL_S = 1.0
# A lot without pulls for this time stops using engines; its next pull starts it again.
IDLE_TIMEOUT_S = 600.0
# Time for which a complete lot is kept after its last pull, so that a trainer that returns to an
# older checkpoint still finds it.
RETENTION_S = 3600.0
HANDOVER_TIMEOUT_S = 20.0


class LotHousekeeping(LotDuties):
    """Stores, hands over and removes the lots of one gateway.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.

    Attributes
    ----------
    runners : dict of str to LotRunner
        Lots that this gateway coordinates, by name.
    store : LotStore
        Storage of lots and cursors.
    observer : LotObserver
        Log, audit and metrics of the lots.
    """

    def __init__(self, node: Node):
        super().__init__(node)
        self.runners: dict[str, LotRunner] = {}
        self.store = LotStore(node.store)
        self.observer = LotObserver(node)

    async def run(self) -> None:
        """Do all maintenance once a second."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            await self.store.flush(self.runners)
            await self.hand_over_moved_lots()
            await self.remove_idle_lots()
            self.observer.count_discarded(self.runners)

    async def hand_over_moved_lots(self) -> None:
        """Hand over the lots whose duty has moved to another gateway."""
        for name, runner in list(self.runners.items()):
            coordinator_name = self.coordinator_of(name)
            if coordinator_name is not None and coordinator_name != self.node.name:
                await self.hand_over_lot(name, runner, coordinator_name)

    async def hand_over_lot(self, name: str, runner: LotRunner, coordinator_name: str) -> None:
        """Hand over one lot.

        If the new coordinator cannot be reached, it generates the finished samples again.
        """
        address = self.node.members.records[coordinator_name].address
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
            await client.control(LOT, msgspec.json.encode(call), HANDOVER_TIMEOUT_S)
        except PeerError as error:
            self.node.record_decision(
                name, "", f"handover to {coordinator_name} failed", str(error)
            )

    async def remove_idle_lots(self) -> None:
        """Stop lots without recent pulls, and remove complete ones after their retention time."""
        for name, runner in list(self.runners.items()):
            idle_s = self.node.now() - runner.last_pull_at
            # Stopping a runner cancels its lot, which then counts as complete.
            was_complete = runner.is_complete()
            if was_complete and idle_s < RETENTION_S:
                continue
            if idle_s < IDLE_TIMEOUT_S:
                continue
            self.runners.pop(name, None)
            await runner.stop()
            if was_complete:
                await self.try_remove(name)

    async def try_remove(self, lot: str) -> None:
        """Remove a complete lot from the platform; the sweep retries a removal that failed."""
        with contextlib.suppress(ObjectStoreError):
            await self.store.remove(lot)

    async def leave(self) -> None:
        """Hand over all lots before a graceful stop."""
        self.leaving = True
        await self.store.flush(self.runners)
        await self.hand_over_moved_lots()
        for runner in self.runners.values():
            # Without another gateway, the lot is only marked as handed over, not cancelled, so
            # that its trainer retries at another gateway or at the next process on this host.
            runner.coordinator.hand_over()
            await runner.stop()
