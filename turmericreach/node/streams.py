"""Forwarding of event streams, event by event as they arrive."""

import asyncio
from collections.abc import Iterator

from turmericreach.batches.event_stream import EventParser, StreamEvent, follows
from turmericreach.coordination.stream_origins import StreamOrigins
from turmericreach.http1 import ConnectFailed, ResponseHead, ResponseIncomplete
from turmericreach.node.exchange import Exchange
from turmericreach.node.target_attempts import TargetAttempt, TargetAttempts
from turmericreach.platform import targets as wire
from turmericreach.services import Target
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.unexpected import log_unexpected

__all__ = ["StreamForwarder"]

# Pause before a stream that all targets rejected is requested again; a slot may be free by then.
REJECTED_PAUSE_S = 0.03
# A copy of the origin of a stream is on its way, or a process that has one is about to respond.
UNKNOWN_RETRY_S = 0.3
# After so many events of a stream, other requests get a turn.
EVENTS_PER_TURN = 64
# A parsed event occupies some hundred times the bytes of a short one, and a stream keeps the events
# of a piece while other requests get their turn.
PIECE_BYTES = 2048
# A target that ended starts again within some seconds.
RETURN_RETRY_S = 1.0
# Bound on the attempts of a stream that targets reject.
MAX_REJECTIONS = 8


