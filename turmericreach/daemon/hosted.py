"""One target of an agent: admission and execution of its attempts."""

import asyncio
import datetime

import aiohttp

from turmericreach.attempts import AttemptEntry, AttemptTable, attempt_fingerprint
from turmericreach.daemon.completions import CompletionResult, generation_outcome, parse_completion
from turmericreach.daemon.crash_watch import CrashWatch
from turmericreach.daemon.target_limit import TargetLimit
from turmericreach.limits import (
    Admission,
    Admitted,
    Priority,
    Refused,
    RolloutWindow,
    SiteCalendar,
    Ticket,
)
from turmericreach.manifest import Manifest, ServiceKind, ServiceSpec, TargetSpec
from turmericreach.rpc import Attempt
from turmericreach.targets import EngineError, HttpService, OpenAIEngine, ServiceCall
from turmericreach.telemetry import Metrics, events, log_event
from turmericreach.telemetry import metric_catalogue as metrics
from turmericreach.verdicts import ErrorCode, Outcome, RequestError, Verdict

__all__ = ["HostedTarget"]

# Priorities of calls at an engine.
ROLLOUT_PRIORITY = 10
SCORING_PRIORITY = 5
# Time for which a target that announced its leave gets nothing. Nothing tells that it has started
# again, so it is tried again after this time.
LEAVING_S = 30.0


