"""Stand-ins for the scripts of the third review: metadata store, workers, trainer, gateways.

Only the standard library is used. The stand-ins follow the users' pages; where a page is silent
they behave like a sound store, worker or client. Every address is a loopback address.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote

PROGRAM = Path(__file__).resolve()
ROOT = PROGRAM.parent.parent
HOST = "shop.example"
LOOPBACK = "127.0.0.1"
STORE_ANSWER_S = 0.004
# The worker goes on serving for a little longer than `drainMs` after it has announced its leave.
DRAIN_S = 2.0
LINGER_S = 1.5
LOAD_S = 0.9
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.path = Path(path)
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def add(self, text):
        """Add a line and print it."""
        line = f"{self.now():8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def save(self):
        """Write the lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port(ip=LOOPBACK):
    """Return a port of a loopback address that nobody uses now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# HTTP


class Call:
    """A request that a server received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = {key: values[0] for key, values in parse_qs(query).items()}
        self.headers = headers
        self.body = body


class Channel:
    """One connection of a client to a server of this module."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.closed = asyncio.Event()
        self.muted = False
        self.waiting_for = ""

    def write(self, data):
        """Send bytes, unless the channel is silent or closed."""
        if not self.muted and not self.writer.is_closing():
            self.writer.write(data)

    def respond(self, status, headers=(), body=b""):
        """Send a response with a length."""
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def abort(self):
        """Reset the channel."""
        self.writer.transport.abort()


async def read_head(reader):
    """Read the head of a message and return its first line and its fields."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return first, headers


