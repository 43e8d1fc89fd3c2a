"""Execution of requests by a gateway: attempts, settlement and retries."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from turmericreach.attempts.ids import new_attempt_id
from turmericreach.attempts.request import CallerRequest
from turmericreach.attempts.sent import SentAttempt, settle_attempt
from turmericreach.attempts.stream import AttemptChunks, CallerStream
from turmericreach.routing import (
    Choice,
    ChoiceRequest,
    Refusal,
    RetryBudget,
    RetryCounts,
    TargetState,
    retry_cause,
)
from turmericreach.rpc import (
    Attempt,
    PeerClient,
    PeerDisconnected,
    PeerError,
    PeerFailed,
    PeerTimeout,
    PeerUnreachable,
)
from turmericreach.sharing import CrashTable
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

__all__ = ["AttemptObserver", "Peers", "RequestRunner", "Router"]

CANCEL_TIMEOUT_S = 2.0
MAX_SETTLE_CALLS = 2
# Seconds after the deadline in which the agent may still report the outcome itself.
RESPONSE_GRACE_S = 0.5
# Interval at which the state of the target of a running attempt is checked.
SUSPECT_CHECK_S = 0.5
BACKOFF_START_S = 0.05
BACKOFF_MAX_S = 2.0
# Codes after which another attempt would fail as well or is not wanted.
FINAL_CODES = frozenset([ErrorCode.BAD_REQUEST, ErrorCode.CANCELLED, ErrorCode.UNKNOWN_SERVICE])


class Router(Protocol):
    """Selects targets and is informed of the attempts sent to them."""

    def choose(self, request: ChoiceRequest, now: float) -> Choice | Refusal:
        """Select a target, or return why there is none."""

    def on_sent(self, target: str, attempt_id: str, priority: str, now: float) -> None:
        """Record that an attempt is sent to a target."""

    def on_ended(
        self,
        target: str,
        attempt_id: str,
        outcome: Outcome,
        latency_s: float,
        tokens: int,
        now: float,
    ) -> None:
        """Record the outcome of an attempt, its latency and its generated tokens."""

    def state_of(self, target: str) -> TargetState:
        """Return the assumed state of a target."""


class Peers(Protocol):
    """Manages connections to the agents."""

    async def connect_agent(self, target: str) -> PeerClient:
        """Return a connection to the agent of a target.

        Raises
        ------
        PeerUnreachable
            If there is none, so that nothing can have been sent.
        """

    def disconnect_agent(self, target: str) -> None:
        """Close the connection to the agent of a target."""


class AttemptObserver(Protocol):
    """Is called before each attempt is sent and after each decision."""

    async def before_send(self, request: CallerRequest, sent: SentAttempt) -> Outcome | None:
        """Return None to send the attempt, or an outcome to end it unsent."""

    def on_decision(self, request_id: str, attempt_id: str, what: str, evidence: str) -> None:
        """Record a decision for `explain`."""


class RequestRunner:
    """Runs requests at targets and repeats them only where that is safe.

    Parameters
    ----------
    router : Router
        Selects the target of each attempt.
    peers : Peers
        Connections to the agents of the targets.
    observer : AttemptObserver
        Is called for attempts and decisions.
    budget : RetryBudget
        Retry budget shared by all requests of this process.
    crashes : CrashTable, optional
        Requests under which targets have ended, as known to all processes together.
    """

    def __init__(
        self,
        router: Router,
        peers: Peers,
        observer: AttemptObserver,
        budget: RetryBudget,
        crashes: CrashTable | None = None,
    ):
        self.router = router
        self.peers = peers
        self.observer = observer
        self.budget = budget
        self.crashes = crashes or CrashTable()

    def now(self) -> float:
        """Return the time on the event loop's clock in seconds."""
        return asyncio.get_running_loop().time()

    async def run(
        self,
        request: CallerRequest,
        stream: CallerStream | None = None,
        on_sent: Callable[[SentAttempt], None] | None = None,
    ) -> Outcome:
        """Run a request until it is answered or must not be repeated.

        Parameters
        ----------
        request : CallerRequest
            Request to run.
        stream : CallerStream or None
            Receives a streamed response; once that has begun, the request is not repeated.
        on_sent : callable or None
            Called with each attempt that is about to be sent.

        Returns
        -------
        Outcome
            `NOT_RUN` only if no attempt of the request ran or can still run.
        """
        tried: list[str] = []
        counts = RetryCounts()
        # An earlier submission with the same key may have run. Only a successful claim, made before
        # an attempt is sent, rules that out.
        unclaimed = bool(request.key) and not request.idempotent
        may_have_run = False
        backoff_s = BACKOFF_START_S
        fingerprint = request.ordinary_fingerprint()
        while True:
            if fingerprint and self.crashes.is_rejected(fingerprint, self.now()):
                return self.final_outcome(self.barred_outcome(request), may_have_run or unclaimed)
            choice = self.choose(request, tried)
            if isinstance(choice, Refusal):
                outcome = self.refusal_outcome(request, choice)
                waited = await self.wait_for_target(request, choice, outcome, backoff_s)
                if waited:
                    backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
                    tried.clear()
                    continue
                return self.final_outcome(outcome, may_have_run or unclaimed)
            outcome, sent = await self.attempt(request, choice, stream, on_sent)
            unclaimed = unclaimed and not sent
            if outcome.verdict is Verdict.ANSWERED:
                self.budget.on_success(self.now())
                if fingerprint:
                    self.crashes.record_completion(fingerprint, self.now())
                return outcome
            tried.append(choice.target)
            may_have_run = may_have_run or outcome.verdict is Verdict.MAY_HAVE_RUN
            if not self.may_retry(request, outcome, stream, counts):
                return self.final_outcome(outcome, may_have_run or unclaimed)

    def choose(self, request: CallerRequest, tried: list[str]) -> Choice | Refusal:
        """Select a target that is not in `tried`."""
        choice_request = ChoiceRequest(
            service=request.service,
            priority=request.priority,
            prefix=request.prefix,
            min_version=request.min_version,
            excluded=tried,
            expected_tokens=request.expected_tokens,
            preferred_target=request.preferred_target,
        )
        return self.router.choose(choice_request, self.now())

    def refusal_outcome(self, request: CallerRequest, refusal: Refusal) -> Outcome:
        """Report and return the outcome of a request for which the router has no target."""
        self.observer.on_decision(
            request.request_id, "", f"refused: {refusal.code}", refusal.reason
        )
        return Outcome(
            Verdict.NOT_RUN,
            code=refusal.code,
            retry_after_s=refusal.retry_after_s,
            evidence=f"gateway: {refusal.reason}",
        )

    def barred_outcome(self, request: CallerRequest) -> Outcome:
        """Report and return the outcome of a request under which targets have ended."""
        reason = "targets have ended under this request"
        self.observer.on_decision(request.request_id, "", "rejected", reason)
        return Outcome(Verdict.NOT_RUN, code=ErrorCode.TARGET_FAILED, evidence=f"gateway: {reason}")

    async def wait_for_target(self, request, refusal, outcome, backoff_s) -> bool:
        """Wait before the next selection; return False without waiting if the refusal is final.

        Only ordinary requests wait, and only if the pause ends before their deadline.
        """
        if refusal.code in FINAL_CODES or request.priority != "ordinary":
            return False
        pause_s = max(backoff_s, min(refusal.retry_after_s, BACKOFF_MAX_S))
        if self.now() + pause_s >= request.deadline or refusal.code == ErrorCode.OVERLOADED:
            return False
        await asyncio.sleep(pause_s)
        return True

    def final_outcome(self, outcome: Outcome, may_have_run: bool) -> Outcome:
        """Return the last outcome with the verdict corrected if an earlier attempt may have run."""
        if may_have_run and outcome.verdict is Verdict.NOT_RUN:
            return attrs.evolve(outcome, verdict=Verdict.MAY_HAVE_RUN)
        return outcome

    def may_retry(self, request, outcome, stream, counts) -> bool:
        """Return whether another attempt is safe and within the retry budgets."""
        if outcome.code in FINAL_CODES or self.now() >= request.deadline:
            return False
        if stream is not None and stream.begun:
            return False
        if outcome.verdict is Verdict.MAY_HAVE_RUN and not request.idempotent:
            return False
        cause = retry_cause(outcome)
        allowed = self.budget.try_acquire(cause, counts, self.now())
        what = f"retry after {cause}" if allowed else f"no budget for a retry after {cause}"
        self.observer.on_decision(request.request_id, "", what, outcome.evidence)
        return allowed

    async def attempt(self, request, choice: Choice, stream, on_sent) -> tuple[Outcome, bool]:
        """Make one attempt at the selected target; return its outcome and whether it was sent."""
        attempt_id = new_attempt_id()
        started = self.now()
        self.router.on_sent(choice.target, attempt_id, request.priority, started)
        self.observer.on_decision(
            request.request_id, attempt_id, f"chose {choice.target}", choice.reason
        )
        outcome = Outcome(
            Verdict.MAY_HAVE_RUN, code=ErrorCode.CANCELLED, evidence="gateway: caller disconnected"
        )
        target_outcome = outcome
        sent = False
        try:
            connected = await self.connect(choice.target)
            if not is_successful(connected):
                outcome = target_outcome = connected.failure()
                return outcome, sent
            client = connected.unwrap()
            address = address_attempt(request, choice.target, attempt_id, client)
            refusal = await self.observer.before_send(request, address)
            if refusal is not None:
                # The refusal is about an earlier submission and is no observation of this target.
                outcome = refusal
                return outcome, sent
            sent = True
            outcome = target_outcome = await self.send(request, address, client, stream, on_sent)
            return outcome, sent
        finally:
            now = self.now()
            tokens = sum(segment.tokens for segment in target_outcome.segments)
            self.router.on_ended(
                choice.target, attempt_id, target_outcome, now - started, tokens, now
            )
            what = f"{choice.target}: {outcome.verdict} {outcome.code}".strip()
            self.observer.on_decision(request.request_id, attempt_id, what, outcome.evidence)

    async def connect(self, target: str) -> Result[PeerClient, Outcome]:
        """Return a connection to the agent of a target, or the outcome if it is unreachable."""
        try:
            return Success(await self.peers.connect_agent(target))
        except PeerUnreachable as error:
            refusal = Outcome(
                Verdict.NOT_RUN,
                code=ErrorCode.TARGET_UNREACHABLE,
                evidence=f"gateway: nothing sent: {error}",
            )
            return Failure(refusal)

    async def send(self, request, sent: SentAttempt, client, stream, on_sent) -> Outcome:
        """Send an attempt, and settle it if no response arrives.

        The agent is told to cancel the attempt if this call is cancelled.
        """
        if on_sent is not None:
            on_sent(sent)
        attempt = build_attempt(request, sent, stream)
        try:
            return await self.submit(client, attempt, request, stream)
        except (PeerDisconnected, PeerTimeout, PeerFailed) as error:
            return await self.settle(request, sent, error)
        except asyncio.CancelledError:
            self.cancel_in_background(client, sent.attempt_id)
            raise

    async def submit(self, client: PeerClient, attempt: Attempt, request, stream) -> Outcome:
        """Submit an attempt and return its outcome.

        An idempotent attempt is abandoned as soon as its target is suspected, so that it can be
        repeated at another target.

        Raises
        ------
        PeerTimeout
            If the attempt is abandoned or the agent does not respond in time.
        """
        timeout_s = max(0.0, request.deadline - self.now()) + RESPONSE_GRACE_S
        chunks = None if stream is None else AttemptChunks(stream)
        call = asyncio.ensure_future(client.submit(attempt, timeout_s, chunks))
        try:
            while True:
                done, _ = await asyncio.wait([call], timeout=SUSPECT_CHECK_S)
                if done:
                    return call.result()
                if not request.idempotent:
                    continue
                if self.router.state_of(attempt.target) in (TargetState.SUSPECT, TargetState.GONE):
                    raise PeerTimeout(f"agent of {attempt.target} does not respond")
        finally:
            call.cancel()
            if chunks is not None:
                chunks.active = False

    def cancel_in_background(self, client: PeerClient, attempt_id: str) -> None:
        """Ask the agent to cancel an attempt, without waiting for the response."""
        task = asyncio.ensure_future(client.cancel(attempt_id, CANCEL_TIMEOUT_S))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def settle(self, request: CallerRequest, sent: SentAttempt, error: PeerError) -> Outcome:
        """Return the outcome of an attempt whose response is missing, as its agent states it."""
        unknown_outcome = Outcome(
            Verdict.MAY_HAVE_RUN, code=ErrorCode.TIMEOUT, evidence=f"gateway: {error}"
        )
        # The connection itself may be faulty, and a message sent on it earlier could still arrive.
        self.peers.disconnect_agent(sent.target)
        for _ in range(MAX_SETTLE_CALLS):
            wait_s = 0.0 if request.idempotent else max(0.0, request.deadline - self.now())
            try:
                client = await self.peers.connect_agent(sent.target)
                return await settle_attempt(client, sent, wait_s)
            except PeerError as failure:
                unknown_outcome = attrs.evolve(
                    unknown_outcome, evidence=f"{unknown_outcome.evidence}; settle: {failure}"
                )
                self.peers.disconnect_agent(sent.target)
        return unknown_outcome


def address_attempt(request, target: str, attempt_id: str, client: PeerClient) -> SentAttempt:
    """Return the address of an attempt at the agent at the other end of a connection."""
    deadline_ms = client.peer_deadline_ms(request.deadline)
    return SentAttempt(attempt_id, target, client.peer.incarnation, deadline_ms)


def build_attempt(request: CallerRequest, sent: SentAttempt, stream) -> Attempt:
    """Return the message for one attempt of a request."""
    return Attempt(
        request_id=request.request_id,
        attempt_id=sent.attempt_id,
        target=sent.target,
        incarnation=sent.incarnation,
        deadline_ms=sent.deadline_ms,
        idempotent=request.idempotent,
        priority=request.priority,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        stream=stream is not None,
        lot=request.lot,
        trainer=request.trainer,
        min_version=request.min_version,
        expected_tokens=request.expected_tokens,
    )
