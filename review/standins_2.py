"""Stand-ins and helpers of the cases of the second review: store, engines, scorers, gateways."""

import asyncio
import base64
import contextlib
import functools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

from turmericreach.http1 import (
    ConnectFailed,
    ConnectionPool,
    HttpServer,
    Request,
    Responder,
    ResponseIncomplete,
)

__all__ = [
    "HOST",
    "Client",
    "Engine",
    "GatewayProcess",
    "Record",
    "Scorer",
    "Store",
    "Worker",
    "configuration",
    "eventually",
    "item",
    "run_case",
    "submission",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "models.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = "9464"
# Pause between the end of a process and its next start, as the platform makes one.
RESTART_PAUSE_S = 0.5
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store, with an address of its own for each gateway.

    Attributes
    ----------
    objects : dict of (str, str) to dict
        Objects by kind and name, as they are sent.
    revision : int
        Revision of the newest change.
    history : list of tuple
        Revision, kind, whether the object was removed, and the object, of each change.
    turned_away : set of str
        Gateways whose calls get 503.
    on_write : callable or None
        Called with the gateway and the request after a write of a gateway has taken effect; the
        response is sent only if it returns true.
    """

    def __init__(self, record: Record):
        self.record = record
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 1
        self.history: list[tuple[int, str, bool, dict]] = []
        self.changed = asyncio.Event()
        self.turned_away: set[str] = set()
        self.on_write = None
        self.servers: list[HttpServer] = []

    async def address_for(self, gateway: str) -> str:
        """Listen at another address, which one gateway calls."""
        server = HttpServer(functools.partial(self.handle, gateway))
        self.servers.append(server)
        return f"127.0.0.1:{await server.start('127.0.0.1:0')}"

    def put(self, kind: str, name: str, spec=None, status=None) -> dict:
        """Create or replace an object; a part of None keeps the present one."""
        known = self.objects.get((kind, name), {})
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
            "spec": known.get("spec") if spec is None else spec,
            "status": known.get("status") if status is None else status,
        }
        self.objects[kind, name] = value
        self.add_change(kind, False, value)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        value = self.objects.pop((kind, name))
        self.revision += 1
        value = {**value, "metadata": {**value["metadata"], "revision": self.revision}}
        self.add_change(kind, True, value)

    def add_change(self, kind: str, removed: bool, value: dict) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, removed, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, gateway: str, request: Request, responder: Responder) -> None:
        """Handle a call of a gateway."""
        if gateway in self.turned_away:
            responder.send(503)
            return
        parts = [unquote(part) for part in request.path.split("/")[3:]]
        query = {key: values[0] for key, values in parse_qs(request.query).items()}
        if request.method == "GET":
            status, value = await self.read(request, parts, query)
        else:
            revision = self.revision
            status, value = self.write(request, parts, query)
            applied = self.revision > revision
            if applied and self.on_write is not None and not self.on_write(gateway, request):
                await request.disconnected.wait()
                return
        body = b"" if value is None else json.dumps(value).encode()
        responder.send(status, [("Content-Type", "application/json")], body)

    async def read(self, request: Request, parts: list[str], query: dict) -> tuple[int, dict]:
        """Return the response to a read of an object, a list or a watch."""
        kind = parts[0]
        if len(parts) > 1:
            value = self.objects.get((kind, parts[1]))
            return (200, value) if value else (404, None)
        if "watch" in query:
            events = await self.wait_for_events(request, kind, query)
            return 200, {"events": events, "storeRevision": self.revision}
        names = sorted(name for of_kind, name in self.objects if of_kind == kind)
        names = [name for name in names if name > query.get("after", "")]
        items, size = [], 0
        for name in names:
            size += len(json.dumps(self.objects[kind, name]))
            if items and (size > 1_000_000 or len(items) >= 500):
                break
            items.append(self.objects[kind, name])
        page = {"items": items, "hasMore": len(items) < len(names)}
        return 200, {**page, "storeRevision": self.revision}

    async def wait_for_events(self, request: Request, kind: str, query: dict) -> list[dict]:
        """Return the changes of a kind after a revision, waiting for the first."""
        since = int(query["watch"])
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                {"object": value, "removed": removed}
                for revision, of_kind, removed, value in self.history
                if of_kind == kind and revision > since
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0 or request.disconnected.is_set():
                return events
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()

    def write(self, request: Request, parts: list[str], query: dict) -> tuple[int, dict | None]:
        """Apply a write and return the response."""
        kind = parts[0]
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        if request.method == "POST":
            known = self.objects.get((kind, metadata["name"]))
            if known:
                return 409, known
            return 200, self.put(kind, metadata["name"], body.get("spec"))
        known = self.objects.get((kind, parts[1]))
        if known is None:
            return 404, None
        revision = metadata.get("revision", query.get("revision"))
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            self.remove(kind, parts[1])
            return 200, known
        part = "status" if parts[2:] == ["status"] else "spec"
        if body.get(part) == known[part]:
            return 200, known
        return 200, self.put(kind, parts[1], **{part: body.get(part)})


class Worker:
    """Base of the workers: registration in the store, and the checks that all make."""

    def __init__(self, store: Store, record: Record, name: str, service: str, slots: int):
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.running = 0
        self.address = ""
        self.server = HttpServer(self.handle)

    async def start(self) -> None:
        """Listen on a free port and register."""
        self.address = f"127.0.0.1:{await self.server.start('127.0.0.1:0')}"
        self.register()

    def register(self) -> None:
        """Write the entry of this worker."""
        self.store.put("servers", self.id, self.entry())

    def entry(self) -> dict:
        """Return the entry of this worker."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
        }

    def fields(self, attempt: str, stamped: bool = True) -> list[tuple[str, str]]:
        """Return the header fields of a response."""
        fields = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Load", f"{self.running},0,{self.slots}"),
        ]
        return [*fields, ("X-Server-Stamp", f"stamp-{attempt}")] if stamped else fields

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle a request; one that expects another worker, or finds no slot, does not run."""
        attempt = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expect-instance")
        if request.path == "/health":
            responder.send(200, [("X-Instance-Id", self.id)])
        elif expected not in (None, self.id):
            responder.send(421, self.fields(attempt, stamped=False))
        elif request.path.startswith("/api/"):
            await self.handle_control(request, responder)
        elif self.running >= self.slots:
            fields = [*self.fields(attempt, stamped=False), ("X-Not-Executed", "1")]
            responder.send(503, fields)
        else:
            self.running += 1
            try:
                await self.run(request, responder, attempt)
            finally:
                self.running -= 1

    async def handle_control(self, request: Request, responder: Responder) -> None:
        """Reject a call that this kind of worker does not have."""
        responder.send(404)

    async def run(self, request: Request, responder: Responder, attempt: str) -> None:
        """Run a request."""
        raise NotImplementedError


class Scorer(Worker):
    """A worker that scores texts."""

    def __init__(self, store: Store, record: Record, name: str, work_s: float = 0.005):
        super().__init__(store, record, name, "scores", 64)
        self.work_s = work_s

    async def run(self, request: Request, responder: Responder, attempt: str) -> None:
        """Score a text."""
        await asyncio.sleep(self.work_s)
        responder.send(200, self.fields(attempt), b"scored")


class Engine(Worker):
    """A model worker: each step makes one event of each run, and the last step ends the stream.

    Attributes
    ----------
    step_s : float
        Seconds between two steps.
    texts : dict of str to list of str
        Data of all events of each item.
    models : dict of str to int
        Version of each model.
    loading : bool
        Whether an order is in progress.
    sequence, fence : int
        Orders accepted since the start, and the highest fencing token seen.
    on_order : callable or None
        Called with each order; the order is left unanswered if it returns true.
    """

    # A load of weights takes this long.
    LOAD_S = 0.9

    def __init__(self, store, record, name, slots, step_s, texts, models):
        super().__init__(store, record, name, "engines", slots)
        self.step_s = step_s
        self.texts = texts
        self.models = dict(models)
        self.loading = False
        self.sequence = 0
        self.fence = 0
        self.on_order = None
        self.loads: set[asyncio.Task] = set()

    def entry(self) -> dict:
        """Return the entry with the versions of the models."""
        return {**super().entry(), "stage": "both", "models": self.model_list()}

    def model_list(self) -> list[dict]:
        """Return the models as the entry and the report list them."""
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]

    async def handle_control(self, request: Request, responder: Responder) -> None:
        """Answer a call for the report, or an order."""
        if request.path == "/api/report":
            report = {
                "stage": "both",
                "models": self.model_list(),
                "busy": self.loading,
                "seq": self.sequence,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 1,
                "handles": 0,
                "born": self.born,
            }
            responder.send(200, [], json.dumps(report).encode())
            return
        if request.path != "/api/order":
            responder.send(404)
            return
        order = json.loads(request.body)
        if self.on_order is not None and self.on_order(order):
            self.record.add(f"{self.id} leaves {describe(order)} unanswered")
            await request.disconnected.wait()
            return
        status = self.accept_order(order)
        self.record.add(f"{self.id} answers {describe(order)} with {status}")
        responder.send(status)

    def accept_order(self, order: dict) -> int:
        """Check an order, begin to carry it out, and return the status of the response."""
        if order.get("fence", -1) < self.fence:
            return 412
        if self.loading or order.get("precondition", self.sequence) != self.sequence:
            return 409
        if ("versions", order["model"]) not in self.store.objects:
            return 400
        named = self.store.objects["versions", order["model"]]["spec"]["version"]
        if not 1 <= order["version"] <= named:
            return 400
        self.fence = order["fence"]
        if self.models[order["model"]] == order["version"]:
            return 200
        self.sequence += 1
        self.loading = True
        task = asyncio.get_running_loop().create_task(self.load(order))
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)
        return 202

    async def load(self, order: dict) -> None:
        """Load a version; runs continue under the new one."""
        await asyncio.sleep(self.LOAD_S)
        self.loading = False
        self.models[order["model"]] = order["version"]
        self.record.add(f"{self.id} now has version {order['version']}, {self.running} runs go on")
        self.register()

    async def crash(self, down_s: float) -> None:
        """End and start again under the same id, with the same versions and nothing else."""
        self.record.add(f"{self.id} crashes")
        for task in self.loads:
            task.cancel()
        await self.server.stop()
        await asyncio.sleep(down_s)
        self.loading, self.sequence, self.fence = False, 0, 0
        self.born = int(time.time() * 1000)
        self.server = HttpServer(self.handle)
        await self.server.start(self.address)
        self.register()
        self.record.add(f"{self.id} has started again with {self.models}")

    async def run(self, request: Request, responder: Responder, attempt: str) -> None:
        """Generate the events after the last one that the sender has."""
        last = int(request.headers.get("last-event-id", "0"))
        data = self.texts[attempt]
        model = request.headers.get("x-model", "")
        version = self.models[model]
        if self.loading:
            responder.send(503, [*self.fields(attempt, stamped=False), ("X-Not-Executed", "1")])
            return
        fields = [
            *self.fields(attempt),
            ("X-Weight-Versions", str(version)),
            ("Content-Type", "text/event-stream"),
        ]
        responder.start(200, fields)
        self.record.add(f"{self.id} runs {attempt} after event {last}")
        sent = last
        for number in range(last + 1, len(data) + 1):
            if await self.left_within_step(request):
                break
            line = ""
            if self.models[model] != version:
                version = self.models[model]
                line = f"x-weight-versions: {version}\n"
            await responder.write(f"{line}id: {number}\ndata: {data[number - 1]}\n\n".encode())
            sent = number
        else:
            # The step that finds the end of the text makes no event.
            if not await self.left_within_step(request):
                responder.finish()
                self.record.add(f"{self.id} has made all {sent} events of {attempt}")
                return
        self.record.add(f"{self.id} stops {attempt} after event {sent}: the sender has left")

    async def left_within_step(self, request: Request) -> bool:
        """Wait for the next step and return whether the sender has closed its channel."""
        if self.step_s:
            await asyncio.sleep(self.step_s)
        return request.disconnected.is_set()


class Client:
    """A consumer: each call uses a new channel."""

    def __init__(self, record: Record):
        self.record = record
        self.pool = ConnectionPool(1.0, max_idle=0)

    async def call(self, address, method, path, body=b"", attempt="", timeout_s=15.0, **fields):
        """Return the status, the header fields and the body; status 0 without a whole response."""
        headers = [("Host", HOST)]
        if attempt:
            headers.append(("X-Attempt-Id", attempt))
        headers += [(name.replace("_", "-"), value) for name, value in fields.items()]
        try:
            async with asyncio.timeout(timeout_s):
                head, answer = await self.pool.fetch(address, method, path, headers, body)
        except (ConnectFailed, ResponseIncomplete, TimeoutError):
            return 0, None, b""
        return head.status, head.headers, answer

    async def is_ready(self, gateway) -> bool:
        """Return whether a gateway takes callers."""
        status, _, _ = await self.call(gateway.ready_address, "GET", "/api/ready", timeout_s=1.0)
        return status == 200

    async def read_all(self, gateways, lot: str, deadline: float) -> list[dict]:
        """Read a lot at any gateway until it is whole, or until the deadline."""
        results: list[dict] = []
        total = None
        while (total is None or len(results) < total) and time.monotonic() < deadline:
            gateway = random.choice(gateways)
            status, _, body = await self.call(
                gateway.caller_address,
                "GET",
                f"/api/lots/{lot}?after={len(results)}",
                timeout_s=4.0,
                X_Wait_Ms="1000",
            )
            if status != 200:
                await asyncio.sleep(0.3)
                continue
            page = json.loads(body)
            total = page["total"]
            results += page["results"]
        self.record.add(f"lot {lot} was read: {len(results)} results of {total}")
        return results


class GatewayProcess:
    """A gateway as a process, started with the command of the deploy file.

    Attributes
    ----------
    ip : str
        Loopback address of its machine.
    """

    def __init__(self, store_address: str, node: str, ip: str, folder: Path, **settings):
        self.node = node
        self.ip = ip
        self.folder = folder
        self.caller_address = f"{ip}:{free_port(ip)}"
        self.ready_address = f"{ip}:{free_port(ip)}"
        first = free_port(ip)
        self.document = {
            "node": node,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {"front": self.caller_address, "ready": self.ready_address},
            "portRange": [first, first],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 160, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "samples", "stream", "engine", "batch"],
            "bounds": {
                "graceS": 8,
                "leaseMs": 3000,
                "statusS": 120,
                "drainMs": 2000,
                "fencing": False,
            },
            "platform": {
                "address": store_address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1 << 20,
            },
            **settings,
        }
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        settings = self.folder / f"{self.node}.json"
        settings.write_text(json.dumps(self.document))
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["TURMERICREACH_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command = ["python3", "deploy/turmericreach_node.py", "gateway"]
        command += ["--metrics-port", METRICS_PORT]
        with (self.folder / f"{self.node}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running():
            self.process.send_signal(number)

    async def wait_end(self) -> None:
        """Wait until the process has ended."""
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        self.signal(signal.SIGKILL)
        await self.wait_end()

    def log_lines(self, event: str) -> list[dict]:
        """Return the log entries of an event."""
        found = []
        for line in (self.folder / f"{self.node}.log").read_text().splitlines():
            if f'"{event}"' in line:
                found.append(json.loads(line))
        return found


def describe(order: dict) -> str:
    """Return a text that names an order."""
    return (
        f"the order for version {order['version']} of {order['holder']}, "
        f"fencing token {order['fence']}, precondition {order.get('precondition')},"
    )


def free_port(ip: str) -> int:
    """Return a port of an address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def configuration(models: list[str], **rollout) -> dict:
    """Return a configuration with a route of lots and a route of their scorers."""
    common = {"host": HOST, "goalMs": 400, "priority": 1, "maxAttempts": 3, "timeoutMs": 10000}
    routes = [
        {
            "name": "rollout",
            "pathPrefix": "/rollout/",
            "kind": "rollout",
            "service": "engines",
            "dueMs": 7500,
            "queueTtlS": 120,
            **common,
            **rollout,
        },
        {
            "name": "score",
            "pathPrefix": "/score/",
            "kind": "safe",
            "service": "scores",
            **common,
        },
    ]
    engine = {
        "slots": 8,
        "kvCapacityTokens": 2_000_000,
        "models": [{"name": model} for model in models],
        "stride": 32,
    }
    return {
        "version": 1,
        "routes": routes,
        "services": [
            {"name": "scores", "healthPath": "/health", "maxConns": 400},
            {"name": "engines", "healthPath": "/health", "maxConns": 400, "engine": engine},
        ],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def item(name: str, model: str, group: str, tokens: int, hint: int) -> dict:
    """Return an item of a lot."""
    return {
        "id": name,
        "path": f"/rollout/{name}",
        "headers": {"X-Model": model, "X-Token-Counts": f"16,{tokens}", "X-Length-Hint": str(hint)},
        "body": base64.b64encode(f"prompt of {name}".encode()).decode(),
        "tokens": tokens + 16,
        "group": group,
        "scorer": {
            "id": f"s{name}",
            "host": HOST,
            "path": "/score/1",
            "body": base64.b64encode(b"score").decode(),
        },
    }


def submission(model: str, items: list[dict], min_version: int = 0) -> bytes:
    """Return the body of a submission."""
    document = {
        "step": min_version,
        "model": model,
        "minVersion": min_version,
        "targetGroups": 0,
        "items": items,
    }
    return json.dumps(document).encode()


async def eventually(condition, timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it does in time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return True
        await asyncio.sleep(0.05)
    return False


def run_case(case, folder: Path) -> None:
    """Run a case with a temporary folder and exit with its result.

    Parameters
    ----------
    case : coroutine function
        Takes a `Record`, a temporary folder and a list to which it adds the processes that it
        starts; returns the exit status.
    folder : Path
        Folder of the case.
    """

    async def main() -> int:
        record = Record(folder)
        processes: list[GatewayProcess] = []
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as temporary:
            try:
                async with asyncio.timeout(112):
                    status = await case(record, Path(temporary), processes)
            except (Exception, asyncio.CancelledError) as error:
                record.add(f"the case could not run: {type(error).__name__}: {error}")
                status = NOT_RUN
            finally:
                # A task that still runs could start a process again.
                for task in asyncio.all_tasks() - {asyncio.current_task()}:
                    task.cancel()
                await asyncio.sleep(0)
                for process in processes:
                    await process.end()
        words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no result"}
        record.add(words[status])
        print(words[status])
        return status

    sys.stdout.reconfigure(line_buffering=True)
    os._exit(asyncio.run(main()))