class Server:
    """Serves requests one at a time on each channel."""

    def __init__(self, handle):
        self.handle = handle
        self.channels = set()
        self.server = None
        self.address = ""

    async def start(self, ip=LOOPBACK):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def serve(self, reader, writer):
        """Serve one channel until its client has left."""
        channel = Channel(reader, writer)
        self.channels.add(channel)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                call = Call(method, target, headers, body)
                work = asyncio.ensure_future(self.handle(call, channel))
                # A client sends nothing while it waits, so the next read tells of its leave.
                peek = asyncio.ensure_future(self.wait_for_end(reader, channel, work))
                await asyncio.wait({work, peek}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    channel.closed.set()
                    with contextlib.suppress(asyncio.TimeoutError, Exception):
                        await asyncio.wait_for(work, 1.0)
                    return
                peek.cancel()
                work.result()
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            return
        finally:
            channel.closed.set()
            self.channels.discard(channel)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def wait_for_end(self, reader, channel, work):
        """Wait until the client has left or the work is done."""
        while not reader.at_eof() and reader.exception() is None and not work.done():
            if channel.writer.is_closing():
                return
            await asyncio.sleep(0.01)

    def stop(self):
        """Stop listening and reset all channels."""
        self.server.close()
        for channel in list(self.channels):
            channel.abort()


async def call(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Make one call on a new channel and return status, fields and body, None without an answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, found = await read_head(reader)
            status = int(first.split(" ")[1])
            length = found.get("content-length")
            if length is not None:
                return status, found, await reader.readexactly(int(length))
            return status, found, await reader.read()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The platform's metadata store


class Store:
    """Objects by kind and name, watches, and writes under a condition; answers are linearizable."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self):
        """Listen on a free port."""
        await self.server.start()

    @property
    def address(self):
        """Address of the store."""
        return self.server.address

    def put(self, kind, name, spec=None, status=None):
        """Create or replace an object as the operator, a trainer or a worker does."""
        known = self.objects.get((kind, name))
        new_spec = spec if spec is not None else (known or {}).get("spec")
        new_status = status if status is not None else (known or {}).get("status")
        if known is not None and known["spec"] == new_spec and known["status"] == new_status:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        value = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": new_spec,
            "status": new_status,
        }
        self.objects[kind, name] = value
        self.note(kind, False, value)
        return value

    def remove(self, kind, name):
        """Remove an object."""
        value = json.loads(json.dumps(self.objects.pop((kind, name))))
        self.revision += 1
        value["metadata"]["revision"] = self.revision
        self.note(kind, True, value)

    def note(self, kind, removed, value):
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, removed, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def spec(self, kind, name):
        """Return the spec of an object, None if it does not exist."""
        return (self.objects.get((kind, name)) or {}).get("spec")

    def status(self, kind, name):
        """Return the status of an object, None if it has none."""
        return (self.objects.get((kind, name)) or {}).get("status")

    def silence_watches(self, kind):
        """Let the open channels that wait for changes of a kind go silent for good, unreset.

        New channels work.
        """
        found = 0
        for channel in self.server.channels:
            if channel.waiting_for == kind and not channel.muted:
                channel.muted = True
                found += 1
        return found

    async def handle(self, call, channel):
        """Handle a call."""
        await asyncio.sleep(STORE_ANSWER_S)
        parts = [unquote(part) for part in call.path.removeprefix("/api/objects/").split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if call.method == "GET":
            await self.read(call, channel, kind, name)
            return
        status, value = self.write(call, kind, name, parts[2:] == ["status"])
        self.send(channel, status, value)

    def send(self, channel, status, value):
        """Send a JSON response."""
        body = b"" if value is None else json.dumps(value).encode()
        channel.respond(status, [("Content-Type", "application/json")], body)

    async def read(self, call, channel, kind, name):
        """Handle a read of one object, a list or a watch."""
        if name is not None:
            value = self.objects.get((kind, name))
            self.send(channel, 200 if value else 404, value)
            return
        if "watch" in call.query:
            await self.watch(call, channel, kind)
            return
        after = call.query.get("after", "")
        names = sorted(listed for found, listed in self.objects if found == kind)
        names = [listed for listed in names if listed > after]
        items = [self.objects[kind, listed] for listed in names[:500]]
        page = {"items": items, "hasMore": len(names) > 500, "storeRevision": self.revision}
        self.send(channel, 200, page)

    async def watch(self, call, channel, kind):
        """Send the changes after a revision, waiting for the first one."""
        since = int(call.query["watch"])
        deadline = time.monotonic() + int(call.query.get("waitMs", "0")) / 1000
        channel.waiting_for = kind
        while True:
            changed = self.changed
            events = [
                {"object": value, "removed": removed}
                for revision, found, removed, value in self.history
                if found == kind and revision > since
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0 or channel.closed.is_set():
                break
            waits = {
                asyncio.ensure_future(changed.wait()),
                asyncio.ensure_future(channel.closed.wait()),
            }
            await asyncio.wait(waits, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
            for wait in waits:
                wait.cancel()
        channel.waiting_for = ""
        if channel.muted:
            # Nothing more is heard on this channel.
            await channel.closed.wait()
            return
        self.send(channel, 200, {"events": events, "storeRevision": self.revision})

    def write(self, call, kind, name, is_status):
        """Apply a write and return the status and the body of its response."""
        if call.method == "DELETE":
            if (kind, name) not in self.objects:
                return 404, None
            self.remove(kind, name)
            return 200, None
        body = json.loads(call.body)
        metadata = body.get("metadata", {})
        if call.method == "POST":
            known = self.objects.get((kind, metadata["name"]))
            if known is not None:
                return 409, known
            return 200, self.put(kind, metadata["name"], body.get("spec"))
        known = self.objects.get((kind, name))
        if known is None:
            return 404, None
        if metadata.get("revision") not in (None, known["metadata"]["revision"]):
            return 409, known
        if is_status:
            return 200, self.put(kind, name, status=body.get("status"))
        return 200, self.put(kind, name, spec=body.get("spec"))


# Workers


class Worker:
    """A worker: a model worker that streams events, or a plain one that answers at once.

    Attributes
    ----------
    running : dict of str to float
        Attempt id of each request that is at work, and when it began.
    """

    def __init__(
        self, store, record, worker_id, service, models=None, events=20, event_s=0.1, slots=8
    ):
        self.store = store
        self.record = record
        self.id = worker_id
        self.service = service
        self.models = dict(models or {})
        self.events = events
        self.event_s = event_s
        self.slots = slots
        self.work_s = 0.03
        self.state = "ready"
        self.seq = 0
        self.busy_until = 0.0
        self.born = int(time.time() * 1000)
        self.running = {}
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.arrivals = []
        self.runs = []
        self.on_run = lambda worker, attempt: None
        self.on_end = lambda worker, attempt, whole: None
        self.on_event = lambda worker, attempt, number: None
        # Attempts whose response has no length and ends with its channel.
        self.unframed = set()
        self.events_of = {}
        self.server = Server(self.handle)

    async def start(self):
        """Listen and register in the store."""
        await self.server.start()
        self.register()

    def register(self):
        """Write the entry of this worker to the store."""
        self.store.put("servers", self.id, self.entry())

    def entry(self):
        """Return the entry of this worker in service discovery."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "stage": "both",
            "models": self.named_models(),
            "seq": self.seq,
            "born": self.born,
        }

    def named_models(self):
        """Return the models with their versions, as entries and reports have them."""
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]

    async def leave(self):
        """Announce the leave, serve on for `drainMs` and a little longer, then end."""
        self.state = "draining"
        self.register()
        self.record.add(f"worker {self.id}: reports draining")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        self.store.remove("servers", self.id)
        self.server.stop()
        self.record.add(f"worker {self.id}: has left")

    async def handle(self, call, channel):
        """Handle a request, an order or a call for the report."""
        if call.path == "/api/report":
            body = json.dumps(self.report()).encode()
            channel.respond(200, [("Content-Type", "application/json")], body)
            return
        attempt = call.headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)] if attempt else []
        expected = call.headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            channel.respond(421, [("X-Instance-Id", self.id), *echo])
            return
        if call.path == "/api/order":
            channel.respond(self.order(json.loads(call.body)))
            return
        if call.path == "/health":
            channel.respond(200, [("X-Instance-Id", self.id), self.load()])
            return
        self.arrivals.append((time.monotonic(), attempt))
        if self.waiting >= 24:
            channel.respond(503, [("X-Not-Executed", "1"), self.load(), *echo])
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            if channel.closed.is_set():
                return
            await self.run(call, channel, attempt, echo)
        finally:
            self.free.release()

    async def run(self, call, channel, attempt, echo):
        """Run a request in one of the slots."""
        self.running[attempt] = time.monotonic()
        self.runs.append((time.monotonic(), attempt))
        self.on_run(self, attempt)
        whole = False
        try:
            head = [*echo, ("X-Server-Stamp", f"stamp.{attempt}"), self.load()]
            if "x-model" in call.headers:
                whole = await self.generate(call, channel, attempt, head)
                return
            await asyncio.sleep(self.work_s)
            if not channel.closed.is_set():
                channel.respond(200, head, f"{self.id} {attempt}".encode())
                whole = True
        finally:
            del self.running[attempt]
            self.on_end(self, attempt, whole)

    async def generate(self, call, channel, attempt, head):
        """Stream the events of a text and return whether all were sent."""
        model = call.headers["x-model"]
        last = call.headers.get("last-event-id")
        first = int(last) + 1 if last is not None else 1
        version = self.models.get(model, 1)
        framed = attempt not in self.unframed
        fields = [
            *head,
            ("X-Weight-Versions", str(version)),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked") if framed else ("Connection", "close"),
        ]
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
        channel.write(text.encode() + b"\r\n")
        for number in range(first, self.events_of.get(attempt, self.events) + 1):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(channel.closed.wait(), self.event_s)
            if channel.closed.is_set():
                return False
            prefix = ""
            if self.models.get(model, 1) != version:
                version = self.models[model]
                prefix = f"x-weight-versions: {version}\n"
            event = f"{prefix}id: {number}\ndata: {attempt}-{number}\n\n".encode()
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            channel.write(chunk if framed else event)
            self.on_event(self, attempt, number)
        if framed:
            channel.write(b"0\r\n\r\n")
        else:
            channel.writer.close()
        return True

    def load(self):
        """Return the field that states the load."""
        return "X-Server-Load", f"{len(self.running)},{self.waiting},{self.slots}"

    def report(self):
        """Return the status report."""
        return {
            "stage": "both",
            "models": self.named_models(),
            "busy": time.monotonic() < self.busy_until,
            "seq": self.seq,
            "waiting": self.waiting,
            "running": len(self.running),
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "born": self.born,
        }

    def order(self, order):
        """Accept or reject an order and return the status of the response."""
        self.record.add(
            f"worker {self.id}: order of {order['holder']}, fence {order['fence']}: "
            f"{order['model']} version {order['version']}"
        )
        if time.monotonic() < self.busy_until:
            return 409
        if order.get("precondition") not in (None, self.seq):
            return 409
        if self.models.get(order["model"]) == order["version"]:
            return 200
        self.seq += 1
        self.busy_until = time.monotonic() + LOAD_S
        asyncio.get_running_loop().call_later(LOAD_S, self.loaded, order["model"], order["version"])
        return 202

    def loaded(self, model, version):
        """Take the version of an order that has been carried out."""
        self.models[model] = version
        self.register()