class StreamForwarder:
    """Forwards the events of a target, and resumes at another one if the route allows it."""

    def __init__(self, attempts: TargetAttempts, origins: StreamOrigins):
        self.attempts = attempts
        self.origins = origins

    async def serve(self, exchange: Exchange) -> None:
        """Serve a stream until it is complete or can no longer be resumed."""
        if exchange.resumes_stream() and not await self.find_origin(exchange):
            return
        last_event_id = exchange.attempt.last_event_id
        exchange.forwarded_event_id = last_event_id
        while True:
            if self.attempts.is_rejected(exchange):
                break
            target = await self.attempts.admit(exchange)
            if target is None:
                if not self.may_retry_later(exchange):
                    break
                await asyncio.sleep(REJECTED_PAUSE_S)
                continue
            exchange.tried_targets.add(target.id)
            exchange.attempt_count += 1
            complete, last_event_id = await self.stream_from(exchange, target, last_event_id)
            if complete:
                return
            may_resume = (
                exchange.route.resumable and exchange.possible_runs < exchange.route.max_attempts
            )
            if exchange.possible_runs and not may_resume:
                break
        if exchange.responder.started:
            exchange.abort("the stream was interrupted")
        elif exchange.possible_runs:
            exchange.reject(502, "the stream was interrupted")
        else:
            exchange.reject(503, "no target accepts requests", self.attempts.busy_retry_s(exchange))

    async def find_origin(self, exchange: Exchange) -> bool:
        """Find the software that began a stream; reject the request if it cannot be continued.

        The request is rejected as not run. It may come again if the software may become known, or
        if targets that have it may be back soon.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        services = [part.service for part in exchange.route.services]
        origin = await self.origins.find(exchange.attempt.resumes, services)
        log_event(
            events.STREAM_RESUMED,
            request=exchange.attempt.id,
            resumes=exchange.attempt.resumes,
            resumed_after=exchange.attempt.last_event_id,
            source=origin.source,
            software=origin.software,
            ms=round((loop.time() - began) * 1000, 1),
        )
        exchange.software = origin.software
        if not origin.software:
            exchange.reject(503, "nobody knows which software began the stream", UNKNOWN_RETRY_S)
            return False
        if self.attempts.targets_with_software(exchange):
            return True
        history = self.attempts.directory.software
        retry_s = RETURN_RETRY_S if history.may_return(origin.software, loop.time()) else None
        exchange.reject(503, "no target has the software that began the stream", retry_s)
        return False

    def may_retry_later(self, exchange: Exchange) -> bool:
        """Return whether to retry after a pause, since full targets may soon have a free slot.

        If so, all targets may be selected again.
        """
        if not exchange.tried_targets or exchange.attempt_count >= MAX_REJECTIONS:
            return False
        if self.attempts.are_limits_exhausted(exchange):
            return False
        exchange.tried_targets.clear()
        return True

    async def stream_from(
        self, exchange: Exchange, target: Target, last_event_id: int | None
    ) -> tuple[bool, int | None]:
        """Forward the events of one target.

        Returns
        -------
        complete : bool
            Whether the caller has the whole response.
        last_event_id : int or None
            Id of the last event forwarded to the caller.
        """
        with self.attempts.track(exchange, target) as attempt:
            try:
                resumed = last_event_id if exchange.responder.started else None
                head = await self.attempts.send(exchange, target, attempt, resumed)
                response = wire.read_response_head(head.status, head.headers)
                if response.not_run:
                    return False, last_event_id
                if head.status != 200 or not response.stamp or not response.has_events:
                    return await self.forward_failure(exchange, attempt, head), last_event_id
                return await self.forward_events(exchange, target, attempt, head)
            except (ConnectFailed, ResponseIncomplete) as error:
                attempt.record_failure(error)
                return False, exchange.forwarded_event_id
            except Exception as error:
                log_unexpected("stream", target.id, error)
                attempt.record_failure(error)
                return False, exchange.forwarded_event_id

    async def forward_failure(
        self, exchange: Exchange, attempt: TargetAttempt, head: ResponseHead
    ) -> bool:
        """Forward a response that is no event stream; return whether it was sent to the caller."""
        if exchange.responder.started or 200 <= head.status < 300:
            attempt.failed = True
            return False
        body = await attempt.connection.read_body()
        exchange.send_response(head, body)
        return True

    async def forward_events(
        self,
        exchange: Exchange,
        target: Target,
        attempt: TargetAttempt,
        head: ResponseHead,
    ) -> tuple[bool, int | None]:
        """Forward whole events as they arrive; the return values are those of `stream_from`."""
        if exchange.route.resumable and not exchange.software:
            software = target.record.software
            self.origins.record(exchange.attempt.id, software, exchange.attempt_count)
        parser = EventParser()
        count = 0
        async for chunk in attempt.connection.body_chunks():
            for event in parse_in_pieces(parser, chunk):
                count += 1
                if count % EVENTS_PER_TURN == 0:
                    await asyncio.sleep(0)
                if not self.continues(exchange, event):
                    attempt.outcome = "foreign event: other bytes, or an id that does not follow"
                    attempt.failed = True
                    return False, exchange.forwarded_event_id
                exchange.software = exchange.software or target.record.software
                if self.attempts.meter is not None and not event.is_comment():
                    self.attempts.meter.record_event(exchange, target)
                self.start_response(exchange, head)
                await exchange.responder.write(event.raw)
                if event.id is not None:
                    exchange.forwarded_event_id = event.id
        if parser.rest.strip():
            attempt.outcome = "ended inside an event"
            return False, exchange.forwarded_event_id
        if exchange.forwarded_event_id is None:
            # A resumed stream may have nothing left, a new one has at least one event.
            attempt.outcome = "no events"
            attempt.failed = True
            return False, None
        self.start_response(exchange, head)
        exchange.responder.finish()
        self.attempts.record_completion(exchange)
        exchange.log_end(head.status, "streamed by a target")
        return True, exchange.forwarded_event_id

    def start_response(self, exchange: Exchange, head: ResponseHead) -> None:
        """Send the head of the first target that has an event, unless it was sent before."""
        if not exchange.responder.started:
            exchange.responder.start(head.status, head.headers.end_to_end())

    def continues(self, exchange: Exchange, event: StreamEvent) -> bool:
        """Return whether an event is the next one of a stream, or a comment between its events."""
        if event.spliced:
            return False
        return event.is_comment() or follows(exchange.forwarded_event_id, event.id)


def parse_in_pieces(parser: EventParser, chunk: bytes) -> Iterator[StreamEvent]:
    """Yield the events of a chunk, of which few are parsed ahead."""
    for start in range(0, len(chunk), PIECE_BYTES):
        yield from parser.feed(chunk[start : start + PIECE_BYTES])
