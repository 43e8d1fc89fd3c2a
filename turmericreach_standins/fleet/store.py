"""The platform's metadata store: objects by kind and name, watches, conditional writes."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote

import attrs

from turmericreach.http1 import HttpServer, Request, Responder

__all__ = ["StoreFaults", "StoreStandIn"]

PREFIX = "/api/objects/"
PAGE_ITEMS = 500
LATE_WRITE_S = 1.0


@attrs.define
class StoreFaults:
    """Faults in force.

    Attributes
    ----------
    refuse : bool
        Answer every call with 503.
    silent : bool
        Answer nothing.
    lose_writes : int
        Next writes that are done but not answered.
    late_writes : int
        Next writes that are done only after `LATE_WRITE_S` and not answered.
    delay_s : float
        Time before each answer.
    refused_clients : set of str
        Addresses that get 503.
    deaf_watches : int
        Next watches that never answer.
    """

    refuse: bool = False
    silent: bool = False
    lose_writes: int = 0
    late_writes: int = 0
    delay_s: float = 0.0
    refused_clients: set[str] = attrs.field(factory=set)
    deaf_watches: int = 0


class StoreStandIn:
    """Serves the metadata store's interface over HTTP."""

    def __init__(self):
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 1
        self.history: list[tuple[int, str, bool, dict[str, Any]]] = []
        self.history_from = 0
        self.changed = asyncio.Event()
        self.faults = StoreFaults()
        self.server = HttpServer(self.handle)
        self.calls: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self) -> str:
        """Listen and return the address."""
        port = await self.server.start("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def stop(self) -> None:
        """End the server."""
        await self.server.stop()

    # Objects, as an operator or a target writes them

    def put(self, kind: str, name: str, spec: Any = None, status: Any = None) -> dict[str, Any]:
        """Create or replace an object; None keeps the document."""
        known = self.objects.get((kind, name))
        self.revision += 1
        value = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec if spec is not None else (known or {}).get("spec"),
            "status": status if status is not None else (known or {}).get("status"),
        }
        self.objects[kind, name] = value
        self.record(kind, False, value)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        value = self.objects.pop((kind, name))
        self.revision += 1
        value = json.loads(json.dumps(value))
        value["metadata"]["revision"] = self.revision
        self.record(kind, True, value)

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(name for (known, name) in self.objects if known == kind)

    def compact(self) -> None:
        """Drop the history and cut the watches."""
        self.history.clear()
        self.history_from = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def record(self, kind: str, removed: bool, value: dict[str, Any]) -> None:
        """Keep a change for watches."""
        self.history.append((self.revision, kind, removed, value))
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a call under the faults in force."""
        self.calls.append(f"{request.method} {request.target}")
        peer = responder.connection.transport.get_extra_info("peername")[0]
        if self.faults.silent:
            await request.disconnected.wait()
            return
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.refuse or peer in self.faults.refused_clients:
            responder.send(503)
            return
        kind, name, status_call = split_path(request.path)
        query = {key: values[0] for key, values in parse_qs(request.query).items()}
        if request.method == "GET":
            await self.read(request, responder, kind, name, query)
            return
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            task = asyncio.get_running_loop().create_task(
                self.write_late(request, kind, name, status_call)
            )
            self.tasks.add(task)
            await request.disconnected.wait()
            return
        status, value = self.write(request, kind, name, status_call)
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await request.disconnected.wait()
            return
        answer(responder, status, value)

    async def write_late(self, request: Request, kind: str, name: str | None, status: bool) -> None:
        """Do a write after its caller has given up."""
        await asyncio.sleep(LATE_WRITE_S)
        self.write(request, kind, name, status)

    async def read(
        self, request: Request, responder: Responder, kind: str, name: str | None, query: dict
    ) -> None:
        """Answer a read, a list or a watch."""
        if name is not None:
            value = self.objects.get((kind, name))
            answer(responder, 200 if value else 404, value)
            return
        if "watch" in query:
            await self.watch(request, responder, kind, query)
            return
        names = [known for known in self.names(kind) if known > query.get("after", "")]
        items = [self.objects[kind, known] for known in names[:PAGE_ITEMS]]
        page = {
            "items": items,
            "hasMore": len(names) > PAGE_ITEMS,
            "storeRevision": self.revision,
        }
        answer(responder, 200, page)

    async def watch(self, request: Request, responder: Responder, kind: str, query: dict) -> None:
        """Answer with the changes after a revision as soon as there are any."""
        if self.faults.deaf_watches > 0:
            self.faults.deaf_watches -= 1
            await request.disconnected.wait()
            return
        since = int(query["watch"])
        give_up_at = asyncio.get_running_loop().time() + int(query.get("waitMs", "0")) / 1000
        while True:
            if since < self.history_from:
                answer(responder, 410, None)
                return
            events = [
                {"object": value, "removed": removed}
                for revision, known, removed, value in self.history
                if known == kind and revision > since
            ]
            left_s = give_up_at - asyncio.get_running_loop().time()
            if events or left_s <= 0 or request.disconnected.is_set():
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
        answer(responder, 200, {"events": events, "storeRevision": self.revision})

    def write(
        self, request: Request, kind: str, name: str | None, status_call: bool
    ) -> tuple[int, Any]:
        """Do a write and return its answer."""
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
        if status_call:
            return 200, self.put(kind, name, status=body.get("status"))
        return 200, self.put(kind, name, spec=body.get("spec"))


def split_path(path: str) -> tuple[str, str | None, bool]:
    """Return kind, name and whether the status is meant."""
    parts = [unquote(part) for part in path.removeprefix(PREFIX).split("/")]
    return parts[0], parts[1] if len(parts) > 1 else None, parts[2:] == ["status"]


def answer(responder: Responder, status: int, value: Any) -> None:
    """Send a JSON answer."""
    body = b"" if value is None else json.dumps(value).encode()
    responder.send(status, [("Content-Type", "application/json")], body)
