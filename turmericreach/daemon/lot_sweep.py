"""Removal of complete lots whose coordinator was lost before it removed them."""

import msgspec

from turmericreach.daemon.lot_store import CURSOR_KIND, LotStore, StoredCursor

__all__ = ["LotSweeper"]


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
