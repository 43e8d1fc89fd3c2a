"""Objects of the metadata store and the errors of its calls."""

from typing import Any

import attrs

from turmericreach.verdicts import TurmericreachError

__all__ = [
    "Conflict",
    "HistoryGone",
    "MetadataError",
    "NotFound",
    "ObjectChange",
    "ObjectPage",
    "OutcomeUnknown",
    "StoredObject",
    "Unavailable",
    "WatchPage",
]


@attrs.frozen
class StoredObject:
    """An object of the metadata store.

    Attributes
    ----------
    kind, name : str
        Kind of the object and its name, which is unique within the kind.
    revision : int
        Store revision of the last change to the object.
    spec, status : any
        The two decoded JSON documents of the object, which are replaced separately.
    """

    kind: str
    name: str
    revision: int
    spec: Any
    status: Any


@attrs.frozen
class ObjectPage:
    """One page of a list of objects.

    Attributes
    ----------
    objects : list of StoredObject
        Objects of the page, in the order of their names.
    revision : int
        Store revision at which the page was read.
    next_after : str or None
        Name after which the next page starts, or None for the last page.
    """

    objects: list[StoredObject]
    revision: int
    next_after: str | None


@attrs.frozen
class ObjectChange:
    """A change of one object.

    Attributes
    ----------
    object : StoredObject
        State after the change, or the last state of an object that was removed.
    removed : bool
        Whether the object was removed.
    """

    object: StoredObject
    removed: bool


@attrs.frozen
class WatchPage:
    """Response to a watch.

    Attributes
    ----------
    changes : list of ObjectChange
        Changes after the requested revision, empty if there were none in time.
    revision : int
        Store revision from which to continue the watch.
    """

    changes: list[ObjectChange]
    revision: int


class MetadataError(TurmericreachError):
    """A call to the metadata store failed."""


class Unavailable(MetadataError):
    """The call had no effect: it was rejected by the store or never sent, or was a read."""


class OutcomeUnknown(MetadataError):
    """The response to a write was lost; the write may have taken effect or may still do so."""


class NotFound(MetadataError):
    """The object does not exist."""


class Conflict(MetadataError):
    """The condition of a write does not hold.

    Attributes
    ----------
    current : StoredObject or None
        Current state of the object, if the response holds it.
    """

    def __init__(self, message: str, current: StoredObject | None = None):
        super().__init__(message)
        self.current = current


class HistoryGone(MetadataError):
    """The revision to watch from is older than the history of changes that is kept."""