class HostedTarget:
    """A target for which this agent runs attempts.

    Parameters
    ----------
    spec : TargetSpec
        Target in the manifest.
    service : ServiceSpec
        Service of the target.
    manifest : Manifest
        Manifest in force.
    table : AttemptTable
        All attempts of the agent.
    session, fresh_session : aiohttp.ClientSession
        HTTP sessions with and without reuse of connections.
    now : float
        Loop time in seconds.
    sink : Metrics
        Destination of the metrics.

    Attributes
    ----------
    adapter : HttpService
        Runs ordinary requests and scoring calls.
    engine : OpenAIEngine
        Runs rollouts, if the target is an engine.
    admission : Admission
        Slots and queues of the target.
    window : RolloutWindow
        Number of slots that rollouts may use, adapted to the latency of ordinary requests.
    calendar : SiteCalendar
        Slots reserved for ordinary requests during the hours of sites.
    limit : TargetLimit
        Permits within the limit in requests a second that the target has named.
    crash_watch : CrashWatch
        Requests under which the target has ended.
    waiting : dict of str to asyncio.Future
        Attempts in the queues, by id. The result is None once an attempt holds a slot, or the
        code and reason of its rejection.
    version : int
        Last weight version that the engine reported as served, 0 if unknown.
    prepared : int
        Highest weight version that the engine serves or has prepared, 0 if unknown.
    reachable : bool
        Whether the last reading of the version succeeded.
    drained : bool
        Whether an operator has drained the target.
    leaving_until : float
        Loop time in seconds until which the target is not used, since a response has announced that
        it leaves.
    """

    def __init__(
        self,
        spec: TargetSpec,
        service: ServiceSpec,
        manifest: Manifest,
        table: AttemptTable,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        now: float,
        sink: Metrics,
    ):
        self.sink = sink
        self.spec = spec
        self.service = service
        self.table = table
        self.adapter = HttpService(spec.url, session, fresh_session)
        self.engine = OpenAIEngine(spec.url, session, service.model)
        self.limit = TargetLimit(spec.name)
        self.adapter.on_limit = self.engine.on_limit = self.limit.record
        self.adapter.on_leaving = self.engine.on_leaving = self.record_leave
        shares = {trainer.name: trainer.share for trainer in manifest.trainers}
        self.admission = Admission(spec, service, manifest.policy, shares)
        self.window = RolloutWindow(spec.slots, manifest.policy, now)
        self.calendar = SiteCalendar(manifest.sites)
        self.crash_watch = CrashWatch(spec.name, spec.url, table.incarnation, lambda: None)
        self.waiting: dict[str, asyncio.Future] = {}
        self.version = 0
        self.prepared = 0
        self.reachable = True
        self.drained = False
        self.leaving_until = float("-inf")

    @property
    def is_model(self) -> bool:
        """Whether the target is an engine."""
        return self.service.kind is ServiceKind.MODEL

    def configure(self, spec: TargetSpec, service: ServiceSpec, manifest: Manifest, now: float):
        """Apply a new manifest; running attempts continue."""
        shares = {trainer.name: trainer.share for trainer in manifest.trainers}
        self.spec = spec
        self.service = service
        self.calendar = SiteCalendar(manifest.sites)
        self.start_admitted(self.admission.configure(service, manifest.policy, shares, now))
        self.window.resize(spec.slots)
        self.start_admitted(self.admission.resize(spec.slots, now))
        self.reject_waiting_if_leaving()

    def set_drained(self, drained: bool) -> None:
        """Start or end a drain; a drain rejects waiting attempts, running ones continue."""
        self.drained = drained
        self.reject_waiting_if_leaving()

    def leaving_reason(self) -> str:
        """Return why the target gets no new attempts, empty if it does."""
        if self.drained or self.spec.drain:
            return "the target is drained"
        if asyncio.get_running_loop().time() < self.leaving_until:
            return "the target leaves"
        return ""

    def reject_waiting_if_leaving(self) -> None:
        """Reject waiting attempts if the target gets no new ones, since they would start later."""
        reason = self.leaving_reason()
        if not reason:
            return
        for ticket_id in list(self.waiting):
            if self.admission.withdraw(ticket_id):
                self.reject_waiting(ticket_id, ErrorCode.LEAVING, reason)

    def update_limits(self, now: float, wall: datetime.datetime) -> None:
        """Adapt the limits to site hours and ordinary latency, and expire waiting attempts.

        Called once a second.
        """
        if self.is_model:
            reserved = self.calendar.reserved_slots(self.spec.slots, wall)
            self.start_admitted(self.admission.set_reserved(reserved, now))
            previous_limit = self.window.limit
            limit = self.window.update(now)
            if limit < previous_limit:
                log_event(
                    events.ROLLOUTS_REDUCED,
                    target=self.spec.name,
                    slots=limit,
                    reason="latency of ordinary requests increased",
                )
            self.start_admitted(self.admission.set_rollout_limit(limit, now))
        for ticket_id in self.admission.expire(now):
            self.reject_waiting(
                ticket_id, ErrorCode.DEADLINE_EXCEEDED, "deadline passed in the queue"
            )

    def start_leaving(self) -> None:
        """Reject new and waiting attempts; running ones continue."""
        for ticket_id in self.admission.start_leaving():
            self.reject_waiting(ticket_id, ErrorCode.LEAVING, "the target is leaving")

    def in_flight(self) -> tuple[int, int]:
        """Return the number of running and of waiting attempts."""
        snapshot = self.admission.snapshot()
        return sum(snapshot.running.values()), sum(snapshot.waiting.values())

    def start_admitted(self, ticket_ids: list[str]) -> None:
        """Start waiting attempts that have been given a slot."""
        for ticket_id in ticket_ids:
            future = self.waiting.pop(ticket_id, None)
            if future is not None and not future.done():
                future.set_result(None)

    def reject_waiting(self, ticket_id: str, code: ErrorCode, reason: str) -> None:
        """Reject a waiting attempt, which then never starts."""
        future = self.waiting.pop(ticket_id, None)
        if future is not None and not future.done():
            future.set_result((code, reason))

    def withdraw(self, attempt_id: str) -> None:
        """Remove a revoked attempt from the queue."""
        if self.admission.withdraw(attempt_id):
            self.reject_waiting(attempt_id, ErrorCode.REVOKED, "revoked before it started")

    async def run(self, entry: AttemptEntry, attempt: Attempt, writer) -> Outcome:
        """Admit and execute an attempt, and leave its entry in a final state."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        rejection_outcome = await self.admit(entry, attempt, loop)
        if rejection_outcome is not None:
            return rejection_outcome
        started = loop.time()
        outcome = Outcome(
            Verdict.MAY_HAVE_RUN, code=ErrorCode.CANCELLED, evidence=f"agent {self.table.agent}"
        )
        streamed = False
        try:
            retry_s = self.limit.take_permit(attempt.priority, started)
            if retry_s is None:
                rejection_outcome = self.table.start(entry, started)
            else:
                rejection_outcome = self.reject_over_limit(entry, attempt, retry_s)
            if rejection_outcome is not None:
                outcome = rejection_outcome
                return rejection_outcome
            outcome, streamed = await self.execute(attempt, entry, writer)
            return outcome
        finally:
            self.finish(entry, attempt, outcome, streamed, arrived, loop.time())

    def record_leave(self) -> None:
        """Record that a response of the target has announced that it leaves."""
        now = asyncio.get_running_loop().time()
        if now >= self.leaving_until:
            log_event(
                events.TARGET_LEAVING, target=self.spec.name, reason="announced in a response"
            )
        self.leaving_until = now + LEAVING_S
        self.reject_waiting_if_leaving()

    def reject_over_limit(self, entry, attempt: Attempt, retry_after_s: float) -> Outcome:
        """Reject an attempt that the target's limit does not permit now."""
        log_event(
            events.ADMISSION_REFUSED,
            target=self.spec.name,
            reason="limit of the target",
            retry_after_s=retry_after_s,
            request_id=attempt.request_id,
            priority=attempt.priority,
        )
        self.sink.count(metrics.REFUSALS, reason=ErrorCode.OVERLOADED)
        return self.table.revoke(
            entry, ErrorCode.OVERLOADED, "the target's limit is reached", retry_after_s
        )

    async def admit(self, entry, attempt: Attempt, loop) -> Outcome | None:
        """Wait for a slot; return the outcome of the rejection if the attempt gets none."""
        reason = self.leaving_reason()
        if reason:
            return self.table.revoke(entry, ErrorCode.LEAVING, reason)
        if attempt.min_version > self.version and self.is_model:
            return self.table.revoke(
                entry, ErrorCode.NOT_READY, f"version {self.version} is too old", 1.0
            )
        wait_s = self.limit.wait_s(attempt.priority, loop.time())
        if wait_s > 0:
            return self.reject_over_limit(entry, attempt, wait_s)
        ticket = Ticket(
            id=attempt.attempt_id,
            priority=Priority(attempt.priority),
            trainer=attempt.trainer,
            expires_at=entry.deadline,
            cost=float(max(1, attempt.expected_tokens)),
        )
        decision = self.admission.offer(ticket, loop.time())
        if isinstance(decision, Admitted):
            return None
        if isinstance(decision, Refused):
            log_event(
                events.ADMISSION_REFUSED,
                target=self.spec.name,
                reason=decision.code,
                retry_after_s=decision.retry_after_s,
                request_id=attempt.request_id,
                priority=attempt.priority,
            )
            self.sink.count(metrics.REFUSALS, reason=decision.code)
            return self.table.revoke(entry, decision.code, "not admitted", decision.retry_after_s)
        future = loop.create_future()
        self.waiting[attempt.attempt_id] = future
        try:
            rejection = await future
        except asyncio.CancelledError:
            self.waiting.pop(attempt.attempt_id, None)
            if not self.admission.withdraw(attempt.attempt_id):
                self.start_admitted(self.admission.release(attempt.attempt_id, loop.time()))
            if entry.outcome is None:
                self.table.revoke(entry, ErrorCode.CANCELLED, "cancelled before it started")
            raise
        if rejection is None:
            return None
        code, reason = rejection
        if entry.outcome is not None:
            return entry.outcome
        return self.table.revoke(entry, code, reason)

    def finish(self, entry, attempt, outcome, streamed, arrived, now) -> None:
        """Record the outcome and the metrics of an attempt, and release its slot."""
        tokens = sum(segment.tokens for segment in outcome.segments)
        if tokens:
            self.sink.count(metrics.TOKENS, tokens, target=self.spec.name)
        self.sink.timing(metrics.ATTEMPT_TIME, now - arrived, target=self.spec.name)
        self.start_admitted(self.admission.release(attempt.attempt_id, now, tokens or None))
        if entry.outcome is None:
            self.table.finish(entry, outcome, response_stored=not streamed)
        if attempt.priority == Priority.ORDINARY and outcome.verdict is Verdict.ANSWERED:
            rollouts = self.admission.counts[Priority.ROLLOUT]
            # The latency includes the time in the queue, since rollouts delay ordinary requests
            # mostly by occupying all slots.
            self.window.record_ordinary_latency(now - arrived, rollouts, now)

    async def execute(self, attempt: Attempt, entry, writer) -> tuple[Outcome, bool]:
        """Run an attempt at the target; return its outcome and whether it was streamed."""
        remaining_s = max(0.001, entry.deadline - asyncio.get_running_loop().time())
        if attempt.lot and self.is_model:
            return await self.generate(attempt, remaining_s), False
        call = ServiceCall(
            attempt.method,
            attempt.path,
            [*attempt.headers, ("Turmericreach-Request-Id", attempt.request_id)],
            attempt.body,
            attempt.idempotent,
            self.service.refusals_not_run,
            remaining_s,
        )
        outcome, streamed = await self.adapter.run(call, writer if attempt.stream else None)
        self.watch_for_crash(attempt, outcome)
        return outcome, streamed

    def watch_for_crash(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record whether the target completed an ordinary request, or check whether it ended."""
        if attempt.priority != Priority.ORDINARY:
            return
        fingerprint = attempt_fingerprint(
            self.spec.service, attempt.method, attempt.path, attempt.headers, attempt.body
        )
        if outcome.verdict is Verdict.ANSWERED:
            self.crash_watch.record_response(fingerprint)
        elif outcome.code is ErrorCode.TARGET_FAILED:
            self.crash_watch.check(fingerprint, attempt.request_id)

    async def generate(self, attempt: Attempt, remaining_s: float) -> Outcome:
        """Run a rollout at the engine and return its outcome."""
        try:
            request = parse_completion(attempt, ROLLOUT_PRIORITY)
            async with asyncio.timeout(remaining_s):
                started_version = await self.read_version()
                generation = await self.engine.generate(request)
                finished_version = await self.read_version()
        except RequestError as error:
            return self.table.not_run_outcome(error.code, error.message)
        except EngineError as error:
            return Outcome(
                error.verdict,
                code=error.code,
                retry_after_s=error.retry_after_s,
                evidence=f"engine {self.spec.name}: {error}",
            )
        except TimeoutError:
            return self.table.may_have_run_outcome(
                ErrorCode.DEADLINE_EXCEEDED, "the engine did not complete before the deadline"
            )
        result = CompletionResult(
            generation.text,
            generation.tokens,
            generation.finish_reason,
            self.spec.name,
            attempt.attempt_id,
            started_version,
            finished_version,
        )
        return generation_outcome(generation, result)

    async def read_version(self) -> int | None:
        """Read the weight version from the engine; return None if that fails."""
        try:
            return (await self.engine.version()).version
        except EngineError:
            return None
