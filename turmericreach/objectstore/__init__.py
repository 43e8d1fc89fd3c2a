"""The platform's object API: protocol, HTTP client, call budget and confirmed writes."""

from turmericreach.objectstore.budget import CallBudget
from turmericreach.objectstore.confirm import ConfirmedWrite, write_confirmed
from turmericreach.objectstore.errors import (
    Conflict,
    ObjectStoreError,
    RateLimited,
    ResultUnknown,
    Unavailable,
    ValueTooLarge,
    WatchExpired,
)
from turmericreach.objectstore.http import HttpObjectStore
from turmericreach.objectstore.protocol import (
    MAX_VALUE_BYTES,
    EventType,
    HostRecord,
    HostState,
    Listing,
    ObjectStore,
    StoredObject,
    WatchEvent,
    WatchResult,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "CallBudget",
    "Conflict",
    "EventType",
    "HostRecord",
    "HostState",
    "HttpObjectStore",
    "Listing",
    "ObjectStore",
    "ObjectStoreError",
    "RateLimited",
    "ResultUnknown",
    "ConfirmedWrite",
    "StoredObject",
    "Unavailable",
    "ValueTooLarge",
    "WatchEvent",
    "WatchExpired",
    "WatchResult",
    "write_confirmed",
]
