"""Conditional writes that establish the outcome of a lost response."""

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

__all__ = ["ConfirmedWrite", "write_confirmed"]

MAX_ATTEMPTS = 5
FIRST_DELAY_S = 0.05
MAX_DELAY_S = 2.0


@attrs.frozen
class ConfirmedWrite:
    """Result of `write_confirmed`.

    Attributes
    ----------
    stored : StoredObject or None
        The object as last read or written.
    written : bool
        Whether the change of this call took effect; False if `make_value` had nothing to write.
    """

    stored: StoredObject | None
    written: bool


@attrs.define
class PendingWrite:
    """A write whose response was lost.

    Attributes
    ----------
    change_id : str
        Change id of the written value.
    base_id : str
        Change id of the value that it was to replace, empty if there was none.
    base_version : int or None
        Version that it was to replace, None if there was no object.
    """

    change_id: str
    base_id: str
    base_version: int | None


async def write_confirmed(
    store: ObjectStore,
    kind: str,
    name: str,
    make_value: Callable[[StoredObject | None], bytes | None],
    change_id_of: Callable[[bytes], str],
    lineage_of: Callable[[bytes], Sequence[str]] | None = None,
    max_attempts: int = MAX_ATTEMPTS,
) -> ConfirmedWrite:
    """Write an object conditionally; after a lost response, read it back to establish the outcome.

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
    max_attempts : int
        Largest number of attempts, each of one read and one write.

    Returns
    -------
    ConfirmedWrite

    Raises
    ------
    ResultUnknown
        If the write may have taken effect.
    Conflict
        If another writer changed the object at every attempt; the write had no effect.
    ObjectStoreError
        If the object API failed in another way; the write had no effect.
    """
    write = WriteOperation(store, kind, name, make_value, change_id_of, lineage_of)
    try:
        return await write.run(max_attempts)
    except ResultUnknown:
        raise
    except Exception as error:
        # However the call ends, a write that may still take effect must not be reported as failed.
        if write.pending is not None:
            raise ResultUnknown(
                f"{kind}/{name}: outcome of the write is unknown, last error: {error}"
            ) from error
        raise


class WriteOperation:
    """State of one call of `write_confirmed`.

    Attributes
    ----------
    pending : PendingWrite or None
        The write whose response was lost, until its outcome is known.
    """

    def __init__(self, store, kind, name, make_value, change_id_of, lineage_of):
        self.store = store
        self.kind = kind
        self.name = name
        self.make_value = make_value
        self.change_id_of = change_id_of
        self.lineage_of = lineage_of
        self.pending: PendingWrite | None = None

    async def run(self, max_attempts: int) -> ConfirmedWrite:
        """Repeat until the outcome of the write is known or the attempts are used up."""
        last_error: ObjectStoreError = Conflict(
            f"{self.kind}/{self.name}: another writer changed the object at every attempt"
        )
        for number in range(max_attempts):
            if number:
                await asyncio.sleep(delay_s(number, last_error))
            try:
                return await self.attempt_write()
            except (Conflict, Unavailable, ResponseLost) as error:
                last_error = error
        if self.pending is not None:
            current = await self.store.get(self.kind, self.name)
            if self.confirms_pending(current):
                return ConfirmedWrite(current, True)
            if self.pending is None:
                raise Conflict(
                    f"{self.kind}/{self.name}: another writer changed the object at every attempt"
                )
        raise last_error

    async def attempt_write(self) -> ConfirmedWrite:
        """Read the object, establish the outcome of a pending write, and write."""
        current = await self.store.get(self.kind, self.name)
        if self.confirms_pending(current):
            return ConfirmedWrite(current, True)
        value = self.make_value(current)
        if value is None and self.pending is not None:
            raise ResultUnknown("nothing more to write, but an earlier write may take effect")
        if value is None:
            return ConfirmedWrite(current, False)
        change_id = self.change_id_of(value)
        base_id = "" if current is None else self.change_id_of(current.value)
        if current is not None and base_id == change_id:
            return ConfirmedWrite(current, True)
        try:
            stored = await put(self.store, self.kind, self.name, value, current)
        except ResultUnknown as error:
            self.pending = PendingWrite(change_id, base_id, version_of(current))
            raise ResponseLost(str(error)) from None
        return ConfirmedWrite(stored, True)

    def confirms_pending(self, current: StoredObject | None) -> bool:
        """Return whether the object shows that the pending write took effect.

        A write that can no longer take effect stops being pending.
        """
        if self.pending is None:
            return False
        if took_effect(self.pending, current, self.change_id_of, self.lineage_of):
            return True
        if version_of(current) != self.pending.base_version:
            self.pending = None
        return False


class ResponseLost(ObjectStoreError):
    """The response to a write was lost, and its outcome is not known yet."""


def took_effect(
    pending: PendingWrite, current: StoredObject | None, change_id_of, lineage_of
) -> bool:
    """Return whether a pending write took effect.

    As long as the object has the version before the write, it may still take effect.

    Raises
    ------
    ResultUnknown
        If the object changed since and does not show whether the write was among the changes.
    """
    if version_of(current) == pending.base_version:
        return False
    if current is None:
        raise ResultUnknown("the object was deleted after the response to a write was lost")
    if change_id_of(current.value) == pending.change_id:
        return True
    lineage = lineage_of(current.value) if lineage_of else ()
    if pending.change_id in lineage:
        return True
    if pending.base_id in lineage:
        return False
    raise ResultUnknown("another writer changed the object after the response to a write was lost")


async def put(store, kind, name, value, current) -> StoredObject:
    """Write an object on condition that it is unchanged since it was read."""
    if current is None:
        return await store.put(kind, name, value, if_absent=True)
    return await store.put(kind, name, value, if_version=current.version)


def version_of(stored: StoredObject | None) -> int | None:
    """Return the version of an object, None if there is none."""
    return None if stored is None else stored.version


def delay_s(number: int, error: ObjectStoreError) -> float:
    """Return the delay before a further attempt, in seconds."""
    if isinstance(error, RateLimited):
        return min(error.retry_after_s, MAX_DELAY_S)
    return min(FIRST_DELAY_S * 2 ** (number - 1), MAX_DELAY_S)
