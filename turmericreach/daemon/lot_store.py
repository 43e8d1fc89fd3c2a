"""Storage of lots and their acknowledged cursors in the object API."""

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
    """A lot read from the object API.

    Attributes
    ----------
    spec : LotSpec
        Content of the lot.
    cursor : Cursor
        Acknowledged samples, empty if no cursor was stored.
    """

    spec: LotSpec
    cursor: Cursor


@attrs.frozen
class StoredCursor:
    """Value of a cursor object.

    The name of the object consists of the name of the lot and the digest of its content, so that
    another lot of the same name does not start with this cursor.

    Attributes
    ----------
    lot : str
        Name of the lot.
    size : int
        Number of samples of the lot.
    cursor : str
        Encoded cursor.
    """

    lot: str
    size: int
    cursor: str

    def decode(self) -> Cursor:
        """Return the decoded cursor."""
        return Cursor.decode(self.cursor, self.size)


class LotStore:
    """Reads and writes lots in the object API.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API.

    Attributes
    ----------
    pending : dict of str to LotSpec
        Lots that could not be stored yet, by name.
    pending_cursors : dict of str to (LotSpec, Cursor)
        Acknowledged cursors that are not stored yet, by name of the lot; each flush, once a
        second, writes the latest of a lot.
    cursor_lock : asyncio.Lock
        Held while cursors are written or a lot is removed, so that a cursor is not written while
        its lot is removed.
    """

    def __init__(self, store: ObjectStore):
        self.store = store
        self.pending: dict[str, LotSpec] = {}
        self.pending_cursors: dict[str, tuple[LotSpec, Cursor]] = {}
        self.cursor_lock = asyncio.Lock()

    async def save(self, spec: LotSpec) -> None:
        """Store a lot; its head object is written last and commits it.

        Raises
        ------
        ObjectStoreError
            If the lot is possibly not stored; the call can be repeated.
        """
        for name, value in lot_objects(spec):
            try:
                await self.store.put(LOT_KIND, name, value, if_absent=True)
            except Conflict:
                # The name of a chunk contains the digest of its content, so the existing chunk is
                # equal. The caller compares an existing head when it loads the lot.
                continue

    async def load(self, lot: str) -> StoredLot | None:
        """Return a stored lot, or None if there is none or it is incomplete.

        Raises
        ------
        ObjectStoreError
            If the object API is unavailable.
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

    def queue_cursor(self, spec: LotSpec, cursor: Cursor) -> None:
        """Queue a cursor for the next flush."""
        self.pending_cursors[spec.name] = (spec, cursor)

    async def flush(self, runners) -> None:
        """Store pending lots and cursors; those that fail are retried at the next flush.

        Pending lots without a runner in `runners` are dropped.
        """
        for lot, spec in list(self.pending.items()):
            if lot not in runners:
                self.pending.pop(lot)
                continue
            try:
                await self.save(spec)
            except ObjectStoreError:
                return
            self.pending.pop(lot)
        async with self.cursor_lock:
            await self.flush_cursors()

    async def flush_cursors(self) -> None:
        """Store the pending cursors."""
        for lot, queued in list(self.pending_cursors.items()):
            try:
                await self.save_cursor(*queued)
            except ObjectStoreError:
                return
            if self.pending_cursors.get(lot) is queued:
                self.pending_cursors.pop(lot)

    async def save_cursor(self, spec: LotSpec, cursor: Cursor) -> None:
        """Store the union of a cursor and the stored one, so that no acknowledgement is lost."""
        name = cursor_name(spec)
        current = await self.store.get(CURSOR_KIND, name)
        if current is None:
            await self.store.put(CURSOR_KIND, name, encode_cursor(spec, cursor), if_absent=True)
            return
        stored_cursor = msgspec.json.decode(current.value, type=StoredCursor).decode()
        value = encode_cursor(spec, cursor.union(stored_cursor))
        await self.store.put(CURSOR_KIND, name, value, if_version=current.version)

    async def remove(self, lot: str) -> None:
        """Remove a lot; its head is deleted first, so that it cannot be opened again.

        Raises
        ------
        ObjectStoreError
            If a part of the lot may still be stored.
        """
        self.pending.pop(lot, None)
        self.pending_cursors.pop(lot, None)
        async with self.cursor_lock:
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
    """Return the name of the cursor object of a lot."""
    return f"{spec.name}.{lot_digest(spec)}"


def encode_cursor(spec: LotSpec, cursor: Cursor) -> bytes:
    """Return the value of the cursor object of a lot."""
    return msgspec.json.encode(StoredCursor(spec.name, spec.size, cursor.encode()))
