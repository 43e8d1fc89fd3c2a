"""Stand-in of the platform's targets: engines, and services that do not generate."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import attrs

from turmericreach.http1 import HttpServer, Request, Responder
from turmericreach.http1.headers import encode_headers

__all__ = ["TargetFaults", "TargetStandIn"]

# Delay of the orders that the fault `late_orders` affects, in seconds.
LATE_ORDER_S = 2.0


@attrs.define
class TargetFaults:
    """Faults that the target currently simulates.

    Attributes
    ----------
    lose_answers : int
        Number of next requests that run and whose connection is aborted without a response.
    shed : int
        Number of next requests that are rejected with status 503 without running.
    fail : int
        Number of next requests that run and get status 500.
    status : int or None
        Status of every response, None for the usual one.
    interrupt_after_events : int or None
        The connection of the next stream is closed inside the event after this many events.
    silent : bool
        Accept requests and send no response.
    extra_answer : bool
        Send a second response after each one.
    late_extra : bool
        Send a copy of each rejection just before the next response on its connection.
    truncate : bool
        Close the connection in the middle of each body.
    unframed : bool
        Send responses and streams without a length, whose end is the end of the connection.
    crash_after_events : int or None
        The target ends as a killed process does after this many events of a stream: it closes all
        connections without a reset.
    lose_every, mute_every : int
        Of this many streams, one has its connection aborted (`lose_every`) or left open
        (`mute_every`) without a byte sent; 0 affects none.
    late_orders : int
        Number of next orders that are applied only after `LATE_ORDER_S` and get no response.
    limit_per_s : float or None
        Limit that each response names; nothing enforces it.
    leaving : bool
        Say in every response that the target is about to stop.
    crash_body : bytes or None
        A request with this body ends the target once it runs: all its connections are aborted and
        its port is closed.
    """

    lose_answers: int = 0
    shed: int = 0
    fail: int = 0
    status: int | None = None
    interrupt_after_events: int | None = None
    silent: bool = False
    extra_answer: bool = False
    late_extra: bool = False
    truncate: bool = False
    unframed: bool = False
    lose_every: int = 0
    mute_every: int = 0
    late_orders: int = 0
    limit_per_s: float | None = None
    leaving: bool = False
    crash_body: bytes | None = None
    crash_after_events: int | None = None


class TargetStandIn:
    """One target, which serves requests, reports and orders over HTTP.

    Parameters
    ----------
    target_id : str
        Id of the target.
    service : str
        Service that it belongs to.
    models : dict of str to int, optional
        Weight version of each model; none for a service that does not generate.
    events : int
        Number of events in a whole stream.
    work_s : float
        Seconds from the arrival of a request to the response.
    event_s : float
        Seconds before each event of a stream.
    slots : int
        Number of slots that it reports.

    Attributes
    ----------
    faults : TargetFaults
        Faults that are set.
    software_version : str
        Version of its software, as its entry names it.
    started_ms : int
        Unix milliseconds of its start.
    event_prefix : str
        Text before the data of each event, so that a reader can tell which target made it.
    runs : list of tuple of str
        Attempt id, method and request target (path and query) of each request that ran.
    arrivals : list of Request
        Requests that arrived, apart from orders and calls for the report; those that the fault
        `shed` rejects are included.
    arrival_times : list of float
        Loop time in seconds of each of these arrivals.
    orders : list of dict
        Orders that changed a version.
    orders_accepted : int
        Number of these orders.
    highest_fencing_token : int
        Highest fencing token of an accepted order.
    active : int
        Requests that run at present.
    stream_count : int
        Streams requested so far.
    dropped : int
        Requests that ended without a whole response.
    crashes : int
        Number of times that it was ended by a request.
    late : dict of object to bytes
        Extra response that precedes the next one, by connection.
    on_change : callable
        Called when an order has changed a version.
    address : str
        Host and port once it listens.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        models: dict[str, int] | None = None,
        events: int = 5,
        work_s: float = 0.0,
        event_s: float = 0.0,
        slots: int = 8,
    ):
        self.id = target_id
        self.service = service
        self.models = dict(models or {})
        self.events = events
        self.work_s = work_s
        self.event_s = event_s
        self.slots = slots
        self.faults = TargetFaults()
        self.software_version = "v1"
        self.started_ms = 1000
        self.event_prefix = ""
        self.runs: list[tuple[str, str, str]] = []
        self.arrivals: list[Request] = []
        self.arrival_times: list[float] = []
        self.orders: list[dict[str, Any]] = []
        self.orders_accepted = 0
        self.highest_fencing_token = 0
        self.active = 0
        self.stream_count = 0
        self.dropped = 0
        self.crashes = 0
        self.late: dict[object, bytes] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.server = HttpServer(self.handle)
        self.address = ""

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        port = await self.server.start("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop the server and close its connections."""
        await self.server.stop()

    async def crash(self) -> None:
        """End as a killed process does: close the port and abort all connections."""
        self.crashes += 1
        await self.server.stop()

    async def restart(self, target_id: str) -> None:
        """Listen again on the same port, under a new id."""
        self.id = target_id
        self.server = HttpServer(self.handle)
        await self.server.start(self.address)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry of the target in service discovery."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": self.software_version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "stage": "both",
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.models.items()
            ],
            "seq": self.orders_accepted,
            "born": self.started_ms,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle a request, an order or a call for the report."""
        responder.connection.write(self.late.pop(responder.connection, b""))
        if request.path == "/api/report":
            responder.send(200, self.leaving_fields(), json.dumps(self.report()).encode())
            return
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            attempt = request.headers.get("x-attempt-id")
            echo = [] if attempt is None else [("X-Attempt-Id", attempt)]
            responder.send(421, [("X-Instance-Id", self.id), *echo])
            return
        if request.path == "/api/order":
            await self.handle_order(request, responder)
            return
        self.arrivals.append(request)
        self.arrival_times.append(asyncio.get_running_loop().time())
        attempt = request.headers.get("x-attempt-id", "")
        if self.faults.shed > 0:
            self.faults.shed -= 1
            rejection_fields = [
                ("X-Attempt-Id", attempt),
                ("X-Not-Executed", "1"),
                ("X-Server-Load", f"{self.slots},0,{self.slots}"),
                *self.leaving_fields(),
            ]
            responder.send(503, rejection_fields)
            if self.faults.late_extra:
                fields = [*rejection_fields, ("Content-Length", "0")]
                self.late[responder.connection] = encode_headers("HTTP/1.1 503 Full", fields)
            return
        self.runs.append((attempt, request.method, request.target))
        self.active += 1
        try:
            await self.run(request, responder, attempt)
        finally:
            self.active -= 1
            if not responder.finished:
                self.dropped += 1

    async def run(self, request: Request, responder: Responder, attempt: str) -> None:
        """Run a request, subject to the faults that are set."""
        if self.faults.silent:
            await request.disconnected.wait()
            return
        if self.work_s and await disconnects_within(request, self.work_s):
            return
        if self.faults.crash_body is not None and request.body == self.faults.crash_body:
            await self.crash()
            return
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            responder.abort()
            return
        if self.faults.fail > 0:
            self.faults.fail -= 1
            responder.send(500, self.response_fields(attempt))
            return
        if self.faults.status is not None:
            responder.send(self.faults.status, self.response_fields(attempt))
            return
        if request.headers.get("x-model"):
            if await self.lose_stream(request, responder):
                return
            await self.generate(request, responder, attempt)
            return
        self.respond(request, responder, attempt)

    async def lose_stream(self, request: Request, responder: Responder) -> bool:
        """Lose the response if the fault affects this stream; return whether it did."""
        self.stream_count += 1
        if self.faults.mute_every and self.stream_count % self.faults.mute_every == 0:
            await request.disconnected.wait()
            return True
        if self.faults.lose_every and self.stream_count % self.faults.lose_every == 0:
            responder.abort()
            return True
        return False

    def respond(self, request: Request, responder: Responder, attempt: str) -> None:
        """Send the response of a plain request, with a defect if a fault is set."""
        body = f"{self.id} answers {attempt}".encode()
        response_fields = self.response_fields(attempt)
        head = "HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in response_fields
        )
        connection = responder.connection
        if self.faults.unframed:
            connection.write(f"{head}\r\n".encode() + body)
            connection.transport.close()
        elif self.faults.truncate:
            connection.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body[:4])
            connection.transport.close()
        elif self.faults.extra_answer:
            whole = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
            connection.write(whole + whole.replace(attempt.encode(), b"x" * len(attempt)))
        else:
            responder.send(200, response_fields, body)
            return
        responder.finished = True

    def response_fields(self, attempt: str) -> list[tuple[str, str]]:
        """Return the header fields of a response."""
        fields = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Stamp", f"stamp-{attempt}"),
            ("X-Server-Load", f"{self.active},0,{self.slots}"),
        ]
        if self.faults.limit_per_s is not None:
            fields.append(("Server-Limit", str(self.faults.limit_per_s)))
        return fields + self.leaving_fields()

    def leaving_fields(self) -> list[tuple[str, str]]:
        """Return the header field that announces the end of the target, if the fault is set."""
        return [("Server-Leaving", "1")] if self.faults.leaving else []

    async def generate(self, request: Request, responder: Responder, attempt: str) -> None:
        """Stream events, starting after the last one that the caller has received."""
        model = request.headers.get("x-model", "")
        version = self.models.get(model, next(iter(self.models.values()), 1))
        last = request.headers.get("last-event-id")
        first = int(last) + 1 if last is not None else 1
        response_fields = [
            *self.response_fields(attempt),
            ("X-Weight-Versions", str(version)),
            ("Content-Type", "text/event-stream"),
        ]
        if self.faults.unframed:
            await self.generate_unframed(request, responder, attempt, response_fields)
            return
        responder.start(200, response_fields)
        for sent, number in enumerate(range(first, self.events + 1)):
            if self.event_s and await disconnects_within(request, self.event_s):
                return
            if request.disconnected.is_set():
                return
            if self.faults.interrupt_after_events == sent:
                self.faults.interrupt_after_events = None
                await responder.write(f"id: {number}\nda".encode())
                responder.connection.transport.close()
                return
            data = f"{self.event_prefix}{attempt}-{number}"
            await responder.write(f"id: {number}\ndata: {data}\n\n".encode())
        responder.finish()

    async def generate_unframed(
        self, request: Request, responder: Responder, attempt: str, fields: list[tuple[str, str]]
    ) -> None:
        """Stream events without a length, and end with the connection."""
        last = request.headers.get("last-event-id")
        first = int(last) + 1 if last is not None else 1
        connection = responder.connection
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
        connection.write(f"{head}\r\n".encode())
        for sent, number in enumerate(range(first, self.events + 1)):
            if self.event_s and await disconnects_within(request, self.event_s):
                return
            if self.faults.crash_after_events == sent:
                connection.transport.close()
                await self.crash()
                return
            data = f"{self.event_prefix}{attempt}-{number}"
            connection.write(f"id: {number}\ndata: {data}\n\n".encode())
        connection.transport.close()
        responder.finished = True

    def report(self) -> dict[str, Any]:
        """Return the status report of the target."""
        return {
            "stage": "both",
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.models.items()
            ],
            "busy": False,
            "seq": self.orders_accepted,
            "waiting": 0,
            "running": self.active,
            "kvUsed": 0,
            "kvTotal": 1,
            "handles": 0,
            "born": self.started_ms,
        }

    async def handle_order(self, request: Request, responder: Responder) -> None:
        """Handle an order, late and without a response if the fault is set."""
        order = json.loads(request.body)
        if self.faults.late_orders > 0:
            self.faults.late_orders -= 1
            await asyncio.sleep(LATE_ORDER_S)
            self.apply_order(order)
            await request.disconnected.wait()
            return
        responder.send(self.apply_order(order))

    def apply_order(self, order: dict[str, Any]) -> int:
        """Check an order and apply it if it is valid; return the status of the response.

        The status is 412 for an outdated fencing token, 409 if the precondition does not hold,
        200 if the version is active already, else 202.
        """
        if order["fence"] < self.highest_fencing_token:
            return 412
        if order.get("precondition") not in (None, self.orders_accepted):
            return 409
        self.highest_fencing_token = order["fence"]
        if self.models.get(order["model"]) == order["version"]:
            return 200
        self.orders_accepted += 1
        self.orders.append(order)
        self.models[order["model"]] = order["version"]
        self.on_change()
        return 202


async def disconnects_within(request: Request, seconds: float) -> bool:
    """Return whether the client disconnects within the given time."""
    try:
        async with asyncio.timeout(seconds):
            await request.disconnected.wait()
    except TimeoutError:
        return False
    return True
