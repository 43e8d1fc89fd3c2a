"""Stand-ins for the scripts of the review: platform store, workers, consumers, and the platform.

They use the standard library only and speak what the users' pages (PROTOCOL, DEPLOY) say. All of
them listen at loopback addresses. The gateways under test run as separate processes, started with
the command in `deploy/system.toml`.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of the deployment qurum-gel, which all scripts use.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.3,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "skewMaxMs": 5000, "recoverS": 12, "passMs": 120, "retryAfterS": 0,
    "finishS": 10, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOverage": 0.1,
    "fencing": True, "leaseMs": 3000, "thawSlackMs": 300,
}  # fmt: skip
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 33554432,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP


class Message:
    """A request or a response: the first line, header fields by lower-case name, and the body."""

    def __init__(self, first: str, fields: dict[str, str], body: bytes):
        self.first = first.split(" ", 2)
        self.fields = fields
        self.body = body

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first[1])


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the fields of a message, None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_message(reader) -> Message | None:
    """Read a message with a length or in chunks; None if the channel ends before its end."""
    found = await read_head(reader)
    if found is None:
        return None
    first, fields = found
    body = b""
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first, fields, body)


def encode(first: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    return encode(f"HTTP/1.1 {status} X", fields, body)


class HttpStandIn:
    """A server that handles one request at a time on each channel."""

    def __init__(self):
        self.address = ""
        self.server = None
        self.writers = set()

    async def listen(self, ip: str = "127.0.0.1", backlog: int = 1024) -> str:
        """Listen at a free port and return the address."""
        self.server = await asyncio.start_server(self.serve, ip, 0, backlog=backlog)
        self.address = ":".join(str(part) for part in self.server.sockets[0].getsockname()[:2])
        return self.address

    async def serve(self, reader, writer) -> None:
        """Handle the requests of one channel."""
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                if not await self.handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, request: Message, reader, writer) -> bool:
        """Handle a request; return whether the channel stays open."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening and close all channels, as the end of the process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()


# The platform's store


