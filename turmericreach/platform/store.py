"""Encoding of calls to the metadata store, and decoding of the responses."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import attrs
import msgspec

from turmericreach.metadata.objects import ObjectChange, ObjectPage, StoredObject, WatchPage
from turmericreach.platform.decoding import DecodeError, Fields, decode_json
from turmericreach.platform.json_parts import split_array, split_object
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
# Entries of targets are kept in memory by every process. Those of the platform take a few hundred
# bytes.
MAX_TARGET_BYTES = 16_384


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
    spec, status = fields.value.get("spec"), fields.value.get("status")
    if kind == TARGETS_KIND and len(msgspec.json.encode([spec, status])) > MAX_TARGET_BYTES:
        raise DecodeError(f"larger than {MAX_TARGET_BYTES} bytes")
    return StoredObject(kind, metadata.text("name"), metadata.integer("revision"), spec, status)


def decode_encoded_object(kind: str, data: bytes) -> tuple[StoredObject, DecodeError | None]:
    """Return an object, and the error if what another writer stored in it cannot be decoded.

    Such an object has neither a spec nor a status. Its name and revision come from the store, so
    that it still replaces what was known under its name.

    Raises
    ------
    DecodeError
        If the name or the revision cannot be decoded.
    """
    try:
        return decode_object(kind, decode_json(data)), None
    except DecodeError as error:
        metadata = Fields(decode_json(split_object(data).get("metadata", b"")), "metadata")
        name, revision = metadata.text("name"), metadata.integer("revision")
        return StoredObject(kind, name, revision, None, None), DecodeError(f"{name}: {error}")


def decode_object_response(kind: str, body: bytes) -> StoredObject:
    """Return the object in the body of a response, without a spec if that cannot be decoded."""
    return decode_encoded_object(kind, body)[0]


def decode_change(kind: str, data: bytes) -> tuple[ObjectChange, DecodeError | None]:
    """Return a change, and the error if its object cannot be decoded."""
    members = split_object(data)
    object, problem = decode_encoded_object(kind, members.get("object", b""))
    removed = decode_json(members.get("removed", b"false"))
    return ObjectChange(object, removed is True), problem


def decode_parts(
    kind: str, decode: Callable[[str, bytes], tuple[Any, DecodeError | None]], parts: list[bytes]
) -> tuple[list[Any], list[DecodeError]]:
    """Return the decoded parts of a page, and an error for each that could not be decoded."""
    found, problems = [], []
    for part in parts:
        try:
            value, problem = decode(kind, part)
            found.append(value)
        except DecodeError as error:
            problem = error
        if problem is not None:
            problems.append(problem)
    return found, problems


def decode_page_response(kind: str, body: bytes) -> tuple[ObjectPage, list[DecodeError]]:
    """Return a page of a list, and an error for each object that could not be decoded.

    A page that cannot be decoded as a whole is split first, so that one object hides no other.
    """
    try:
        fields = Fields(decode_json(body))
        objects = [decode_object(kind, value) for value in fields.list("items")]
        problems: list[DecodeError] = []
    except DecodeError:
        members = split_object(body)
        parts = split_array(members.pop("items", b""))
        fields = Fields({name: decode_json(value) for name, value in members.items()})
        objects, problems = decode_parts(kind, decode_encoded_object, parts)
    has_more = fields.boolean("hasMore", False)
    if has_more and not objects:
        raise DecodeError("no object of the page names where the next one starts")
    next_after = objects[-1].name if has_more else None
    return ObjectPage(objects, fields.integer("storeRevision"), next_after), problems


def decode_watch_response(kind: str, body: bytes) -> tuple[WatchPage, list[DecodeError]]:
    """Return the response to a watch, and an error for each change that could not be decoded.

    It is split as in `decode_page_response` if it cannot be decoded as a whole.
    """
    try:
        fields = Fields(decode_json(body))
        changes = []
        for value in fields.list("events"):
            event = Fields(value)
            object = decode_object(kind, event.value.get("object"))
            changes.append(ObjectChange(object, event.boolean("removed", False)))
        problems: list[DecodeError] = []
    except DecodeError:
        members = split_object(body)
        parts = split_array(members.pop("events", b""))
        fields = Fields({name: decode_json(value) for name, value in members.items()})
        changes, problems = decode_parts(kind, decode_change, parts)
    return WatchPage(changes, fields.integer("storeRevision")), problems
