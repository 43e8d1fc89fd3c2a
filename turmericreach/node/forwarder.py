"""Requests of callers that are passed on to one target each."""

import asyncio
import contextlib
import random

import attrs

from turmericreach.batches.event_stream import EventParser
from turmericreach.http1 import (
    ConnectFailed,
    ConnectionPool,
    Request,
    Responder,
    ResponseHead,
    ResponseIncomplete,
)
from turmericreach.placement import choose_target, hedge_delay_s, retry_after_s
from turmericreach.platform import targets as wire
from turmericreach.services import LoadReport, Route, RouteKind, Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["Exchange", "Forwarder"]

# A target that failed is avoided for this long.
SUSPECT_S = 2.0
# A request that no target took waits this long for one that may have a free place by then.
REFUSED_PAUSE_S = 0.03
# Left for sending the answer before the caller's time limit.
ANSWER_MARGIN_S = 0.02
# A kept connection that was idle for longer may be closing; only requests that may be repeated
# are sent on it.
FRESH_IDLE_S = 1.0


@attrs.frozen
class TryResult:
    """What became of one try at a target.

    Attributes
    ----------
    head, body
        The answer, None if there is none.
    reason : str
        Why there is no answer.
    """

    head: ResponseHead | None
    body: bytes
    reason: str = ""


@attrs.define
class Exchange:
    """One request of a caller.

    Attributes
    ----------
    request, responder
        The caller's side.
    route : Route
        The route it takes.
    attempt : wire.AttemptHead
        What it says of itself.
    deadline : float
        Loop time at which an answer is of no use any more.
    tried : set of str
        Targets that refused or failed.
    ran : int
        Targets at which it may have run.
    """

    request: Request
    responder: Responder
    route: Route
    attempt: wire.AttemptHead
    deadline: float
    configuration_version: int
    configuration_age_s: float
    tried: set[str] = attrs.field(factory=set)
    ran: int = 0
    tries: int = 0

    def time_left_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind is RouteKind.SAFE or (
            self.route.kind is RouteKind.STREAMING and self.route.resumable
        )