class Store(HttpStandIn):
    """The platform's metadata store: objects by kind and name, with watches."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, bool, dict]] = []
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, **parts) -> dict:
        """Create or replace an object; `parts` are its spec or its status."""
        old = self.objects.get((kind, name), {"spec": None, "status": None})
        self.revision += 1
        created = old["metadata"]["created"] if "metadata" in old else self.revision
        metadata = {
            "name": name, "revision": self.revision, "created": created, "finalizers": [],
            "deleting": False,
        }  # fmt: skip
        value = {"spec": old["spec"], "status": old["status"], **parts, "metadata": metadata}
        self.objects[kind, name] = value
        self.note(kind, False, value)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        value = self.objects.pop((kind, name))
        self.revision += 1
        value = {**value, "metadata": {**value["metadata"], "revision": self.revision}}
        self.note(kind, True, value)

    def note(self, kind: str, removed: bool, value: dict) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, removed, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: Message, reader, writer) -> bool:
        """Serve one call."""
        path, _, query_text = request.target.partition("?")
        parts = [unquote(part) for part in path.removeprefix("/api/objects/").split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        query = {key: values[0] for key, values in parse_qs(query_text).items()}
        if request.method == "GET" and "watch" in query:
            status, value = await self.watch(kind, query)
        elif request.method == "GET":
            status, value = self.read(kind, name, query)
        else:
            status, value = self.write(request, kind, name, parts[2:] == ["status"])
        body = b"" if value is None else json.dumps(value).encode()
        writer.write(response(status, {"Content-Type": "application/json"}, body))
        await writer.drain()
        return True

    def read(self, kind: str, name: str | None, query: dict) -> tuple[int, dict | None]:
        """Return an object or a page of a list."""
        if name is not None:
            value = self.objects.get((kind, name))
            return (200 if value else 404), value
        names = sorted(found for of, found in self.objects if of == kind)
        names = [found for found in names if found > query.get("after", "")]
        items = [self.objects[kind, found] for found in names[:500]]
        return 200, {
            "items": items,
            "hasMore": len(names) > 500,
            "storeRevision": self.revision,
        }

    async def watch(self, kind: str, query: dict) -> tuple[int, dict]:
        """Return the changes after a revision, waiting for the first."""
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                {"object": value, "removed": removed}
                for revision, of, removed, value in self.history
                if of == kind and revision > since
            ]
            rest = until - time.monotonic()
            if events or rest <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), rest)

    def write(self, request: Message, kind: str, name: str | None, status: bool):
        """Carry out a conditional write."""
        if request.method == "DELETE":
            if (kind, name) not in self.objects:
                return 404, None
            self.remove(kind, name)
            return 200, {}
        body = json.loads(request.body)
        metadata = body.get("metadata") or {}
        if request.method == "POST":
            if (kind, metadata["name"]) in self.objects:
                return 409, self.objects[kind, metadata["name"]]
            return 200, self.put(kind, metadata["name"], spec=body.get("spec"))
        current = self.objects.get((kind, name))
        if current is None:
            return 404, None
        if metadata.get("revision") not in (None, current["metadata"]["revision"]):
            return 409, current
        if status:
            return 200, self.put(kind, name, status=body.get("status"))
        return 200, self.put(kind, name, spec=body.get("spec"))


# Workers


class Worker(HttpStandIn):
    """A worker of a plain service, with slots and a short queue.

    Attributes
    ----------
    runs : list of tuple
        Time, attempt id and request of each request that the worker began to work on.
    occupied_until : float
        Until then all slots and places of the queue are taken by requests of other callers.
    """

    def __init__(self, name: str, service: str, store: Store, record: Record, slots: int = 6):
        super().__init__()
        self.name, self.service, self.store, self.record = name, service, store, record
        self.slots = slots
        self.version = 1
        self.queue = 4
        self.active = 0
        self.work_s = 0.02
        self.runs: list[tuple[float, str, Message]] = []
        self.occupied_until = 0.0
        self.born = int(time.time() * 1000)

    def entry(self, state: str) -> dict:
        """Return the entry in the store."""
        return {
            "service": self.service, "address": self.address, "zone": "muscat-a",
            "version": "v1", "slots": self.slots, "state": state, "coldLeftMs": 0,
            "stage": "both", "models": [], "seq": 0, "born": self.born,
        }  # fmt: skip

    def enlist(self, state: str = "ready") -> None:
        """Write the worker's entry to the store."""
        self.store.put("servers", self.name, spec=self.entry(state))

    def fields(self, request: Message) -> dict[str, str]:
        """Return the header fields of each response to a request."""
        return {
            "X-Attempt-Id": request.fields.get("x-attempt-id", ""),
            "X-Instance-Id": self.name,
            "X-Server-Load": f"{min(self.active, self.slots)},0,{self.slots}",
        }

    def is_full(self) -> bool:
        """Return whether the worker rejects requests now."""
        busy = time.monotonic() < self.occupied_until
        return busy or self.active >= self.slots + self.queue

    async def handle(self, request: Message, reader, writer) -> bool:
        """Serve a report, a rejection, or a request that runs."""
        if request.target == "/api/report":
            models = self.entry("ready")["models"]
            report = {"stage": "both", "models": models, "busy": False, "seq": 0, "waiting": 0,
                      "running": self.active, "kvUsed": 0, "kvTotal": 1, "handles": 0,
                      "born": self.born}  # fmt: skip
            writer.write(response(200, {}, json.dumps(report).encode()))
            return True
        attempt = request.fields.get("x-attempt-id", "")
        if request.fields.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, self.fields(request)))
            return True
        if self.is_full():
            await self.answer(request, writer, 503, {"X-Not-Executed": "1"}, b"")
            return True
        self.active += 1
        self.runs.append((self.record.now(), attempt, request))
        self.record.add(f"run at {self.name}: {request.method} {request.target} {attempt}")
        try:
            return await self.run(request, reader, writer)
        finally:
            self.active -= 1

    async def run(self, request: Message, reader, writer) -> bool:
        """Work on a request and answer it."""
        await asyncio.sleep(self.work_s)
        await self.answer(request, writer, 200, {"X-Server-Stamp": f"stamp-{self.name}"}, b"done")
        return True

    async def answer(self, request: Message, writer, status: int, extra: dict, body) -> None:
        """Send a response."""
        writer.write(response(status, {**self.fields(request), **extra}, body))
        await writer.drain()


