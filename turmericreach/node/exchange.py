"""One request of a caller, from its reading to its answer."""

import asyncio

import attrs

from turmericreach.http1 import Request, Responder, ResponseHead
from turmericreach.platform import targets as wire
from turmericreach.services import Route, RouteKind, Target
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["Exchange"]


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
    configuration_version : int
        Configuration that selected the route.
    configuration_age_s : float
        Seconds since the store last answered this process.
    tried : set of str
        Targets that refused or failed.
    ran : int
        Targets at which it may have run.
    tries : int
        Times that it was sent.
    passed_event_id : int or None
        Last event of a stream that was passed on.
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
    passed_event_id: int | None = None

    def time_left_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind is RouteKind.SAFE or (
            self.route.kind is RouteKind.STREAMING and self.route.resumable
        )

    def pass_on(self, head: ResponseHead, body: bytes) -> None:
        """Send a target's answer to the caller."""
        self.responder.send(head.status, head.headers.end_to_end(), body)
        self.log_end(head.status, "answered by a target")

    def refuse(self, status: int, reason: str, retry_s: float | None = None) -> None:
        """Answer with a failure of this process's own."""
        self.responder.send(status, wire.retry_after_fields(retry_s))
        self.log_end(status, reason)

    def break_off(self, reason: str) -> None:
        """End an answer that has begun so that it does not look complete."""
        self.responder.abort()
        self.log_end(0, reason)

    def log_try(self, target: Target, outcome: str, began: float, in_flight: int) -> None:
        """Log one try at a target, with the inputs that chose it."""
        now = asyncio.get_running_loop().time()
        load_age_s = None if target.load is None else round(now - target.load.at, 3)
        log_event(
            events.REQUEST_TRIED,
            request=self.attempt.id,
            target=target.id,
            outcome=outcome,
            ms=(now - began) * 1000,
            attempt=self.tries,
            in_flight=in_flight,
            load_age_s=load_age_s,
            configuration=self.configuration_version,
        )

    def log_end(self, status: int, reason: str) -> None:
        """Log the end of the request."""
        now = asyncio.get_running_loop().time()
        failed = status == 0 or status >= 500
        log_event(
            events.REQUEST_FAILED if failed else events.REQUEST_ENDED,
            request=self.attempt.id,
            status=status,
            ms=(now - self.request.received_at) * 1000,
            reason=reason,
            route=self.route.name,
            attempts=self.tries,
            time_left_ms=round((self.deadline - now) * 1000),
            configuration=self.configuration_version,
            configuration_age_s=round(self.configuration_age_s, 3),
        )