class Forwarder:
    """Passes requests on to targets."""

    def __init__(self, directory: TargetDirectory, pool: ConnectionPool, data_centre: str):
        self.directory = directory
        self.pool = pool
        self.data_centre = data_centre
        self.random = random.Random()

    async def forward(self, exchange: Exchange) -> None:
        """Serve a request until it is answered, its time is over, or its caller leaves."""
        loop = asyncio.get_running_loop()
        if exchange.route.kind is RouteKind.STREAMING:
            work = loop.create_task(self.stream(exchange))
        else:
            work = loop.create_task(self.serve(exchange))
        gone = loop.create_task(exchange.request.disconnected.wait())
        try:
            await asyncio.wait(
                {work, gone},
                timeout=max(exchange.time_left_s(), 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work
        if not work.cancelled():
            work.result()
            return
        if exchange.request.disconnected.is_set():
            self.log_end(exchange, 0, "the caller left")
            return
        self.end_late(exchange)

    def end_late(self, exchange: Exchange) -> None:
        """Answer a request whose time is over."""
        if exchange.responder.started:
            exchange.responder.abort()
            self.log_end(exchange, 0, "time limit within the answer")
            return
        if exchange.ran:
            self.refuse(exchange, 504, "time limit", None)
        else:
            self.refuse(exchange, 503, "no target took it in time", retry_after_s(False, False))

    # Requests with one answer

    async def serve(self, exchange: Exchange) -> None:
        """Try targets until one answers."""
        result = await self.first_answer(exchange)
        if result is not None and result.head is not None:
            self.pass_on(exchange, result)
            return
        if exchange.ran:
            reason = result.reason if result is not None else "no answer"
            self.refuse(exchange, 502, reason, None)
            return
        self.refuse(exchange, 503, "no target takes requests", retry_after_s(False, False))

    async def first_answer(self, exchange: Exchange) -> TryResult | None:
        """Return the first usable answer; a second target is asked when the first is slow."""
        running: dict[asyncio.Task, Target] = {}
        last: TryResult | None = None
        try:
            while True:
                if not running or self.may_hedge(exchange, running):
                    target = self.choose(exchange)
                    if target is not None:
                        running[self.start_try(exchange, target)] = target
                    elif not running:
                        if not self.wait_for_target(exchange):
                            return last
                        await asyncio.sleep(REFUSED_PAUSE_S)
                        continue
                delay_s = self.patience_s(exchange, running)
                done, _ = await asyncio.wait(
                    running, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    target = running.pop(task)
                    last = self.judge(exchange, target, task.result())
                    if last.head is not None:
                        return last
                if not running and exchange.ran and not exchange.may_repeat():
                    return last
                if not running and exchange.ran >= exchange.route.max_attempts:
                    return last
        finally:
            for task in running:
                task.cancel()

    def wait_for_target(self, exchange: Exchange) -> bool:
        """Return whether waiting may help: targets that are full may have a place soon."""
        if exchange.time_left_s() < 2 * REFUSED_PAUSE_S:
            return False
        if exchange.tries >= 4 * exchange.route.max_attempts:
            return False
        if not exchange.tried:
            return False
        exchange.tried.clear()
        return True

    def may_hedge(self, exchange: Exchange, running: dict) -> bool:
        """Return whether one more target may be asked while others are running."""
        if not exchange.may_repeat():
            return False
        return max(exchange.ran, len(running)) < exchange.route.max_attempts

    def patience_s(self, exchange: Exchange, running: dict[asyncio.Task, Target]) -> float:
        """Return how long to wait for the targets that are running."""
        left_s = max(exchange.time_left_s(), 0.0)
        if not self.may_hedge(exchange, running):
            return left_s
        newest = list(running.values())[-1]
        return hedge_delay_s(newest, left_s)

    def choose(self, exchange: Exchange) -> Target | None:
        """Return a target that has not been tried."""
        service = exchange.route.choose_service(self.random)
        now = asyncio.get_running_loop().time()
        return choose_target(
            self.directory.of_service(service), now, self.data_centre, exchange.tried
        )

    def start_try(self, exchange: Exchange, target: Target) -> asyncio.Task:
        """Send the request to a target."""
        exchange.tried.add(target.id)
        exchange.tries += 1
        return asyncio.get_running_loop().create_task(self.try_target(exchange, target))

    async def try_target(self, exchange: Exchange, target: Target) -> TryResult:
        """Send a request to a target and return its whole answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        in_flight = target.in_flight
        target.in_flight += 1
        outcome = "cancelled"
        connection = None
        try:
            connection = await self.connection_for(exchange, target)
            # From here on the request may run, until the target says that it did not.
            exchange.ran += 1
            head = await self.send(exchange, target, connection)
            body = await connection.read_body()
            outcome = f"status {head.status}"
            self.note_answer(target, head, loop.time() - began)
            if wire.read_answer(head.status, head.headers).not_run:
                exchange.ran -= 1
            return TryResult(head, body)
        except ConnectFailed as error:
            outcome = f"not connected: {error}"
            return TryResult(None, b"", reason=outcome)
        except ResponseIncomplete as error:
            outcome = f"no whole answer: {error}"
            return TryResult(None, b"", reason=outcome)
        finally:
            target.in_flight -= 1
            if connection is not None:
                self.pool.release(connection)
            self.log_try(exchange, target, outcome, began, in_flight)

    async def connection_for(self, exchange: Exchange, target: Target):
        """Return a connection to a target; one that may be closing only for repeatable requests."""
        connection = self.pool.take_idle(target.record.address)
        if connection is None:
            return await self.pool.acquire(target.record.address, fresh=True)
        idle_s = asyncio.get_running_loop().time() - connection.idle_since
        if exchange.may_repeat() or idle_s < FRESH_IDLE_S:
            return connection
        connection.close()
        return await self.pool.acquire(target.record.address, fresh=True)

    async def send(self, exchange: Exchange, target: Target, connection, last_event_id=None):
        """Send the request and return the head of the answer."""
        request = exchange.request
        fields = wire.forwarded_fields(
            request.headers, target.id, exchange.time_left_s(), last_event_id
        )
        return await connection.request(
            request.method, request.target, fields, request.body, wire.echo_of(exchange.attempt.id)
        )

    def note_answer(self, target: Target, head: ResponseHead, seconds: float) -> None:
        """Keep what an answer tells of its target."""
        answer = wire.read_answer(head.status, head.headers)
        now = asyncio.get_running_loop().time()
        if answer.load is not None:
            target.load = LoadReport(*answer.load, now)
        if answer.not_run:
            return
        target.note_latency(seconds)
        if head.status < 500:
            target.failures = 0

    def judge(self, exchange: Exchange, target: Target, result: TryResult) -> TryResult:
        """Return a result without its answer if another target should be tried."""
        if result.head is None:
            self.suspect(target, result.reason)
            return result
        answer = wire.read_answer(result.head.status, result.head.headers)
        if answer.not_run:
            return attrs.evolve(result, head=None, reason=f"not run: status {answer.status}")
        if 200 <= answer.status < 300 and not answer.stamp:
            return attrs.evolve(result, head=None, reason="no stamp")
        repeatable = exchange.may_repeat() and exchange.ran < exchange.route.max_attempts
        if answer.status >= 500 and repeatable and self.choose(exchange) is not None:
            return attrs.evolve(result, head=None, reason=f"status {answer.status}")
        return result

    def suspect(self, target: Target, reason: str) -> None:
        """Avoid a target for a while."""
        target.failures += 1
        now = asyncio.get_running_loop().time()
        target.suspect_until = now + SUSPECT_S
        log_event(
            events.TARGET_SUSPECTED,
            target=target.id,
            seconds=SUSPECT_S,
            reason=reason,
            failures=target.failures,
        )

    def pass_on(self, exchange: Exchange, result: TryResult) -> None:
        """Send a target's answer to the caller."""
        fields = result.head.headers.end_to_end()
        exchange.responder.send(result.head.status, fields, result.body)
        self.log_end(exchange, result.head.status, "answered by a target")

    # Streams

    async def stream(self, exchange: Exchange) -> None:
        """Pass on events as they arrive; go on at another target where the route allows it."""
        last_event_id = exchange.attempt.last_event_id
        sent_events = False
        while True:
            target = self.choose(exchange)
            if target is None:
                if not exchange.responder.started and self.wait_for_target(exchange):
                    await asyncio.sleep(REFUSED_PAUSE_S)
                    continue
                break
            exchange.tried.add(target.id)
            exchange.tries += 1
            outcome, last_event_id = await self.stream_once(exchange, target, last_event_id)
            if outcome == "complete":
                return
            sent_events = exchange.responder.started
            may_go_on = exchange.route.resumable and exchange.ran < exchange.route.max_attempts
            if exchange.ran and not may_go_on:
                break
        if sent_events:
            exchange.responder.abort()
            self.log_end(exchange, 0, "the stream was broken off")
        elif exchange.ran:
            self.refuse(exchange, 502, "the stream was broken off", None)
        else:
            self.refuse(exchange, 503, "no target takes requests", retry_after_s(False, False))

    async def stream_once(
        self, exchange: Exchange, target: Target, last_event_id: int | None
    ) -> tuple[str, int | None]:
        """Pass on the events of one target; return how it ended and the last event passed."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        in_flight = target.in_flight
        target.in_flight += 1
        outcome = "cancelled"
        connection = None
        try:
            connection = await self.connection_for(exchange, target)
            exchange.ran += 1
            resumed = last_event_id if exchange.responder.started else None
            head = await self.send(exchange, target, connection, resumed)
            answer = wire.read_answer(head.status, head.headers)
            outcome = f"status {head.status}"
            if answer.not_run:
                exchange.ran -= 1
                return outcome, last_event_id
            if head.status != 200 or not answer.stamp:
                body = await connection.read_body()
                if not exchange.responder.started and head.status != 200:
                    self.pass_on(exchange, TryResult(head, body))
                    return "complete", last_event_id
                return outcome, last_event_id
            if not exchange.responder.started:
                exchange.responder.start(head.status, head.headers.end_to_end())
            parser = EventParser()
            async for chunk in connection.body_chunks():
                for event in parser.feed(chunk):
                    await exchange.responder.write(event.raw)
                    last_event_id = event.id if event.id is not None else last_event_id
            if parser.rest.strip():
                outcome = "ended inside an event"
                return outcome, last_event_id
            exchange.responder.finish()
            outcome = "complete"
            self.log_end(exchange, head.status, "streamed by a target")
            return outcome, last_event_id
        except ConnectFailed as error:
            outcome = f"not connected: {error}"
            self.suspect(target, outcome)
            return outcome, last_event_id
        except ResponseIncomplete as error:
            outcome = f"broken off: {error}"
            self.suspect(target, outcome)
            return outcome, last_event_id
        finally:
            target.in_flight -= 1
            if connection is not None:
                self.pool.release(connection)
            self.log_try(exchange, target, outcome, began, in_flight)

    # Ends

    def refuse(self, exchange: Exchange, status: int, reason: str, retry_s: float | None) -> None:
        """Answer with a failure of this process's own."""
        exchange.responder.send(status, wire.refusal_fields(retry_s))
        self.log_end(exchange, status, reason)

    def log_try(
        self, exchange: Exchange, target: Target, outcome: str, began: float, in_flight: int
    ) -> None:
        """Log one try at a target, with the inputs that chose it."""
        now = asyncio.get_running_loop().time()
        load_age_s = None if target.load is None else round(now - target.load.at, 3)
        log_event(
            events.REQUEST_TRIED,
            request=exchange.attempt.id,
            target=target.id,
            outcome=outcome,
            ms=(now - began) * 1000,
            attempt=exchange.tries,
            in_flight=in_flight,
            load_age_s=load_age_s,
            configuration=exchange.configuration_version,
        )

    def log_end(self, exchange: Exchange, status: int, reason: str) -> None:
        """Log the end of a request."""
        now = asyncio.get_running_loop().time()
        failed = status == 0 or status >= 500
        log_event(
            events.REQUEST_FAILED if failed else events.REQUEST_ENDED,
            request=exchange.attempt.id,
            status=status,
            ms=(now - exchange.request.received_at) * 1000,
            reason=reason,
            route=exchange.route.name,
            attempts=exchange.tries,
            time_left_ms=round((exchange.deadline - now) * 1000),
            configuration=exchange.configuration_version,
            configuration_age_s=round(exchange.configuration_age_s, 3),
        )