class Engine(Worker):
    """A model worker: its responses are streams of numbered events, which may be resumed.

    Attributes
    ----------
    finished : dict of str to float
        Time at which the last event of each request was sent, by attempt id.
    failed : set of str
        Attempt ids of the requests that were answered with a failure.
    """

    def __init__(self, name: str, service: str, store: Store, record: Record, slots: int = 8):
        super().__init__(name, service, store, record, slots)
        self.queue = 24
        self.model = "m0"
        self.events = 14
        self.event_s = 0.008
        self.finished: dict[str, float] = {}
        self.failed: set[str] = set()

    def entry(self, state: str) -> dict:
        """Return the entry in the store, with the model."""
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {**super().entry(state), "models": models}

    def event(self, attempt: str, number: int) -> str:
        """Return the data of an event, which depends on the request and the number only."""
        return f"{attempt[:6]} part {number}"

    def text(self, attempt: str) -> str:
        """Return the whole text of a request."""
        return "\n".join(self.event(attempt, number) for number in range(1, self.events + 1))

    def stream_head(self, request: Message) -> bytes:
        """Return the head of the response to a request."""
        fields = {
            **self.fields(request),
            "X-Server-Stamp": f"stamp-{self.name}-{request.fields.get('x-attempt-id')}",
            "X-Weight-Versions": str(self.version),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def run(self, request: Message, reader, writer) -> bool:
        """Send the events after `Last-Event-Id`; stop when the channel closes."""
        attempt = request.fields.get("x-attempt-id", "")
        writer.write(self.stream_head(request))
        begun = int(request.fields.get("last-event-id", "0"))
        for number in range(begun + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if reader.at_eof() or writer.transport.is_closing():
                return False
            data = f"id: {number}\ndata: {self.event(attempt, number)}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.finished[attempt] = self.record.now()
        return True


# Consumers


class Channel:
    """A consumer's channel to a gateway."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: str, **options) -> "Channel":
        """Open a channel to an address."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), **options))

    async def request(
        self, method: str, target: str, fields: dict[str, str], body: bytes = b""
    ) -> Message | None:
        """Send a request and return its answer, None if the channel ends without a whole one."""
        try:
            self.writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            await self.writer.drain()
            return await read_message(self.reader)
        except ConnectionError:
            return None

    def close(self) -> None:
        """Close the channel."""
        with contextlib.suppress(Exception):
            self.writer.close()


async def call(
    address: str, method: str, target: str, fields: dict, body: bytes = b"", limit_s: float = 10.0
) -> Message | None:
    """Make a request on a channel of its own; None without a whole answer."""
    try:
        channel = await asyncio.wait_for(Channel.open(address), 1.0)
    except (OSError, TimeoutError):
        return None
    try:
        return await asyncio.wait_for(channel.request(method, target, fields, body), limit_s)
    except TimeoutError:
        return None
    finally:
        channel.close()


# Gateways


def free_port(ip: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(self, number: int, store: str, folder: Path):
        self.name = f"front-muscat-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.folder = folder
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        first = free_port(self.ip)
        self.settings = {
            "node": self.name, "role": "gateway", "machineClass": "front", "serves": ["front"],
            "ip": self.ip, "zone": "muscat-a", "region": "muscat",
            "zones": {"muscat-a": "muscat"},
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [first, first + 15], "seeds": [], "bootstrap": True,
            "inTolerance": False,
            "limits": {"cpuShare": 0.817, "cores": 1, "memoryMb": 300, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "samples", "stream",
                          "engine", "batch", "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
        }  # fmt: skip
        self.process = None

    async def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split()
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["TURMERICREACH_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=log,
        )  # fmt: skip
        log.close()

    async def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        answer = await call(self.ready, "GET", "/api/ready", {"Host": "ready"}, limit_s=1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, limit_s: float = 15.0) -> None:
        """Wait until the gateway says that it is ready."""
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Deployment:
    """The store, the workers and the gateways of a script."""

    def __init__(self, folder: Path, record: Record):
        self.folder, self.record = folder, record
        self.store = Store()
        self.workers: list[Worker] = []
        self.gateways: list[Gateway] = []

    def configure(self, version: int, routes: list[dict], services: list[dict]) -> None:
        """Write a version of the configuration."""
        self.store.put("config", "main", spec={
            "version": version, "routes": routes, "services": services, "limits": LIMITS,
        })  # fmt: skip

    async def start_gateways(self, count: int) -> None:
        """Start gateways and wait until all are ready."""
        for number in range(count):
            self.gateways.append(Gateway(number, self.store.address, self.folder))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            await gateway.end()
        for server in [*self.workers, self.store]:
            server.close()


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route of the deployment's host."""
    return {
        "name": name, "host": "desk.example", "pathPrefix": f"/{name}/", "kind": kind,
        "timeoutMs": 1500, "goalMs": 200, "priority": 2, "service": service, "maxAttempts": 2,
        **more,
    }  # fmt: skip


def plain_service(name: str) -> dict:
    """Return a service whose workers are not engines."""
    return {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}


def engine_service(name: str) -> dict:
    """Return a service of model workers."""
    engine = {
        "slots": 8, "kvCapacityTokens": 90005, "kvTokenBytes": 163840, "linkMbps": 1400000.0,
        "moves": True, "backups": True, "stride": 58, "most": 12, "pinMs": 4000.0,
        "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": "m0"}],
    }  # fmt: skip
    return {**plain_service(name), "maxConns": 150, "engine": engine}


def rollout_route(name: str, service: str) -> dict:
    """Return a route of batch jobs."""
    return route(
        name, "rollout", service, timeoutMs=10000, goalMs=500, dueMs=7500, priority=1,
        maxAttempts=3, queueTtlS=60,
    )  # fmt: skip


class Trainer:
    """Submits a batch job, reads its results twice a second, and ends it at its time limit.

    Attributes
    ----------
    items : list of str
        Ids of the items.
    results : dict of str to dict
        Results by item, as read.
    """

    def __init__(self, gateway, record: Record, groups: int, score_path: str):
        self.gateway, self.record = gateway, record
        self.lot = new_id()
        self.results: dict[str, dict] = {}
        self.positions: list[str] = []
        self.items = [new_id() for _ in range(4 * groups)]
        self.body = {
            "step": 0, "model": "m0", "minVersion": 1, "targetGroups": groups,
            "items": [self.item(item, number // 4, score_path)
                      for number, item in enumerate(self.items)],
        }  # fmt: skip

    def item(self, item: str, group: int, score_path: str) -> dict:
        """Return one item as it is submitted."""
        return {
            "id": item, "path": f"/rollout/{item}",
            "headers": {"X-Model": "m0", "X-Token-Counts": "1016,812",
                        "X-Prompt-Prefix": f"{group:x}a{self.lot[:4]}:1000,{item[:8]}:16"},
            "body": "Z2Vs", "tokens": 1828, "group": f"g{group}{self.lot[:6]}",
            "scorer": {"id": f"{int(item, 16) ^ 1:016x}", "host": "desk.example",
                       "path": score_path, "body": "c2NvcmU="},
        }  # fmt: skip

    async def submit(self, path: str, limit_s: float = 4.0) -> int | None:
        """Submit the batch job once and return the status."""
        fields = {"Host": "desk.example", "X-Attempt-Id": self.lot,
                  "Content-Type": "application/json"}  # fmt: skip
        body = json.dumps(self.body).encode()
        answer = await call(self.gateway.front, "POST", path, fields, body, limit_s)
        status = None if answer is None else answer.status
        self.record.add(f"batch job {self.lot} at {self.gateway.name}: {status}")
        return status

    async def read(self, gateway=None) -> int | None:
        """Read the next results and return the status."""
        fields = {"Host": "desk.example", "X-Wait-Ms": "1000"}
        target = f"/api/lots/{self.lot}?after={len(self.positions)}"
        address = (gateway or self.gateway).front
        answer = await call(address, "GET", target, fields, limit_s=2.5)
        if answer is None or answer.status != 200:
            return None if answer is None else answer.status
        for result in json.loads(answer.body)["results"]:
            self.positions.append(result["id"])
            self.results[result["id"]] = result
            self.record.add(f"read of {self.lot}: {result['id']} {result['state']}")
        return 200

    async def read_until(self, limit: float) -> None:
        """Read until all items are listed, or until a time of the record."""
        while self.record.now() < limit and len(self.results) < len(self.items):
            await self.read()
            await asyncio.sleep(0.5)

    async def end(self) -> int | None:
        """End the batch job."""
        fields = {"Host": "desk.example"}
        answer = await call(self.gateway.front, "DELETE", f"/api/lots/{self.lot}", fields)
        return None if answer is None else answer.status


def keep_logs(temporary: str) -> None:
    """Copy the logs of the gateways to the folder that `KEEP_LOGS` names, if it is set."""
    if os.environ.get("KEEP_LOGS"):
        for path in Path(temporary).glob("*.log"):
            (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())


def run_case(folder: str, case) -> None:
    """Run a case and exit with 0 if the rule held, 1 if it was broken, 2 if it could not run.

    Parameters
    ----------
    folder : str
        Folder of the case, for `record.txt`.
    case : coroutine function
        Called with the deployment; returns a list of breaches.
    """
    record = Record(Path(folder))

    async def main() -> list[str]:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(Path(temporary), record)
            await deployment.store.listen()
            # A script that is told to stop ends its processes, too.
            task = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
            try:
                return await asyncio.wait_for(case(deployment), 110)
            finally:
                await deployment.end()
                keep_logs(temporary)

    record.add("with the disruption" if TROUBLE else "without the disruption")
    try:
        breaches = asyncio.run(main())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.add(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    for breach in breaches:
        record.add(f"BROKEN: {breach}")
        print(f"BROKEN: {breach}")
    if not breaches:
        record.add("the rule held")
        print("the rule held")
    sys.exit(BROKEN if breaches else HELD)


def new_id() -> str:
    """Return an id as consumers make them."""
    return f"{random.getrandbits(64):016x}"
