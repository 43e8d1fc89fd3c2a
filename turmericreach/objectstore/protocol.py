"""Interface of the object API, independent of its transport."""

import enum
from typing import Protocol

import attrs

__all__ = [
    "MAX_VALUE_BYTES",
    "EventType",
    "HostRecord",
    "HostState",
    "Listing",
    "ObjectStore",
    "StoredObject",
    "WatchEvent",
    "WatchResult",
]

MAX_VALUE_BYTES = 1_000_000


class EventType(enum.StrEnum):
    """Kind of change that a watch reports."""

    PUT = "put"
    DELETE = "delete"


class HostState(enum.StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class StoredObject:
    """An object and its version.

    Attributes
    ----------
    kind, name : str
        Key of the object.
    value : bytes
        Content of the object.
    version : int
        Version of the object, for conditional calls; never reused for a name.
    revision : int
        Global revision of the store at which the value was current.
    """

    kind: str
    name: str
    value: bytes
    version: int
    revision: int


@attrs.frozen
class Listing:
    """All objects of a kind and the global revision to watch from."""

    revision: int
    items: list[StoredObject]


@attrs.frozen
class WatchEvent:
    """One change of an object; `value` is empty for a deletion."""

    type: EventType
    name: str
    version: int
    revision: int
    value: bytes = b""


@attrs.frozen
class WatchResult:
    """Changes since a revision, and the revision to continue from."""

    revision: int
    events: list[WatchEvent]


@attrs.frozen
class HostRecord:
    """A host in the platform's list."""

    name: str
    address: str
    data_centre: str
    state: HostState


class ObjectStore(Protocol):
    """The object API.

    Every call raises `Unavailable` or `RateLimited` when it had no effect. Writes raise
    `ResultUnknown` when they may have taken effect.
    """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""

    async def put(
        self,
        kind: str,
        name: str,
        value: bytes,
        if_version: int | None = None,
        if_absent: bool = False,
    ) -> StoredObject:
        """Write an object.

        Parameters
        ----------
        if_version : int, optional
            Write only over this version.
        if_absent : bool
            Write only if there is no such object.

        Raises
        ------
        Conflict
            If the condition does not hold.
        ValueTooLarge
            If the value exceeds `MAX_VALUE_BYTES`.
        """

    async def delete(self, kind: str, name: str, if_version: int | None = None) -> bool:
        """Remove an object and return whether there was one."""

    async def watch(self, kind: str, since: int, timeout_s: float) -> WatchResult:
        """Wait for changes after a revision, at most `timeout_s` seconds.

        Raises
        ------
        WatchExpired
            If the revision is too old.
        """

    async def hosts(self) -> "list[HostRecord]":
        """Return the platform's hosts."""
