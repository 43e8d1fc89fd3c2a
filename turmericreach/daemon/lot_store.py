"""Lots and their acknowledged cursors in the object API."""

import asyncio

import attrs
import msgspec

from turmericreach.lots import (
    Cursor,
    LotSpec,
    chunk_names,
    join_lot,
    lot_digest,
    lot_objects,
)
from turmericreach.objectstore import Conflict, ObjectStore, ObjectStoreError
from turmericreach.verdicts import RequestError

__all__ = ["CURSOR_KIND", "LOT_KIND", "LotStore", "StoredCursor", "StoredLot"]

LOT_KIND = "lots"
CURSOR_KIND = "lot-cursors"


@attrs.frozen
class StoredLot:
    """A lot as the platform holds it."""

    spec: LotSpec
    cursor: Cursor


@attrs.frozen
class StoredCursor:
    """Value of a cursor object.

    The object is named by the lot and the digest of its content, so that another lot of the same
    name does not begin with this cursor.
    """

    lot: str
    size: int
    cursor: str

    def decode(self) -> Cursor:
        """Return the cursor."""
        return Cursor.decode(self.cursor, self.size)


class LotStore:
    """Reads and writes lots.

    Attributes
    ----------
    pending : dict of str to LotSpec
        Lots that could not be stored yet.
    cursors : dict of str to (LotSpec, Cursor)
        Acknowledged cursors that are not stored yet; at most one write a second for each lot.
    writing : asyncio.Lock
        Keeps a cursor from being written while its lot is removed.
    """

    def __init__(self, store: ObjectStore):
        self.store = store
        self.pending: dict[str, LotSpec] = {}
        self.cursors: dict[str, tuple[LotSpec, Cursor]] = {}
        self.writing = asyncio.Lock()

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
        stored = await self.store.get(CURSOR_KIND, cursor_name(spec))
        cursor = Cursor(spec.size)
        if stored is not None:
            cursor = msgspec.json.decode(stored.value, type=StoredCursor).decode()
        return StoredLot(spec, cursor)

    def note_cursor(self, spec: LotSpec, cursor: Cursor) -> None:
        """Remember a cursor for the next flush."""
        self.cursors[spec.name] = (spec, cursor)

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
        async with self.writing:
            await self.flush_cursors()

    async def flush_cursors(self) -> None:
        """Store the cursors that are not stored yet."""
        for lot, noted in list(self.cursors.items()):
            try:
                await self.save_cursor(*noted)
            except ObjectStoreError:
                return
            if self.cursors.get(lot) is noted:
                self.cursors.pop(lot)

    async def save_cursor(self, spec: LotSpec, cursor: Cursor) -> None:
        """Store the union of a cursor and the stored one, so that a cursor never shrinks."""
        name = cursor_name(spec)
        current = await self.store.get(CURSOR_KIND, name)
        if current is None:
            await self.store.put(CURSOR_KIND, name, encode_cursor(spec, cursor), if_absent=True)
            return
        held = msgspec.json.decode(current.value, type=StoredCursor).decode()
        value = encode_cursor(spec, cursor.union(held))
        await self.store.put(CURSOR_KIND, name, value, if_version=current.version)

    async def remove(self, lot: str) -> None:
        """Remove a lot that ended; the head goes first, so that it cannot be opened again.

        Raises
        ------
        ObjectStoreError
            If the head may still be stored.
        """
        self.pending.pop(lot, None)
        self.cursors.pop(lot, None)
        async with self.writing:
            stored = await self.load(lot)
            head = await self.store.get(LOT_KIND, lot)
            if head is None:
                return
            await self.store.delete(LOT_KIND, lot)
            for name in chunk_names(head.value):
                await self.store.delete(LOT_KIND, name)
            if stored is not None:
                await self.store.delete(CURSOR_KIND, cursor_name(stored.spec))


def cursor_name(spec: LotSpec) -> str:
    """Return the name of a lot's cursor object."""
    return f"{spec.name}.{lot_digest(spec)}"


def encode_cursor(spec: LotSpec, cursor: Cursor) -> bytes:
    """Return the value of a lot's cursor object."""
    return msgspec.json.encode(StoredCursor(spec.name, spec.size, cursor.encode()))
