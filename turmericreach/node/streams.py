"""Streams of events that are passed on as they arrive."""

import asyncio

from turmericreach.batches.event_stream import EventParser
from turmericreach.http1 import ConnectFailed, ResponseHead, ResponseIncomplete
from turmericreach.node.exchange import Exchange
from turmericreach.node.target_tries import TargetTries, Try
from turmericreach.placement import retry_after_s
from turmericreach.platform import targets as wire
from turmericreach.services import Target

__all__ = ["StreamForwarder"]

# A stream that no target took waits this long for one that may have a free place by then.
REFUSED_PAUSE_S = 0.03
MAX_REFUSALS = 8


class StreamForwarder:
    """Passes on the events of one target, and goes on at another where the route allows it."""

    def __init__(self, tries: TargetTries):
        self.tries = tries

    async def serve(self, exchange: Exchange) -> None:
        """Serve a stream until it is complete or cannot go on."""
        last_event_id = exchange.attempt.last_event_id
        while True:
            target = self.tries.choose(exchange)
            if target is None:
                if exchange.responder.started or not self.may_wait(exchange):
                    break
                await asyncio.sleep(REFUSED_PAUSE_S)
                continue
            exchange.tried.add(target.id)
            exchange.tries += 1
            complete, last_event_id = await self.serve_from(exchange, target, last_event_id)
            if complete:
                return
            may_go_on = exchange.route.resumable and exchange.ran < exchange.route.max_attempts
            if exchange.ran and not may_go_on:
                break
        if exchange.responder.started:
            exchange.break_off("the stream was broken off")
        elif exchange.ran:
            exchange.refuse(502, "the stream was broken off")
        else:
            exchange.refuse(503, "no target takes requests", retry_after_s(False, False))

    def may_wait(self, exchange: Exchange) -> bool:
        """Return whether targets that refused the stream may take it soon."""
        if not exchange.tried or exchange.tries >= MAX_REFUSALS:
            return False
        exchange.tried.clear()
        return True

    async def serve_from(
        self, exchange: Exchange, target: Target, last_event_id: int | None
    ) -> tuple[bool, int | None]:
        """Pass on one target's events; return whether all is sent, and the last event passed."""
        with self.tries.track(exchange, target) as attempt:
            try:
                resumed = last_event_id if exchange.responder.started else None
                head = await self.tries.send(exchange, target, attempt, resumed)
                answer = wire.read_response_head(head.status, head.headers)
                if answer.not_run:
                    return False, last_event_id
                if head.status != 200 or not answer.stamp:
                    return await self.pass_failure(exchange, attempt, head), last_event_id
                return await self.pass_events(exchange, attempt, head, last_event_id)
            except (ConnectFailed, ResponseIncomplete) as error:
                attempt.lose(error)
                return False, exchange.passed_event_id

    async def pass_failure(self, exchange: Exchange, attempt: Try, head: ResponseHead) -> bool:
        """Pass on an answer that is no stream; return whether the caller has it."""
        body = await attempt.connection.read_body()
        if exchange.responder.started or head.status == 200:
            return False
        exchange.pass_on(head, body)
        return True

    async def pass_events(
        self, exchange: Exchange, attempt: Try, head: ResponseHead, last_event_id: int | None
    ) -> tuple[bool, int | None]:
        """Pass on whole events as they arrive."""
        exchange.passed_event_id = last_event_id
        if not exchange.responder.started:
            exchange.responder.start(head.status, head.headers.end_to_end())
        parser = EventParser()
        async for chunk in attempt.connection.body_chunks():
            for event in parser.feed(chunk):
                await exchange.responder.write(event.raw)
                if event.id is not None:
                    exchange.passed_event_id = event.id
        if parser.rest.strip():
            attempt.outcome = "ended inside an event"
            return False, exchange.passed_event_id
        exchange.responder.finish()
        exchange.log_end(head.status, "streamed by a target")
        return True, exchange.passed_event_id
