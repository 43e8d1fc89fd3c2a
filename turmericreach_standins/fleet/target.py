"""Targets of the platform: plain services and engines that generate."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import attrs

from turmericreach.http1 import HttpServer, Request, Responder

__all__ = ["TargetFaults", "TargetStandIn"]

# An order without an answer is carried out this much later.
LATE_ORDER_S = 2.0


@attrs.define
class TargetFaults:
    """Faults in force.

    Attributes
    ----------
    lose_answers : int
        Next requests that run and whose channel is closed.
    shed : int
        Next requests that are refused without running.
    fail : int
        Next requests that run and get 500.
    status : int or None
        Status of every answer, None for the usual one.
    cut_after_events : int or None
        The next stream ends inside the event after this many.
    silent : bool
        Accept requests and answer nothing.
    extra_answer : bool
        Send a second answer behind each one.
    truncate : bool
        Close the channel in the middle of each body.
    unframed : bool
        Send answers without a length, ended by the channel.
    lose_every, mute_every : int
        Of so many streams one is closed, or left open, without a byte; 0 for none.
    lose_orders : int
        Next orders that are carried out after `LATE_ORDER_S` and get no answer.
    """

    lose_answers: int = 0
    shed: int = 0
    fail: int = 0
    status: int | None = None
    cut_after_events: int | None = None
    silent: bool = False
    extra_answer: bool = False
    truncate: bool = False
    unframed: bool = False
    lose_every: int = 0
    mute_every: int = 0
    lose_orders: int = 0


class TargetStandIn:
    """One target.

    Attributes
    ----------
    runs : list of tuple of str
        Attempt id, method and target of each request that ran.
    arrivals : list of Request
        Every request that arrived.
    orders : list of dict
        Orders that were carried out.
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
        self.runs: list[tuple[str, str, str]] = []
        self.arrivals: list[Request] = []
        self.orders: list[dict[str, Any]] = []
        self.orders_accepted = 0
        self.highest_fence = 0
        self.active = 0
        self.streams = 0
        self.dropped = 0
        self.on_change: Callable[[], None] = lambda: None
        self.server = HttpServer(self.handle)
        self.address = ""

    async def start(self) -> str:
        """Listen and return the address."""
        port = await self.server.start("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def stop(self) -> None:
        """End the server and its channels."""
        await self.server.stop()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return its entry in service discovery."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "stage": "both",
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.models.items()
            ],
            "seq": self.orders_accepted,
            "born": 1000,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request."""
        if request.path == "/api/report":
            responder.send(200, body=json.dumps(self.report()).encode())
            return
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            responder.send(421, [("X-Instance-Id", self.id)])
            return
        if request.path == "/api/order":
            await self.take_order(request, responder)
            return
        self.arrivals.append(request)
        attempt = request.headers.get("x-attempt-id", "")
        if self.faults.shed > 0:
            self.faults.shed -= 1
            fields = [("X-Not-Executed", "1"), ("X-Server-Load", f"{self.slots},0,{self.slots}")]
            responder.send(503, fields)
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
        """Run a request under the faults in force."""
        if self.faults.silent:
            await request.disconnected.wait()
            return
        if self.work_s and await left_within(request, self.work_s):
            return
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            responder.abort()
            return
        if self.faults.fail > 0:
            self.faults.fail -= 1
            responder.send(500, self.fields(attempt))
            return
        if self.faults.status is not None:
            responder.send(self.faults.status, self.fields(attempt))
            return
        if request.headers.get("x-model"):
            if await self.is_stream_lost(request, responder):
                return
            await self.generate(request, responder, attempt)
            return
        self.answer(request, responder, attempt)

    async def is_stream_lost(self, request: Request, responder: Responder) -> bool:
        """Lose the answer of every so many streams."""
        self.streams += 1
        if self.faults.mute_every and self.streams % self.faults.mute_every == 0:
            await request.disconnected.wait()
            return True
        if self.faults.lose_every and self.streams % self.faults.lose_every == 0:
            responder.abort()
            return True
        return False

    def answer(self, request: Request, responder: Responder, attempt: str) -> None:
        """Send one answer, spoiled if a fault says so."""
        body = f"{self.id} answers {attempt}".encode()
        fields = self.fields(attempt)
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
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
            responder.send(200, fields, body)
            return
        responder.finished = True

    def fields(self, attempt: str) -> list[tuple[str, str]]:
        """Return the fields of an answer."""
        return [
            ("X-Attempt-Id", attempt),
            ("X-Server-Stamp", f"stamp-{attempt}"),
            ("X-Server-Load", f"{self.active},0,{self.slots}"),
        ]

    async def generate(self, request: Request, responder: Responder, attempt: str) -> None:
        """Send a stream of events, from behind the last one that the caller has."""
        version = next(iter(self.models.values()), 1)
        last = request.headers.get("last-event-id")
        first = int(last) + 1 if last is not None else 1
        fields = [
            *self.fields(attempt),
            ("X-Weight-Versions", str(version)),
            ("Content-Type", "text/event-stream"),
        ]
        responder.start(200, fields)
        for sent, number in enumerate(range(first, self.events + 1)):
            if self.event_s and await left_within(request, self.event_s):
                return
            if request.disconnected.is_set():
                return
            if self.faults.cut_after_events == sent:
                self.faults.cut_after_events = None
                await responder.write(f"id: {number}\nda".encode())
                responder.connection.transport.close()
                return
            await responder.write(f"id: {number}\ndata: {attempt}-{number}\n\n".encode())
        responder.finish()

    def report(self) -> dict[str, Any]:
        """Return what it says of itself."""
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
            "born": 1000,
        }

    async def take_order(self, request: Request, responder: Responder) -> None:
        """Carry out an order."""
        order = json.loads(request.body)
        if self.faults.lose_orders > 0:
            self.faults.lose_orders -= 1
            await asyncio.sleep(LATE_ORDER_S)
            self.carry_out(order)
            await request.disconnected.wait()
            return
        responder.send(self.carry_out(order))

    def carry_out(self, order: dict[str, Any]) -> int:
        """Check and carry out an order; return the status."""
        if order["fence"] < self.highest_fence:
            return 412
        if order.get("precondition") not in (None, self.orders_accepted):
            return 409
        self.highest_fence = order["fence"]
        if self.models.get(order["model"]) == order["version"]:
            return 200
        self.orders_accepted += 1
        self.orders.append(order)
        self.models[order["model"]] = order["version"]
        self.on_change()
        return 202


async def left_within(request: Request, seconds: float) -> bool:
    """Wait and return whether the caller has left meanwhile."""
    try:
        async with asyncio.timeout(seconds):
            await request.disconnected.wait()
    except TimeoutError:
        return False
    return True