class RemoteStore:
    """The store as a worker in a process of its own reaches it."""

    def __init__(self, address):
        self.address = address
        self.sent = set()

    def put(self, kind, name, spec):
        """Create or replace an object in the background."""
        task = asyncio.ensure_future(self.write(kind, name, spec))
        self.sent.add(task)
        task.add_done_callback(self.sent.discard)

    async def write(self, kind, name, spec):
        """Create an object, or replace it if it exists."""
        fields = [("Host", self.address), ("Content-Type", "application/json")]
        body = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        answer = await call(self.address, "POST", f"/api/objects/{kind}", fields, body)
        if answer is not None and answer[0] == 409:
            await call(self.address, "PUT", f"/api/objects/{kind}/{name}", fields, body)


class WorkerProcess:
    """A worker in a process of its own, which prints what it runs."""

    def __init__(self, record, store_address, options):
        self.record = record
        self.store_address = store_address
        self.options = options
        self.process = None
        self.reader = None
        self.on_line = lambda words: None

    async def start(self):
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(PROGRAM),
            "worker",
            self.store_address,
            json.dumps(self.options),
            stdout=asyncio.subprocess.PIPE,
        )
        self.reader = asyncio.ensure_future(self.read())

    async def read(self):
        """Pass on what the process prints."""
        async for line in self.process.stdout:
            words = line.decode().split()
            if words[0] != "event":
                self.record.add(f"worker {self.options['worker_id']}: {' '.join(words)}")
            self.on_line(words)

    def kill(self):
        """End the process by SIGKILL."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGKILL)
        self.record.add(f"worker {self.options['worker_id']}: SIGKILL")

    async def end(self):
        """End the process if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


