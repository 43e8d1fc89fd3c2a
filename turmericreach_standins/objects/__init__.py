"""Stand-in of the platform's object API."""

from turmericreach_standins.objects.app import ObjectsSettings, create_objects
from turmericreach_standins.objects.hosts import HostList
from turmericreach_standins.objects.store import HistoryExpired, NotFound, PreconditionFailed, Store

__all__ = [
    "HistoryExpired",
    "HostList",
    "NotFound",
    "ObjectsSettings",
    "PreconditionFailed",
    "Store",
    "create_objects",
]
