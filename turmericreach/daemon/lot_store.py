"""Lots and their acknowledged cursors in the object API."""

import attrs

from turmericreach.lots import Cursor, LotSpec, chunk_names, join_lot, lot_objects
from turmericreach.objectstore import Conflict, ObjectStore, ObjectStoreError
from turmericreach.verdicts import RequestError

__all__ = ["LotStore", "StoredLot"]

LOT_KIND = "lots"
CURSOR_KIND = "lot-cursors"


@attrs.frozen
class StoredLot:
    """A lot as the platform holds it."""

    spec: LotSpec
    cursor: Cursor


class LotStore:
    """Reads and writes lots.

    Attributes
    ----------
    pending : dict of str to LotSpec
        Lots that could not be stored yet.
    cursors : dict of str to Cursor
        Acknowledged cursors that are not stored yet; at most one write a second for each lot.
    """

    def __init__(self, store: ObjectStore):
        self.store = store
        self.pending: dict[str, LotSpec] = {}
        self.cursors: dict[str, Cursor] = {}

    async def save(self, spec: LotSpec) -> None:
        """Store a lot; the head is written last, as its commit point.

        Raises
        ------
        ObjectStoreError
            If the lot may not be stored; the call can be repeated.
        """
        for name, value in lot_objects(spec):
            try:
                await self.store.put(LOT_KIND, name, value, if_absent=True)
            except Conflict:
                # Chunk names hold the digest of the content, so the chunk is the same. A head
                # that exists is compared by the caller when it loads the lot.
                continue

    async def load(self, lot: str) -> StoredLot | None:
        """Return a stored lot, or None if there is none.

        Raises
        ------
        ObjectStoreError
            If the platform does not answer.
        """
        head = await self.store.get(LOT_KIND, lot)
        if head is None:
            return None
        objects = [(lot, head.value)]
        for name in chunk_names(head.value):
            chunk = await self.store.get(LOT_KIND, name)
            if chunk is not None:
                objects.append((name, chunk.value))
        try:
            spec = join_lot(objects)
        except RequestError:
            return None
        stored = await self.store.get(CURSOR_KIND, lot)
        cursor = Cursor(spec.size)
        if stored is not None:
            cursor = Cursor.decode(stored.value.decode(), spec.size)
        return StoredLot(spec, cursor)

    def note_cursor(self, lot: str, cursor: Cursor) -> None:
        """Remember a cursor for the next flush."""
        self.cursors[lot] = cursor

    async def flush(self, runners) -> None:
        """Store what is pending; what fails is tried at the next flush."""
        for lot, spec in list(self.pending.items()):
            if lot not in runners:
                self.pending.pop(lot)
                continue
            try:
                await self.save(spec)
            except ObjectStoreError:
                return
            self.pending.pop(lot)
        for lot, cursor in list(self.cursors.items()):
            try:
                await self.save_cursor(lot, cursor)
            except ObjectStoreError:
                return
            if self.cursors.get(lot) is cursor:
                self.cursors.pop(lot)

    async def save_cursor(self, lot: str, cursor: Cursor) -> None:
        """Store the union of a cursor and the stored one, so that a cursor never shrinks."""
        current = await self.store.get(CURSOR_KIND, lot)
        if current is None:
            await self.store.put(CURSOR_KIND, lot, cursor.encode().encode(), if_absent=True)
            return
        merged = cursor.union(Cursor.decode(current.value.decode(), cursor.size))
        await self.store.put(CURSOR_KIND, lot, merged.encode().encode(), if_version=current.version)

    async def remove(self, lot: str) -> None:
        """Remove a cancelled lot; the head goes first, so that it cannot be opened again.

        Raises
        ------
        ObjectStoreError
            If the head may still be stored.
        """
        self.pending.pop(lot, None)
        self.cursors.pop(lot, None)
        head = await self.store.get(LOT_KIND, lot)
        if head is None:
            return
        await self.store.delete(LOT_KIND, lot)
        for name in chunk_names(head.value):
            await self.store.delete(LOT_KIND, name)
        await self.store.delete(CURSOR_KIND, lot)