async def serve_worker(store_address, options):
    """Serve as one worker until killed."""
    unframed = options.pop("unframed", [])
    events_of = options.pop("events_of", {})

    class Printed:
        def add(self, text):
            print("order", text, flush=True)

    worker = Worker(RemoteStore(store_address), Printed(), **options)
    worker.unframed = set(unframed)
    worker.events_of = events_of
    worker.on_run = lambda worker, attempt: print("runs", attempt, flush=True)
    worker.on_end = lambda worker, attempt, whole: print(
        "finished" if whole else "dropped", attempt, flush=True
    )
    worker.on_event = lambda worker, attempt, number: print("event", attempt, number, flush=True)
    await worker.start()
    await asyncio.Event().wait()


# Gateways


def deploy_command(role):
    """Return the command of a role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"][role]["run"].split()


class Gateway:
    """One gateway process, on a loopback address of its own."""

    def __init__(self, folder, record, name, ip, store_address, bounds):
        self.folder = Path(folder)
        self.record = record
        self.name = name
        self.ip = ip
        self.store_address = store_address
        self.bounds = bounds
        self.caller_address = f"{ip}:{free_port(ip)}"
        self.ready_address = f"{ip}:{free_port(ip)}"
        self.peer_port = free_port(ip)
        self.settings_file = self.folder / f"{name}.json"
        self.process = None

    def settings(self):
        """Return the settings as the platform writes them."""
        return {
            "node": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {"front": self.caller_address, "ready": self.ready_address},
            "portRange": [self.peer_port, self.peer_port + 1],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "samples",
                "stream",
                "engine",
                "batch",
                "platform",
            ],
            "bounds": self.bounds,
            "platform": {
                "address": self.store_address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def launch(self):
        """Start the program with the command of the deploy file."""
        self.settings_file.write_text(json.dumps(self.settings()))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["TURMERICREACH_NODE_FILE"] = str(self.settings_file)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command("gateway"), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f"{self.name}: started at {self.caller_address}")

    async def is_ready(self):
        """Return whether the ready check succeeds."""
        answer = await call(self.ready_address, "GET", "/api/ready", [("Host", "x")], timeout_s=1.0)
        return answer is not None and answer[0] == 200

    async def wait_ready(self, timeout_s=20.0):
        """Wait until the ready check succeeds."""
        async with asyncio.timeout(timeout_s):
            while True:
                if await self.is_ready():
                    return
                await asyncio.sleep(0.05)

    def kill(self):
        """End the process by SIGKILL."""
        self.process.send_signal(signal.SIGKILL)
        self.record.add(f"{self.name}: SIGKILL")

    async def end(self):
        """End the process if it still runs."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


