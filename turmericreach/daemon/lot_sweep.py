"""Removal of complete lots whose coordinator stopped before it removed them."""

import msgspec

from turmericreach.daemon.lot_store import CURSOR_KIND, LotStore, StoredCursor

__all__ = ["LotSweeper"]


class LotSweeper:
    """Removes lots that were complete in two consecutive sweeps.

    Parameters
    ----------
    store : LotStore
        Storage of lots and cursors.

    Attributes
    ----------
    complete_last_time : set of str
        Lots that were first found complete in the last sweep.
    """

    def __init__(self, store: LotStore):
        self.store = store
        self.complete_last_time: set[str] = set()

    async def sweep(self) -> None:
        """Check every stored cursor once and remove the lots that are complete again.

        Raises
        ------
        ObjectStoreError
            If a call to the object API failed; the next sweep repeats the check.
        """
        listing = await self.store.store.list(CURSOR_KIND)
        complete = set()
        for item in listing.items:
            stored = msgspec.json.decode(item.value, type=StoredCursor)
            if stored.decode().count() == stored.size:
                complete.add(stored.lot)
        for lot in sorted(complete & self.complete_last_time):
            await self.store.remove(lot)
        self.complete_last_time = complete - self.complete_last_time
