"""Stand-in of the platform's metadata store: objects, watches and conditional writes."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote

import attrs

from turmericreach.http1 import HttpServer, Request, Responder

__all__ = ["StoreFaults", "StoreStandIn"]

OBJECTS_PREFIX = "/api/objects/"
PAGE_ITEMS = 500
# Delay of the writes that the fault `late_writes` affects, in seconds.
LATE_WRITE_S = 1.0


@attrs.define
class StoreFaults:
    """Faults that the store currently simulates.

    Attributes
    ----------
    refuse : bool
        Reject every call with status 503.
    silent : bool
        Apply no call and send no response.
    lose_write_responses : int
        Number of next writes that are applied without a response.
    silent_kind : str
        Kind whose writes are all applied without a response, empty for none.
    garbled_write_responses : int
        Number of next writes that are applied and whose response cannot be decoded.
    late_writes : int
        Number of next writes that are applied only after `LATE_WRITE_S` and without a response.
    delay_s : float
        Delay of each call in seconds.
    refused_clients : set of str
        IP addresses of clients whose calls are rejected with status 503.
    stalled_watches : int
        Number of next watches that get no response.
    write_status : int or None
        Status of the responses to all writes, which are applied; None for the usual one.
    endless : bytes
        Bytes that are sent without end in place of each response, empty for none.
    rejected_writes : int
        Number of next writes, after those whose responses are lost, that are rejected with 400.
    """

    refuse: bool = False
    silent: bool = False
    lose_write_responses: int = 0
    silent_kind: str = ""
    garbled_write_responses: int = 0
    late_writes: int = 0
    delay_s: float = 0.0
    refused_clients: set[str] = attrs.field(factory=set)
    stalled_watches: int = 0
    write_status: int | None = None
    endless: bytes = b""
    rejected_writes: int = 0


class StoreStandIn:
    """Serves the metadata store's interface over HTTP.

    Attributes
    ----------
    objects : dict of (str, str) to dict
        Objects by kind and name, in the form in which they are sent.
    revision : int
        Revision of the latest change.
    history : list of tuple
        Revision, kind, whether the object was removed, and the object, of each change.
    compacted_revision : int
        Revision up to which the history is discarded.
    changed : asyncio.Event
        Set at the next change, which then replaces it by a new event.
    faults : StoreFaults
        Faults that are set.
    calls : list of str
        Method and target of each call.
    raw : dict of bytes to bytes
        Bytes that are sent in place of encoded texts.
    address : str
        Host and port once it listens.
    """

    def __init__(self):
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 1
        self.history: list[tuple[int, str, bool, dict[str, Any]]] = []
        self.compacted_revision = 0
        self.changed = asyncio.Event()
        self.faults = StoreFaults()
        self.server = HttpServer(self.handle)
        self.calls: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        self.raw: dict[bytes, bytes] = {}
        self.address = ""

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        port = await self.server.start("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop the server."""
        await self.server.stop()

    # Changes of objects, as an operator or a target makes them

    def put(self, kind: str, name: str, spec: Any = None, status: Any = None) -> dict[str, Any]:
        """Create or replace an object; a spec or status of None keeps the present one."""
        existing = self.objects.get((kind, name))
        self.revision += 1
        value = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": existing["metadata"]["created"] if existing else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec if spec is not None else (existing or {}).get("spec"),
            "status": status if status is not None else (existing or {}).get("status"),
        }
        self.objects[kind, name] = value
        self.record_change(kind, False, value)
        return value

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Create or replace an object whose spec is sent as the given bytes."""
        text = f"raw {len(self.raw)}"
        self.raw[json.dumps(text).encode()] = spec
        self.put(kind, name, text)

    def send_json(self, responder: Responder, status: int, value: Any) -> None:
        """Send a JSON response, with an empty body for None."""
        body = b"" if value is None else json.dumps(value).encode()
        for text, raw in self.raw.items():
            body = body.replace(text, raw)
        responder.send(status, [("Content-Type", "application/json")], body)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        value = self.objects.pop((kind, name))
        self.revision += 1
        value = json.loads(json.dumps(value))
        value["metadata"]["revision"] = self.revision
        self.record_change(kind, True, value)

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind, sorted."""
        return sorted(name for (object_kind, name) in self.objects if object_kind == kind)

    def compact(self) -> None:
        """Discard the history; watches of older revisions then get status 410."""
        self.history.clear()
        self.compacted_revision = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def record_change(self, kind: str, removed: bool, value: dict[str, Any]) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, removed, value))
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls over HTTP

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle a call, subject to the faults that are set."""
        self.calls.append(f"{request.method} {request.target}")
        client_ip = responder.connection.transport.get_extra_info("peername")[0]
        if self.faults.silent:
            await request.disconnected.wait()
            return
        if self.faults.endless:
            await self.send_without_end(request, responder)
            return
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.refuse or client_ip in self.faults.refused_clients:
            responder.send(503)
            return
        kind, name, is_status_call = split_path(request.path)
        query = {key: values[0] for key, values in parse_qs(request.query).items()}
        if request.method == "GET":
            await self.handle_read(request, responder, kind, name, query)
            return
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            task = asyncio.get_running_loop().create_task(
                self.apply_write_late(request, kind, name, is_status_call)
            )
            self.tasks.add(task)
            await request.disconnected.wait()
            return
        if self.faults.rejected_writes > 0 and not self.faults.lose_write_responses:
            self.faults.rejected_writes -= 1
            responder.send(400)
            return
        status, value = self.apply_write(request, kind, name, is_status_call)
        if self.faults.write_status is not None:
            responder.send(self.faults.write_status)
            return
        if kind == self.faults.silent_kind:
            await request.disconnected.wait()
            return
        if self.faults.lose_write_responses > 0:
            self.faults.lose_write_responses -= 1
            await request.disconnected.wait()
            return
        if self.faults.garbled_write_responses > 0:
            self.faults.garbled_write_responses -= 1
            responder.send(status, (), b"{")
            return
        self.send_json(responder, status, value)

    async def send_without_end(self, request: Request, responder: Responder) -> None:
        """Send bytes that never end until the client disconnects."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        responder.connection.write(head)
        while not request.disconnected.is_set():
            responder.connection.write(self.faults.endless)
            await responder.connection.drain()
            await asyncio.sleep(0)

    async def apply_write_late(
        self, request: Request, kind: str, name: str | None, is_status_call: bool
    ) -> None:
        """Apply a write so late that its client no longer waits for the response."""
        await asyncio.sleep(LATE_WRITE_S)
        self.apply_write(request, kind, name, is_status_call)

    async def handle_read(
        self, request: Request, responder: Responder, kind: str, name: str | None, query: dict
    ) -> None:
        """Handle a read of one object, a list or a watch."""
        if name is not None:
            value = self.objects.get((kind, name))
            self.send_json(responder, 200 if value else 404, value)
            return
        if "watch" in query:
            await self.handle_watch(request, responder, kind, query)
            return
        names = [listed for listed in self.names(kind) if listed > query.get("after", "")]
        items = [self.objects[kind, listed] for listed in names[:PAGE_ITEMS]]
        page = {
            "items": items,
            "hasMore": len(names) > PAGE_ITEMS,
            "storeRevision": self.revision,
        }
        self.send_json(responder, 200, page)

    async def handle_watch(
        self, request: Request, responder: Responder, kind: str, query: dict
    ) -> None:
        """Send the changes after a revision, waiting up to ``waitMs`` for the first."""
        if self.faults.stalled_watches > 0:
            self.faults.stalled_watches -= 1
            await request.disconnected.wait()
            return
        since = int(query["watch"])
        deadline = asyncio.get_running_loop().time() + int(query.get("waitMs", "0")) / 1000
        while True:
            if since < self.compacted_revision:
                self.send_json(responder, 410, None)
                return
            events = [
                {"object": value, "removed": removed}
                for revision, changed_kind, removed, value in self.history
                if changed_kind == kind and revision > since
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0 or request.disconnected.is_set():
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
        self.send_json(responder, 200, {"events": events, "storeRevision": self.revision})

    def apply_write(
        self, request: Request, kind: str, name: str | None, is_status_call: bool
    ) -> tuple[int, Any]:
        """Apply a write; return the status and the body of the response."""
        if request.method == "DELETE":
            if (kind, name) not in self.objects:
                return 404, None
            self.remove(kind, name)
            return 200, None
        body = json.loads(request.body)
        metadata = body.get("metadata", {})
        if request.method == "POST":
            if (kind, metadata["name"]) in self.objects:
                return 409, None
            return 200, self.put(kind, metadata["name"], body.get("spec"))
        current = self.objects.get((kind, name))
        if current is None:
            return 404, None
        if metadata.get("revision") not in (None, current["metadata"]["revision"]):
            return 409, current
        if is_status_call:
            return 200, self.put(kind, name, status=body.get("status"))
        return 200, self.put(kind, name, spec=body.get("spec"))


def split_path(path: str) -> tuple[str, str | None, bool]:
    """Return the kind, the name, and whether the path addresses the status of the object."""
    parts = [unquote(part) for part in path.removeprefix(OBJECTS_PREFIX).split("/")]
    return parts[0], parts[1] if len(parts) > 1 else None, parts[2:] == ["status"]
