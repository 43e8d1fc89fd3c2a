"""Client of the platform's metadata store, and local mirrors of the objects of a kind."""

from turmericreach.metadata.client import MetadataClient
from turmericreach.metadata.mirror import KindMirror
from turmericreach.metadata.objects import (
    Conflict,
    HistoryGone,
    MetadataError,
    NotFound,
    ObjectChange,
    ObjectPage,
    OutcomeUnknown,
    StoredObject,
    Unavailable,
    WatchPage,
)

__all__ = [
    "Conflict",
    "HistoryGone",
    "KindMirror",
    "MetadataClient",
    "MetadataError",
    "NotFound",
    "ObjectChange",
    "ObjectPage",
    "OutcomeUnknown",
    "StoredObject",
    "Unavailable",
    "WatchPage",
]
