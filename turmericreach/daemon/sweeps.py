"""Regular removal of expired claims and ended lots from the object API."""

import asyncio

from turmericreach.attempts import ClaimCleaner
from turmericreach.daemon.lot_store import LotStore
from turmericreach.daemon.lot_sweep import LotSweeper
from turmericreach.daemon.node import Node
from turmericreach.objectstore import ObjectStoreError
from turmericreach.ownership import owner

__all__ = ["Sweeps"]

CLEAN_INTERVAL_S = 10.0
# Longer than the retention of a complete lot, so that normally its coordinator removes it.
SWEEP_INTERVAL_S = 2 * 3600.0
SWEEP_DUTY = "sweep"


class Sweeps:
    """Removes expired claims, and lots and claims whose processes were lost.

    Parameters
    ----------
    node : Node
        Identity and members of this process.
    lots : LotStore
        Store of the lots.
    claims : ClaimCleaner
        Removes claims of this and of lost processes.
    """

    def __init__(self, node: Node, lots: LotStore, claims: ClaimCleaner):
        self.node = node
        self.lots = LotSweeper(lots)
        self.claims = claims
        self.next_sweep_at = node.now() + SWEEP_INTERVAL_S

    async def run(self) -> None:
        """Remove expired claims at a fixed interval; failed removals are retried next time."""
        while True:
            await asyncio.sleep(CLEAN_INTERVAL_S)
            try:
                await self.claims.remove_expired()
                await self.sweep_when_due()
            except ObjectStoreError:
                continue

    async def sweep_when_due(self) -> None:
        """Sweep lots and claims if a sweep is due and this gateway holds the duty."""
        if self.node.now() < self.next_sweep_at:
            return
        self.next_sweep_at = self.node.now() + SWEEP_INTERVAL_S
        if owner(SWEEP_DUTY, self.node.members.gateways(self.node.now())) != self.node.name:
            self.lots.complete.clear()
            return
        await self.lots.sweep()
        await self.claims.sweep()
