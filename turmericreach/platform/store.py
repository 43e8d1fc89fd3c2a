"""Encoding of calls to the metadata store, and decoding of the responses."""

from typing import Any
from urllib.parse import quote

import attrs
import msgspec

from turmericreach.metadata.objects import ObjectChange, ObjectPage, StoredObject, WatchPage
from turmericreach.platform.decoding import DecodeError, Fields, decode_json
from turmericreach.platform.names import OBJECTS_PATH

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "RETIREMENTS_KIND",
    "TARGETS_KIND",
    "VERSIONS_KIND",
    "StoreCall",
    "create_call",
    "decode_object_response",
    "decode_page_response",
    "decode_watch_response",
    "delete_call",
    "get_call",
    "list_call",
    "probe_call",
    "replace_call",
    "stale_list_call",
    "status_call",
    "watch_call",
]

TARGETS_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
VERSIONS_KIND = "versions"
RETIREMENTS_KIND = "retirements"


@attrs.frozen
class StoreCall:
    """HTTP request for one call to the metadata store.

    Attributes
    ----------
    method, target : str
        Request line.
    body : bytes
        JSON body, empty if there is none.
    writes : bool
        Whether the call may change an object.
    """

    method: str
    target: str
    body: bytes = b""
    writes: bool = False


def path(kind: str, name: str | None = None) -> str:
    """Return the path of a kind, or of one object of the kind."""
    base = OBJECTS_PATH + quote(kind, safe="")
    return base if name is None else f"{base}/{quote(name, safe='')}"


def get_call(kind: str, name: str) -> StoreCall:
    """Return the call that reads one object."""
    return StoreCall("GET", path(kind, name))


def probe_call() -> StoreCall:
    """Return the cheapest call: a read of the configuration that may be seconds old."""
    return StoreCall("GET", path(CONFIGURATION_KIND, CONFIGURATION_NAME) + "?staleOk=1")


def list_call(kind: str, after: str | None) -> StoreCall:
    """Return the call that reads a page of the objects of a kind.

    Parameters
    ----------
    kind : str
        Kind to list.
    after : str or None
        Last name of the previous page, or None for the first page.
    """
    query = "" if after is None else f"?after={quote(after, safe='')}"
    return StoreCall("GET", path(kind) + query)


def stale_list_call(kind: str) -> StoreCall:
    """Return the cheap call that reads the first objects of a kind, which may be seconds old."""
    return StoreCall("GET", path(kind) + "?staleOk=1")


def watch_call(kind: str, revision: int, wait_s: float) -> StoreCall:
    """Return the call that waits up to `wait_s` seconds for changes after a revision."""
    return StoreCall("GET", f"{path(kind)}?watch={revision}&waitMs={int(wait_s * 1000)}")


def create_call(kind: str, name: str, spec: Any) -> StoreCall:
    """Return the call that creates an object, provided that it does not exist."""
    body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
    return StoreCall("POST", path(kind), body, writes=True)


def replace_call(kind: str, name: str, spec: Any, revision: int) -> StoreCall:
    """Return the call that replaces the spec of an object if its revision is the given one."""
    body = msgspec.json.encode({"metadata": {"name": name, "revision": revision}, "spec": spec})
    return StoreCall("PUT", path(kind, name), body, writes=True)


def status_call(kind: str, name: str, status: Any, revision: int) -> StoreCall:
    """Return the call that replaces the status of an object if its revision is the given one."""
    body = msgspec.json.encode({"metadata": {"name": name, "revision": revision}, "status": status})
    return StoreCall("PUT", path(kind, name) + "/status", body, writes=True)


def delete_call(kind: str, name: str) -> StoreCall:
    """Return the call that deletes an object."""
    return StoreCall("DELETE", path(kind, name), writes=True)


def decode_object(kind: str, value: Any) -> StoredObject:
    """Return the object that a decoded JSON value describes."""
    fields = Fields(value)
    metadata = fields.object("metadata")
    return StoredObject(
        kind=kind,
        name=metadata.text("name"),
        revision=metadata.integer("revision"),
        spec=fields.value.get("spec"),
        status=fields.value.get("status"),
    )


def decode_object_response(kind: str, body: bytes) -> StoredObject:
    """Return the object in the body of a response."""
    return decode_object(kind, decode_json(body))


def decode_page_response(kind: str, body: bytes) -> tuple[ObjectPage, list[DecodeError]]:
    """Return a page of a list, and an error for each object that could not be decoded."""
    fields = Fields(decode_json(body))
    objects, problems = [], []
    for value in fields.list("items"):
        try:
            objects.append(decode_object(kind, value))
        except DecodeError as error:
            problems.append(error)
    more = fields.boolean("hasMore", False) and objects
    page = ObjectPage(objects, fields.integer("storeRevision"), objects[-1].name if more else None)
    return page, problems


def decode_watch_response(kind: str, body: bytes) -> tuple[WatchPage, list[DecodeError]]:
    """Return the response to a watch, and an error for each change that could not be decoded."""
    fields = Fields(decode_json(body))
    changes, problems = [], []
    for value in fields.list("events"):
        try:
            event = Fields(value)
            changes.append(
                ObjectChange(
                    decode_object(kind, event.value.get("object")), event.boolean("removed", False)
                )
            )
        except DecodeError as error:
            problems.append(error)
    return WatchPage(changes, fields.integer("storeRevision")), problems
