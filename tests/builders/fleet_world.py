"""Builders of a metadata store, targets, configurations, lots and gateways."""

import asyncio
import base64
import contextlib
import json
import os
import signal
import sys
from pathlib import Path

from tests.builders.loopback import LOOPBACK, free_port
from turmericreach.http1 import ConnectionPool
from turmericreach.node.gateway import Gateway
from turmericreach.node.settings import CloudSettings, NodeSettings, StoreSettings, Timings
from turmericreach_standins.fleet import StoreStandIn, TargetStandIn

HOST = "models.example"
MODEL = "m0"
PROGRAM = Path(__file__).parents[2] / "deploy" / "turmericreach_node.py"


def route(name, prefix, kind, service, **fields):
    """Return a route as an operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 3000,
        "goalMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def configuration(version=1, routes=None, **fields):
    """Return a configuration as an operator writes it."""
    if routes is None:
        routes = [
            route("lookup", "/lookup/", "safe", "portal"),
            route("order", "/order/", "unsafe", "portal"),
            route("chat", "/chat/", "streaming", "engines", resumable=True, sticky=True),
            route("rollout", "/rollout/", "rollout", "engines", dueMs=5000, queueTtlS=30),
            route("score", "/score/", "safe", "portal", maxAttempts=3),
        ]
    engine = {"slots": 8, "kvCapacityTokens": 9000, "models": [{"name": MODEL}], "stride": 10}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "portal", "healthPath": "/health", "maxConns": 100},
            {"name": "engines", "healthPath": "/health", "maxConns": 100, "engine": engine},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 4 << 20,
            "headerTimeoutMs": 500,
            "idleTimeoutMs": 5000,
        },
        **fields,
    }


def item(item_id, group="g0", hint=50, scorer=True):
    """Return an item of a lot as a trainer submits it."""
    value = {
        "id": item_id,
        "path": f"/rollout/{item_id}",
        "headers": {"X-Model": MODEL, "X-Token-Counts": "10,50", "X-Length-Hint": str(hint)},
        "body": base64.b64encode(f"prompt {item_id}".encode()).decode(),
        "tokens": 60,
        "group": group,
    }
    if scorer:
        body = base64.b64encode(b"judge").decode()
        value["scorer"] = {
            "id": f"s{item_id}",
            "host": HOST,
            "path": "/score/1",
            "body": body,
        }
    return value


def submission(items, min_version=0, step=0):
    """Return a lot as a trainer submits it."""
    return {
        "step": step,
        "model": MODEL,
        "minVersion": min_version,
        "targetGroups": 1,
        "items": items,
    }


class FleetWorld:
    """A metadata store and targets with gateways, in this process or in separate processes."""

    def __init__(self):
        self.store = StoreStandIn()
        self.targets: dict[str, TargetStandIn] = {}
        self.gateways: dict[str, Gateway] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.pool = ConnectionPool(1.0)
        # Address at which a gateway reaches the store (a proxy, say), if not its own address.
        self.store_addresses: dict[str, str] = {}
        # Duties towards the platform in the settings of the gateways, None for none.
        self.cloud: CloudSettings | None = None
        self.overload_control = False

    async def start(self, config=None):
        """Start the store and write a configuration to it."""
        await self.store.start()
        self.store.put("config", "main", config or configuration())

    async def add_target(self, target_id, service, **options) -> TargetStandIn:
        """Start a target and list it in the store, now and whenever it changes."""
        target = TargetStandIn(target_id, service, **options)
        await target.start()
        target.on_change = lambda: self.store.put("servers", target_id, target.entry())
        self.targets[target_id] = target
        self.store.put("servers", target_id, target.entry())
        return target

    def settings(self, host, **timings) -> NodeSettings:
        """Return the settings of a gateway."""
        return NodeSettings(
            host=host,
            role="gateway",
            data_centre="a",
            ip=LOOPBACK,
            caller_address=f"{LOOPBACK}:{free_port()}",
            ready_address=f"{LOOPBACK}:{free_port()}",
            peer_port=free_port(),
            metrics_port=free_port(),
            store=StoreSettings(
                self.store_addresses.get(host, self.store.address), 4000.0, 4000.0, 1 << 20
            ),
            cloud=self.cloud,
            timings=Timings(**{"grace_s": 4.0, "lease_s": 0.2, **timings}),
            overload_control=self.overload_control,
        )

    async def add_gateway(self, host, **timings) -> Gateway:
        """Start a gateway in this process and wait until it is ready."""
        gateway = Gateway(self.settings(host, **timings))
        self.gateways[host] = gateway
        self.tasks[host] = asyncio.get_running_loop().create_task(gateway.run())
        await eventually(gateway.is_ready)
        return gateway

    async def kill_gateway(self, host):
        """End a gateway as a crash does, without handover of lots and with connections reset."""
        gateway = self.gateways.pop(host)
        self.tasks.pop(host).cancel()
        await gateway.close()

    async def stop(self):
        """Stop gateways, targets and the store."""
        for host in list(self.gateways):
            await self.kill_gateway(host)
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()
        self.pool.close()

    async def call(self, gateway, method, path, body=b"", attempt="a1", **fields):
        """Call a gateway as a caller does and return status, headers and body."""
        headers = [("Host", HOST), ("X-Attempt-Id", attempt)]
        headers += [(name.replace("_", "-"), value) for name, value in fields.items()]
        address = gateway if isinstance(gateway, str) else gateway.settings.caller_address
        head, response = await self.pool.fetch(address, method, path, headers, body)
        return head.status, head.headers, response

    async def submit(self, gateway, lot, document):
        """Submit a lot and return the status."""
        body = json.dumps(document).encode()
        status, _, _ = await self.call(gateway, "POST", f"/rollout/{lot}", body, attempt=lot)
        return status

    async def read(self, gateway, lot, after=0):
        """Read a lot and return status and body."""
        status, _, body = await self.call(gateway, "GET", f"/api/lots/{lot}?after={after}")
        return status, json.loads(body) if status == 200 else None

    async def read_all(self, gateway, lot, total, timeout_s=10.0):
        """Read a lot until all its results are listed."""
        results = []
        async with asyncio.timeout(timeout_s):
            while len(results) < total:
                status, page = await self.read(gateway, lot, len(results))
                if status == 200:
                    results += page["results"]
                await asyncio.sleep(0.02)
        return results


class GatewayProcess:
    """A gateway that runs in a separate process.

    Attributes
    ----------
    script : Path
        Program that the next launch starts.
    grace_s : float
        Seconds from SIGTERM until the platform kills the program.
    caller_address, ready_address : str
        Addresses of the listeners for callers and for the ready check.
    """

    def __init__(self, world: FleetWorld, host: str, folder: Path):
        self.world = world
        self.host = host
        self.settings_file = folder / f"{host}.json"
        self.log_file = folder / f"{host}.log"
        self.caller_address = f"{LOOPBACK}:{free_port()}"
        self.ready_address = f"{LOOPBACK}:{free_port()}"
        self.ports = [free_port(), free_port()]
        self.process: asyncio.subprocess.Process | None = None
        self.script = PROGRAM
        self.grace_s = 6

    def document(self):
        """Return the settings as the platform writes them."""
        return {
            "node": self.host,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": LOOPBACK,
            "zone": "a",
            "listen": {"front": self.caller_address, "ready": self.ready_address},
            "portRange": self.ports,
            "bounds": {"graceS": self.grace_s, "leaseMs": 500, "statusS": 120},
            "platform": {
                "address": self.world.store.address,
                "writesPerS": 4000,
                "readsPerS": 4000,
                "valueBytes": 1 << 20,
            },
        }

    async def start(self):
        """Start the program and wait until it is ready."""
        await self.launch()
        await eventually(self.is_ready, timeout_s=15.0)

    async def launch(self):
        """Start the program."""
        self.settings_file.write_text(json.dumps(self.document()))
        environment = {**os.environ, "TURMERICREACH_NODE_FILE": str(self.settings_file)}
        with self.log_file.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, str(self.script), "gateway", env=environment, stdout=log, stderr=log
            )

    async def is_ready(self):
        """Return whether the ready check succeeds; raise if the program has exited."""
        if self.process.returncode is not None:
            raise AssertionError(f"{self.host} exited: {self.log_file.read_text()[-2000:]}")
        try:
            status, _, _ = await self.world.call(self.ready_address, "GET", "/api/ready")
        except Exception:
            return False
        return status == 200

    def signal(self, number):
        """Send a signal to the program."""
        self.process.send_signal(number)

    async def end(self):
        """Kill the program if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.signal(signal.SIGKILL)
        await self.process.wait()

    def events(self):
        """Return the events that the program has logged."""
        lines = self.log_file.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


async def eventually(condition, timeout_s=8.0):
    """Wait until a function or coroutine function returns a true value, and return that value."""
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
