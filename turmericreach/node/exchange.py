"""State of one caller's request, from its receipt to the end of its response."""

import asyncio

import attrs

from turmericreach.duties import RequestUsage
from turmericreach.http1 import Request, Responder, ResponseHead
from turmericreach.platform import targets as wire
from turmericreach.services import Route, RouteKind, Target
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.tenancy import ANYONE, Caller

__all__ = ["Exchange"]

# Statuses with which a response to a caller states that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.define
class Exchange:
    """A caller's request and the progress made in serving it.

    Attributes
    ----------
    request, responder
        The request received and the sender of its response.
    route : Route
        Route selected by host and path.
    attempt : wire.AttemptHead
        Attempt id, timeout and last event id from the headers of the request.
    deadline : float
        Loop time after which a response is of no use to the caller.
    fingerprint : str
        Digest that is the same each time the request comes again.
    configuration_version : int
        Version of the configuration that selected the route.
    configuration_age_s : float
        Age of that configuration: seconds since the metadata store or the coordinator last
        responded to this process.
    tried_targets : set of str
        Ids of targets that rejected the request or failed; they are not selected again until
        the set is cleared.
    possible_runs : int
        Number of attempts in which a target may have run the request.
    usage : RequestUsage or None
        Count of the request for its tenant, None as long as it is not counted.
    attempt_count : int
        Number of attempts started.
    forwarded_event_id : int or None
        Id of the last event of a stream that was forwarded to the caller.
    software : str
        Software of the target that began the stream, empty before its first event. Only targets
        with this software may continue it.
    caller : Caller
        Who sends the request.
    """

    request: Request
    responder: Responder
    route: Route
    attempt: wire.AttemptHead
    deadline: float
    fingerprint: str
    configuration_version: int
    configuration_age_s: float
    tried_targets: set[str] = attrs.field(factory=set)
    possible_runs: int = 0
    usage: RequestUsage | None = None
    attempt_count: int = 0
    forwarded_event_id: int | None = None
    software: str = ""
    caller: Caller = ANYONE

    @property
    def tenant(self) -> str:
        """Name of the tenant that sends the request, empty if there is none."""
        return self.caller.tenant

    @property
    def priority(self) -> int:
        """Priority of the request: that of its tenant, else that of its route."""
        if self.caller.priority is not None:
            return self.caller.priority
        return self.route.priority

    def sent_tenant(self) -> str | None:
        """Return the tenant that targets are told, None to forward what the caller sent."""
        return self.caller.tenant if self.caller.checked else None

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind is RouteKind.SAFE or (
            self.route.kind is RouteKind.STREAMING and self.route.resumable
        )

    def resumes_stream(self) -> bool:
        """Return whether the caller has events of the stream from an earlier attempt."""
        return self.attempt.last_event_id is not None or bool(self.attempt.resumes)

    def last_event_id(self) -> int | None:
        """Return the id of the last event that the caller has, None if it has none."""
        if self.forwarded_event_id is not None:
            return self.forwarded_event_id
        return self.attempt.last_event_id

    def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Send the response of a target that may have run the request to the caller.

        A target that rejects a request states so in a header field. Without that, a status by which
        callers know a rejection would permit them to repeat a request that has run.
        """
        if head.status in NOT_RUN_STATUSES and not self.may_repeat():
            reason = f"status {head.status} of a target that does not state that it has not run"
            self.reject(502, reason)
            return
        self.responder.send(head.status, head.headers.end_to_end(), body)
        self.log_end(head.status, "response from a target")

    def reject(self, status: int, reason: str, retry_s: float | None = None) -> None:
        """Respond with an error of this process; ``retry_s`` becomes the ``Retry-After`` field."""
        self.responder.send(status, wire.retry_after_fields(retry_s))
        self.log_end(status, reason)

    def abort(self, reason: str) -> None:
        """Abort a response that has begun, so that the caller cannot take it for complete."""
        self.responder.abort()
        self.log_end(0, reason)

    def log_attempt(
        self,
        target: Target,
        outcome: str,
        began: float,
        in_flight: int,
        limit_per_s: float | None,
        begun_with: str,
        resumed_after: int | None,
        leaving_s: float | None,
    ) -> None:
        """Log one attempt at a target, with the load figures on which its selection was based.

        Parameters
        ----------
        outcome : str
            Result of the attempt; its first two words become a metric label.
        began : float
            Loop time at which the attempt started.
        in_flight : int
            Requests of this process at the target when the attempt started.
        limit_per_s : float or None
            Limit of the target that was known when the attempt started.
        begun_with : str
            Software of the stream when the attempt started, empty if it was unknown.
        resumed_after : int or None
            Last event that the caller had when the attempt started, None if it had none.
        leaving_s : float or None
            Seconds for which the target had said that it leaves, None if it had not.
        """
        now = asyncio.get_running_loop().time()
        load_age_s = None if target.load is None else round(now - target.load.at, 3)
        log_event(
            events.REQUEST_TRIED,
            request=self.attempt.id,
            target=target.id,
            outcome=outcome,
            ms=(now - began) * 1000,
            attempt=self.attempt_count,
            in_flight=in_flight,
            load_age_s=load_age_s,
            limit_per_s=limit_per_s,
            configuration=self.configuration_version,
            fingerprint=self.fingerprint,
            software=target.record.software,
            begun_with=begun_with,
            resumed_after=resumed_after,
            resumes=self.attempt.resumes,
            leaving_s=leaving_s,
        )

    def log_end(self, status: int, reason: str) -> None:
        """Log the end of the request; status 0 means that no complete response was sent."""
        now = asyncio.get_running_loop().time()
        failed = status == 0 or status >= 500
        log_event(
            events.REQUEST_FAILED if failed else events.REQUEST_ENDED,
            request=self.attempt.id,
            status=status,
            ms=(now - self.request.received_at) * 1000,
            reason=reason,
            route=self.route.name,
            attempts=self.attempt_count,
            time_left_ms=round((self.deadline - now) * 1000),
            configuration=self.configuration_version,
            configuration_age_s=round(self.configuration_age_s, 3),
        )
