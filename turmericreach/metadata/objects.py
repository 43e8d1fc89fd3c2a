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
    """An object.

    Attributes
    ----------
    kind, name : str
        Where it is stored.
    revision : int
        Revision of its last change.
    spec, status : any
        Its two documents.
    """

    kind: str
    name: str
    revision: int
    spec: Any
    status: Any


@attrs.frozen
class ObjectPage:
    """A part of a kind's objects; `next_after` continues the list unless it is None."""

    objects: list[StoredObject]
    revision: int
    next_after: str | None


@attrs.frozen
class ObjectChange:
    """A change of one object; `removed` objects are as they were last."""

    object: StoredObject
    removed: bool


@attrs.frozen
class WatchPage:
    """Changes after a revision, and the revision to go on from."""

    changes: list[ObjectChange]
    revision: int


class MetadataError(TurmericreachError):
    """A call to the store failed."""


class Unavailable(MetadataError):
    """The call had no effect: refused, turned away, or never sent."""


class OutcomeUnknown(MetadataError):
    """No answer came; a write may have been done, or may still be done."""


class NotFound(MetadataError):
    """There is no such object."""


class Conflict(MetadataError):
    """A write's condition does not hold.

    Attributes
    ----------
    current : StoredObject or None
        The object as it is, where the store told it.
    """

    def __init__(self, message: str, current: StoredObject | None = None):
        super().__init__(message)
        self.current = current


class HistoryGone(MetadataError):
    """A watch starts before the history that is kept."""
