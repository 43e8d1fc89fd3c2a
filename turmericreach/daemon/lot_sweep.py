"""Removal of complete lots whose coordinator was lost before it removed them."""

import asyncio
import contextlib

import msgspec

from turmericreach.daemon.lot_store import CURSOR_KIND, LotStore, StoredCursor
from turmericreach.daemon.node import Node
from turmericreach.objectstore import ObjectStoreError
from turmericreach.ownership import owner

__all__ = ["LotSweeper", "run_sweeps"]

# Longer than the retention of a complete lot, so that its coordinator comes first.
SWEEP_INTERVAL_S = 2 * 3600.0
SWEEP_DUTY = "lot-sweep"


class LotSweeper:
    """Removes lots that were complete at two sweeps in a row.

    Parameters
    ----------
    store : LotStore
    """

    def __init__(self, store: LotStore):
        self.store = store
        self.complete: set[str] = set()

    async def sweep(self) -> None:
        """Look at every stored cursor once; raises `ObjectStoreError`."""
        listing = await self.store.store.list(CURSOR_KIND)
        complete = set()
        for item in listing.items:
            stored = msgspec.json.decode(item.value, type=StoredCursor)
            if stored.decode().count() == stored.size:
                complete.add(stored.lot)
        for lot in sorted(complete & self.complete):
            await self.store.remove(lot)
        self.complete = complete - self.complete


async def run_sweeps(node: Node, store: LotStore) -> None:
    """Sweep regularly while this gateway holds the duty."""
    sweeper = LotSweeper(store)
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        if owner(SWEEP_DUTY, node.members.gateways(node.now())) != node.name:
            sweeper.complete.clear()
            continue
        with contextlib.suppress(ObjectStoreError):
            await sweeper.sweep()