# Configuration, items and the trainer


def route(name, prefix, kind, service, **fields):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 10000,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 3,
        **fields,
    }


def configuration(version, routes, engine_services, models, plain_services=("portal",)):
    """Return a configuration as the operator writes it."""
    engine = {"slots": 8, "kvCapacityTokens": 89389, "kvTokenBytes": 163840, "stride": 10}
    engine["models"] = [{"name": name} for name in models]
    services = [
        {"name": name, "healthPath": "/health", "maxConns": 140, "engine": engine}
        for name in engine_services
    ]
    services += [
        {"name": name, "healthPath": "/health", "maxConns": 100} for name in plain_services
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 33554432,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def lot_document(lot, model, groups, size, min_version=0, step=0, target_groups=None):
    """Return a batch job as a trainer submits it, with a reward call for each item."""
    items = []
    for number in range(groups * size):
        item = f"{lot}{number:04x}"
        items.append(
            {
                "id": item,
                "path": f"/roll/{item}",
                "headers": {
                    "X-Model": model,
                    "X-Token-Counts": "300,260",
                    "X-Prompt-Prefix": f"{lot}{number // size:02x}:284,{item}:16",
                },
                "body": base64.b64encode(f"prompt {item}".encode()).decode(),
                "tokens": 560,
                "group": f"{lot}g{number // size}",
                "scorer": {
                    "id": f"5c{item}",
                    "host": HOST,
                    "path": "/score/1",
                    "body": base64.b64encode(b"judge").decode(),
                },
            }
        )
    return {
        "step": step,
        "model": model,
        "minVersion": min_version,
        "targetGroups": groups if target_groups is None else target_groups,
        "items": items,
    }


class Trainer:
    """Submits one batch job at a gateway, reads it twice a second, and ends it.

    All its channels reach one gateway, as the platform selects the daemon by a hash of the
    consumer; retries reach the others.
    """

    def __init__(self, record, lot, document, gateway, others=()):
        self.record = record
        self.lot = lot
        self.document = document
        self.gateways = [gateway, *others]
        self.listed = []
        self.accepted_at = None
        self.submitted_at = None

    def headers(self, **more):
        """Return the fields of a call on the batch job."""
        return [("Host", HOST), *more.items()]

    async def submit(self):
        """Submit the batch job until it is accepted, and return whether it was."""
        body = json.dumps(self.document).encode()
        self.submitted_at = time.monotonic()
        for number in range(8):
            gateway = self.gateways[number % len(self.gateways)]
            answer = await call(
                gateway.caller_address,
                "POST",
                f"/roll/{self.lot}",
                [("Host", HOST), ("X-Attempt-Id", self.lot), ("Content-Type", "application/json")],
                body,
            )
            status = None if answer is None else answer[0]
            self.record.add(f"trainer: POST lot {self.lot} at {gateway.name}: {status}")
            if status == 202:
                self.accepted_at = time.monotonic()
                return True
            await asyncio.sleep(0.3)
        return False

    async def read_once(self, gateway=None):
        """Read further results and return the status, None without a response."""
        gateway = gateway or self.gateways[0]
        answer = await call(
            gateway.caller_address,
            "GET",
            f"/api/lots/{self.lot}?after={len(self.listed)}",
            [("Host", HOST), ("X-Wait-Ms", "400")],
        )
        if answer is None or answer[0] != 200:
            return None if answer is None else answer[0]
        page = json.loads(answer[2])
        self.listed += page["results"]
        return 200

    async def read_until(self, deadline):
        """Read about twice a second until all results are listed or the time is over."""
        total = len(self.document["items"])
        reported = -1
        while len(self.listed) < total and time.monotonic() < deadline:
            began = time.monotonic()
            status = await self.read_once()
            if status != 200 or len(self.listed) != reported:
                reported = len(self.listed)
                self.record.add(
                    f"trainer: GET lot {self.lot}: {status}, {reported} of {total} listed"
                )
            await asyncio.sleep(max(0.5 - (time.monotonic() - began), 0.0))

    async def end(self, gateway=None):
        """End the batch job and return the status, None without a response."""
        gateway = gateway or self.gateways[0]
        answer = await call(
            gateway.caller_address, "DELETE", f"/api/lots/{self.lot}", [("Host", HOST)]
        )
        status = None if answer is None else answer[0]
        self.record.add(f"trainer: DELETE lot {self.lot} at {gateway.name}: {status}")
        return status


class Scene:
    """Everything that a script starts; ended as a whole."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self.work = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = Store(self.record)
        self.workers = {}
        self.processes = []
        self.gateways = {}
        self.bounds = {
            "seedLagS": 3,
            "reuseAfterS": 2,
            "contactMs": 3000,
            "ackMs": 4000,
            "catchUpS": 4.5,
            "drainMs": 2000,
            "graceS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 2000,
            "rollbackSlackMs": 250,
            "skewMaxMs": 5000,
            "recoverS": 12,
            "passMs": 120,
            "retryAfterS": 0,
            "finishS": 10,
            "statusS": 120,
            "cancelMs": 3000,
            "settleMs": 1000,
            "quotaOverage": 0.1,
            "fencing": True,
            "leaseMs": 3000,
            "thawSlackMs": 300,
        }

    async def add_worker(self, worker_id, service, **options):
        """Start a worker in this process."""
        worker = Worker(self.store, self.record, worker_id, service, **options)
        await worker.start()
        self.workers[worker_id] = worker
        return worker

    async def add_gateway(self, name, ip, wait=True):
        """Start a gateway and wait until it is ready."""
        gateway = Gateway(self.work, self.record, name, ip, self.store.address, self.bounds)
        self.gateways[name] = gateway
        await gateway.launch()
        if wait:
            await gateway.wait_ready()
        return gateway

    async def stop(self):
        """End everything."""
        for gateway in self.gateways.values():
            await gateway.end()
        for process in self.processes:
            await process.end()
        for worker in self.workers.values():
            worker.server.stop()
        self.store.server.stop()
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(self.work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def main(folder, play, limit_s=110.0):
    """Play a case and exit with 1 if a rule was broken, 0 if it held, 2 if it could not run."""

    async def run():
        scene = Scene(folder)
        loop = asyncio.get_running_loop()
        # A script that is stopped ends its processes too.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await play(scene, os.environ.get("TROUBLE", "1") != "0")
        except (Exception, asyncio.CancelledError) as error:
            scene.record.add(f"could not run: {type(error).__name__} {error}")
            return 2
        finally:
            await scene.stop()
            scene.record.save()

    sys.exit(asyncio.run(run()))


if __name__ == "__main__" and sys.argv[1:2] == ["worker"]:
    asyncio.run(serve_worker(sys.argv[2], json.loads(sys.argv[3])))
