"""JSON bodies and header values of the object API."""

import attrs
import msgspec

from turmericreach.http1 import read_number
from turmericreach.objectstore.errors import Unavailable
from turmericreach.objectstore.protocol import (
    EventType,
    HostRecord,
    Listing,
    StoredObject,
    WatchEvent,
    WatchResult,
)

__all__ = ["etag", "read_etag", "read_hosts", "read_listing", "read_watch"]


@attrs.frozen
class ItemBody:
    """An object in a listing; JSON holds the value in base64."""

    name: str
    version: int
    revision: int
    value: bytes


@attrs.frozen
class ListBody:
    """Response of a listing."""

    revision: int
    items: list[ItemBody]


@attrs.frozen
class EventBody:
    """A change; a deletion may have no value."""

    type: EventType
    name: str
    version: int
    revision: int
    value: bytes | None = None


@attrs.frozen
class WatchBody:
    """Response of a watch."""

    revision: int
    events: list[EventBody]


@attrs.frozen
class HostsBody:
    """Response with the list of hosts."""

    hosts: list[HostRecord]


def etag(version: int) -> str:
    """Return the entity tag of a version."""
    return f'"{version}"'


def read_etag(text: str) -> int | None:
    """Return the version of an entity tag, None if it is malformed."""
    return read_number(text.removeprefix('"').removesuffix('"'))


def read_listing(kind: str, body: bytes) -> Listing:
    """Return the listing in a response body."""
    response = decode(body, ListBody)
    items = [StoredObject(kind, i.name, i.value, i.version, i.revision) for i in response.items]
    return Listing(response.revision, items)


def read_watch(body: bytes) -> WatchResult:
    """Return the changes in a response body."""
    response = decode(body, WatchBody)
    events = [
        WatchEvent(e.type, e.name, e.version, e.revision, e.value or b"") for e in response.events
    ]
    return WatchResult(response.revision, events)


def read_hosts(body: bytes) -> list[HostRecord]:
    """Return the hosts in a response body."""
    return decode(body, HostsBody).hosts


def decode(body, model):
    """Decode a response body; a malformed one counts as a lost response."""
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise Unavailable(f"malformed response: {error}") from None
