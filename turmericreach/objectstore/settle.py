"""A conditional write that settles a lost answer."""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from turmericreach.objectstore.errors import (
    Conflict,
    ObjectStoreError,
    RateLimited,
    ResultUnknown,
    Unavailable,
)
from turmericreach.objectstore.protocol import ObjectStore, StoredObject

__all__ = ["Settled", "write_settled"]

MAX_TRIES = 5
FIRST_DELAY_S = 0.05
MAX_DELAY_S = 2.0


@attrs.frozen
class Settled:
    """Result of `write_settled`.

    Attributes
    ----------
    stored : StoredObject or None
        The object as last seen.
    written : bool
        Whether the change of this call took effect; False if `make_value` had nothing to write.
    """

    stored: StoredObject | None
    written: bool


@attrs.define
class PendingWrite:
    """A write whose answer was lost, and the change id of the value it was to replace."""

    change_id: str
    base_id: str
    base_version: int | None


async def write_settled(
    store: ObjectStore,
    kind: str,
    name: str,
    make_value: Callable[[StoredObject | None], bytes | None],
    change_id_of: Callable[[bytes], str],
    lineage_of: Callable[[bytes], Sequence[str]] | None = None,
    max_tries: int = MAX_TRIES,
) -> Settled:
    """Write an object conditionally; settle a lost answer by reading the object back.

    Parameters
    ----------
    make_value : callable
        Takes the current object and returns the new value, or None if there is nothing to write.
        Each value of one call has to carry the same change id.
    change_id_of : callable
        Returns the change id in a value.
    lineage_of : callable, optional
        Returns change ids in a value, newest first, without gaps; an empty text stands for the
        state before the first write. It proves that a write did not take effect when another
        writer has changed the object since.
    max_tries : int
        Largest number of writes, and of reads after each.

    Returns
    -------
    Settled

    Raises
    ------
    ResultUnknown
        If the write may have taken effect.
    Conflict
        If others won every time; the write had no effect.
    ObjectStoreError
        If the object API failed in another way; the write had no effect.
    """
    write = SettledWrite(store, kind, name, make_value, change_id_of, lineage_of)
    try:
        return await write.run(max_tries)
    except ResultUnknown:
        raise
    except Exception as error:
        # Whatever ends the call, a write that may still take effect must not be denied.
        if write.pending is not None:
            raise ResultUnknown(f"{kind}/{name}: not settled, last error: {error}") from error
        raise


class SettledWrite:
    """State of one call of `write_settled`.

    Attributes
    ----------
    pending : PendingWrite or None
        The write whose answer was lost, until it is settled.
    """

    def __init__(self, store, kind, name, make_value, change_id_of, lineage_of):
        self.store = store
        self.kind = kind
        self.name = name
        self.make_value = make_value
        self.change_id_of = change_id_of
        self.lineage_of = lineage_of
        self.pending: PendingWrite | None = None

    async def run(self, max_tries: int) -> Settled:
        """Try until the write is settled or the tries are used up."""
        last_error: ObjectStoreError = Conflict(f"{self.kind}/{self.name}: others won every time")
        for number in range(max_tries):
            if number:
                await asyncio.sleep(delay_s(number, last_error))
            try:
                return await self.try_once()
            except (Conflict, Unavailable, AnswerLost) as error:
                last_error = error
        if self.pending is not None:
            current = await self.store.get(self.kind, self.name)
            if self.settles(current):
                return Settled(current, True)
            if self.pending is None:
                raise Conflict(f"{self.kind}/{self.name}: others won every time")
        raise last_error

    async def try_once(self) -> Settled:
        """Read, settle what is pending, and write."""
        current = await self.store.get(self.kind, self.name)
        if self.settles(current):
            return Settled(current, True)
        value = self.make_value(current)
        if value is None and self.pending is not None:
            raise ResultUnknown("nothing more to write, but an earlier write may take effect")
        if value is None:
            return Settled(current, False)
        change_id = self.change_id_of(value)
        base_id = "" if current is None else self.change_id_of(current.value)
        if current is not None and base_id == change_id:
            return Settled(current, True)
        try:
            stored = await put(self.store, self.kind, self.name, value, current)
        except ResultUnknown as error:
            self.pending = PendingWrite(change_id, base_id, version_of(current))
            raise AnswerLost(str(error)) from None
        return Settled(stored, True)

    def settles(self, current: StoredObject | None) -> bool:
        """Return whether the object shows that the pending write took effect.

        A write that cannot take effect any more is no longer pending.
        """
        if self.pending is None:
            return False
        if settle(self.pending, current, self.change_id_of, self.lineage_of):
            return True
        if version_of(current) != self.pending.base_version:
            self.pending = None
        return False


class AnswerLost(ObjectStoreError):
    """The answer of a write was lost, and the write is not settled yet."""


def settle(pending: PendingWrite, current: StoredObject | None, change_id_of, lineage_of) -> bool:
    """Return whether a pending write took effect; it may still do so while the version is old.

    Raises
    ------
    ResultUnknown
        If the object changed since and does not show whether the write was among the changes.
    """
    if version_of(current) == pending.base_version:
        return False
    if current is None:
        raise ResultUnknown("the object was deleted after the answer of a write was lost")
    if change_id_of(current.value) == pending.change_id:
        return True
    lineage = lineage_of(current.value) if lineage_of else ()
    if pending.change_id in lineage:
        return True
    if pending.base_id in lineage:
        return False
    raise ResultUnknown("another writer changed the object after the answer of a write was lost")


async def put(store, kind, name, value, current) -> StoredObject:
    """Write over what was read."""
    if current is None:
        return await store.put(kind, name, value, if_absent=True)
    return await store.put(kind, name, value, if_version=current.version)


def version_of(stored: StoredObject | None) -> int | None:
    """Return the version of an object, None if there is none."""
    return None if stored is None else stored.version


def delay_s(number: int, error: ObjectStoreError) -> float:
    """Return the pause before a further try."""
    if isinstance(error, RateLimited):
        return min(error.retry_after_s, MAX_DELAY_S)
    return min(FIRST_DELAY_S * 2 ** (number - 1), MAX_DELAY_S)
