"""A gateway's HTTP endpoint on a real socket, with small fakes behind it."""

import asyncio
import contextlib
import types

import msgspec

from tests.builders.objectstore import MemoryObjectStore
from turmericreach.daemon.gateway import GatewayDaemon
from turmericreach.daemon.gateway_app import build_app
from turmericreach.daemon.lot_runner import LotContext
from turmericreach.daemon.lot_service import LotService
from turmericreach.daemon.ordinary import OrdinaryRequests
from turmericreach.httpclient import open_session
from turmericreach.httpserver import CancelOnDisconnect, HttpServer, bind_socket
from turmericreach.lots import EngineView
from turmericreach.manifest import ModelSpec, Policy, ServiceKind, ServiceSpec, TrainerSpec
from turmericreach.security import TokenTable
from turmericreach.settings.schema import LimitSettings
from turmericreach.targets import HttpService, ServiceCall
from turmericreach.telemetry import Metrics

LIMITS = LimitSettings(
    max_body_bytes=10_000, max_lot_bytes=50_000, max_connections=50, slow_sender_timeout_s=0.5
)


class DirectRunner:
    """Runs requests directly at one target, without agents, and keeps them in `requests`."""

    def __init__(self):
        self.requests = []
        self.service = None
        self.running = 0

    async def run(self, request, stream=None, on_sent=None):
        self.requests.append(request)
        call = ServiceCall(
            request.method,
            request.path,
            [*request.headers, ("Turmericreach-Request-Id", request.request_id)],
            request.body,
            request.idempotent,
            False,
            10.0,
        )
        self.running += 1
        try:
            return (await self.service.run(call, stream))[0]
        finally:
            self.running -= 1


def raise_fault():
    """Raise as a handler with a programming error does."""
    raise LookupError("a fault in a handler")


class EndpointGateway:
    """Provides the part of `GatewayDaemon` that the routes use."""

    announce = GatewayDaemon.announce
    drain = GatewayDaemon.drain
    active_version = GatewayDaemon.active_version

    def __init__(self, limits=LIMITS, store=None):
        loop = asyncio.get_running_loop()
        services = [
            ServiceSpec("assistant", ServiceKind.MODEL, "assistant"),
            ServiceSpec(
                "portal", ServiceKind.PLAIN, non_idempotent_paths=["POST /orders", "/admin"]
            ),
        ]
        self.node = types.SimpleNamespace(
            name="g1",
            settings=types.SimpleNamespace(limits=limits, data_centre="tampere"),
            manifest=types.SimpleNamespace(
                trainers=[TrainerSpec("fitting")], models=[ModelSpec("assistant")], policy=Policy()
            ),
            services={service.name: service for service in services},
            targets={},
            members=types.SimpleNamespace(gateways=lambda now: ["g1"]),
            wanted=types.SimpleNamespace(active={}),
            store=store or MemoryObjectStore(),
            now=loop.time,
            wall_clock=lambda: 0.0,
            record_decision=lambda *values: None,
            leaving=False,
            metrics=Metrics("", "g1"),
        )
        self.queries = types.SimpleNamespace(target_rows=raise_fault)
        self.runner = DirectRunner()
        self.tokens = TokenTable([])
        self.fleet = types.SimpleNamespace(apply_wanted=lambda rows: None)
        self.rollouts = types.SimpleNamespace(unsaved={})
        self.lots = LotService(self.node, self.lot_context)
        self.ordinary = OrdinaryRequests(self.runner, self.node.services.get, limits)

    def lot_context(self, spec):
        return LotContext(
            self.runner, lambda *values: EngineView([]), lambda model: 0, lambda target: 0
        )

    def ready(self):
        return True

    def record(self, *values):
        pass

    def status(self):
        return {}

    def target_rows(self):
        raise LookupError("a fault in a handler")

    async def explain(self, subject):
        return [subject]


class Endpoint:
    """A running endpoint; `gateway` holds the fakes behind it."""

    def __init__(self, gateway, server, port):
        self.gateway = gateway
        self.server = server
        self.port = port
        self.url = f"http://127.0.0.1:{port}"

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def exchange(self, data, timeout_s=5.0):
        """Send bytes and return everything up to the end of the connection."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            async with asyncio.timeout(timeout_s):
                return await reader.read()
        finally:
            writer.close()

    async def request(self, method, path, body=b"", headers=(), timeout_s=5.0):
        """Send one request; return status, headers and body."""
        lines = [f"{method} {path} HTTP/1.1", "Host: endpoint", "Connection: close", *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(body)}")
        raw = await self.exchange("\r\n".join(lines).encode() + b"\r\n\r\n" + body, timeout_s)
        return parse(raw)


def parse(raw):
    """Return status, headers and body of a response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    return int(lines[0].split()[1]), headers, body


def error_of(response):
    """Return the error of an answer, after checking its form."""
    status, headers, body = response
    error = msgspec.json.decode(body)["error"]
    assert status >= 400
    assert sorted(error) == ["code", "message", "request_id", "retry_after_s", "verdict"]
    assert error["request_id"]
    assert headers["turmericreach-request-id"] == error["request_id"].lower()
    assert headers["turmericreach-verdict"] == error["verdict"]
    return error


@contextlib.asynccontextmanager
async def open_endpoint(target_url="http://127.0.0.1:9", limits=LIMITS):
    """Run an endpoint whose ordinary requests go to a target."""
    async with open_session() as session, open_session(reuse=False) as unpooled_session:
        gateway = EndpointGateway(limits)
        gateway.runner.service = HttpService(target_url, session, unpooled_session)
        listener = bind_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        server = HttpServer(CancelOnDisconnect(build_app(gateway)), listener, limits, 1.0)
        await server.start()
        try:
            yield Endpoint(gateway, server, port)
        finally:
            await server.stop()
            for runner in gateway.lots.runners.values():
                await runner.stop()
