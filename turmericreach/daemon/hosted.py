"""One target of an agent: admission, execution and what is reported about it."""

import asyncio
import datetime

import aiohttp

from turmericreach.attempts import AttemptEntry, AttemptTable
from turmericreach.daemon.completions import CompletionResult, generation_outcome, parse_completion
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

ROLLOUT_PRIORITY = 10
SCORING_PRIORITY = 5


class HostedTarget:
    """A target beside this agent.

    Parameters
    ----------
    spec : TargetSpec
    service : ServiceSpec
    manifest : Manifest
    table : AttemptTable
    session, fresh_session : aiohttp.ClientSession
        Sessions with and without kept connections.
    now : float
        Loop time in seconds.
    sink : Metrics
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
        shares = {trainer.name: trainer.share for trainer in manifest.trainers}
        self.admission = Admission(spec, service, manifest.policy, shares)
        self.window = RolloutWindow(spec.slots, manifest.policy, now)
        self.calendar = SiteCalendar(manifest.sites)
        self.waiting: dict[str, asyncio.Future] = {}
        self.version = 0
        self.prepared = 0
        self.reachable = True
        self.drained = False

    @property
    def is_model(self) -> bool:
        """Whether the target is a model engine."""
        return self.service.kind is ServiceKind.MODEL

    def configure(self, spec: TargetSpec, service: ServiceSpec, manifest: Manifest, now: float):
        """Take over a new manifest without touching attempts in flight."""
        shares = {trainer.name: trainer.share for trainer in manifest.trainers}
        self.spec = spec
        self.service = service
        self.calendar = SiteCalendar(manifest.sites)
        self.wake(self.admission.configure(service, manifest.policy, shares, now))
        self.window.resize(spec.slots)
        self.wake(self.admission.resize(spec.slots, now))
        self.give_up_if_drained()

    def set_drained(self, drained: bool) -> None:
        """Start or lift a drain; attempts that wait are refused, running ones go on."""
        self.drained = drained
        self.give_up_if_drained()

    def give_up_if_drained(self) -> None:
        """Refuse the attempts that wait at a drained target, since they would start later."""
        if not self.drained and not self.spec.drain:
            return
        for ticket_id in list(self.waiting):
            if self.admission.withdraw(ticket_id):
                self.give_up(ticket_id, ErrorCode.LEAVING, "the target is drained")

    def steer(self, now: float, wall: datetime.datetime) -> None:
        """Apply site hours and ordinary latency to the limits; called once a second."""
        if self.is_model:
            reserved = self.calendar.reserved_slots(self.spec.slots, wall)
            self.wake(self.admission.set_reserved(reserved, now))
            former = self.window.limit
            limit = self.window.update(now)
            if limit < former:
                log_event(
                    events.ROLLOUTS_REDUCED,
                    target=self.spec.name,
                    slots=limit,
                    reason="ordinary requests got slower",
                )
            self.wake(self.admission.set_rollout_limit(limit, now))
        for ticket_id in self.admission.expire(now):
            self.give_up(ticket_id, ErrorCode.DEADLINE_EXCEEDED, "deadline passed in the queue")

    def start_leaving(self) -> None:
        """Refuse new attempts and those that wait; running ones go on."""
        for ticket_id in self.admission.start_leaving():
            self.give_up(ticket_id, ErrorCode.LEAVING, "the target is leaving")

    def in_flight(self) -> tuple[int, int]:
        """Return the number of running and of waiting attempts."""
        snapshot = self.admission.snapshot()
        return sum(snapshot.running.values()), sum(snapshot.waiting.values())

    def wake(self, ticket_ids: list[str]) -> None:
        """Let waiting attempts start that now hold a slot."""
        for ticket_id in ticket_ids:
            future = self.waiting.pop(ticket_id, None)
            if future is not None and not future.done():
                future.set_result(None)

    def give_up(self, ticket_id: str, code: ErrorCode, reason: str) -> None:
        """Refuse an attempt that waited; it never starts."""
        future = self.waiting.pop(ticket_id, None)
        if future is not None and not future.done():
            future.set_result((code, reason))

    def withdraw(self, attempt_id: str) -> None:
        """Take a revoked attempt out of the queue."""
        if self.admission.withdraw(attempt_id):
            self.give_up(attempt_id, ErrorCode.REVOKED, "revoked before it started")

    async def run(self, entry: AttemptEntry, attempt: Attempt, writer) -> Outcome:
        """Admit and execute an attempt; the entry is left in a final state."""
        loop = asyncio.get_running_loop()
        arrived = loop.time()
        refusal = await self.admit(entry, attempt, loop)
        if refusal is not None:
            return refusal
        started = loop.time()
        outcome = Outcome(
            Verdict.MAY_HAVE_RUN, code=ErrorCode.CANCELLED, evidence=f"agent {self.table.agent}"
        )
        streamed = False
        try:
            refusal = self.table.start(entry, started)
            if refusal is not None:
                outcome = refusal
                return refusal
            outcome, streamed = await self.execute(attempt, entry, writer)
            return outcome
        finally:
            self.finish(entry, attempt, outcome, streamed, arrived, loop.time())

    async def admit(self, entry, attempt: Attempt, loop) -> Outcome | None:
        """Wait for a slot; return the refusal if there is none."""
        if self.spec.drain or self.drained:
            return self.table.revoke(entry, ErrorCode.LEAVING, "the target is drained")
        if attempt.min_version > self.version and self.is_model:
            return self.table.revoke(
                entry, ErrorCode.NOT_READY, f"version {self.version} is too old", 1.0
            )
        ticket = Ticket(
            id=attempt.attempt_id,
            priority=Priority(attempt.priority),
            trainer=attempt.trainer,
            expires_at=entry.deadline,
            cost=float(max(1, attempt.expected_tokens)),
        )
        answer = self.admission.offer(ticket, loop.time())
        if isinstance(answer, Admitted):
            return None
        if isinstance(answer, Refused):
            log_event(
                events.ADMISSION_REFUSED,
                target=self.spec.name,
                reason=answer.code,
                retry_after_s=answer.retry_after_s,
                request_id=attempt.request_id,
                priority=attempt.priority,
            )
            self.sink.count(metrics.REFUSALS, reason=answer.code)
            return self.table.revoke(entry, answer.code, "not admitted", answer.retry_after_s)
        future = loop.create_future()
        self.waiting[attempt.attempt_id] = future
        try:
            given_up = await future
        except asyncio.CancelledError:
            self.waiting.pop(attempt.attempt_id, None)
            if not self.admission.withdraw(attempt.attempt_id):
                self.wake(self.admission.release(attempt.attempt_id, loop.time()))
            if entry.outcome is None:
                self.table.revoke(entry, ErrorCode.CANCELLED, "cancelled before it started")
            raise
        if given_up is None:
            return None
        code, reason = given_up
        if entry.outcome is not None:
            return entry.outcome
        return self.table.revoke(entry, code, reason)

    def finish(self, entry, attempt, outcome, streamed, arrived, now) -> None:
        """Record the outcome and free the slot."""
        tokens = sum(segment.tokens for segment in outcome.segments)
        if tokens:
            self.sink.count(metrics.TOKENS, tokens, target=self.spec.name)
        self.sink.timing(metrics.ATTEMPT_TIME, now - arrived, target=self.spec.name)
        self.wake(self.admission.release(attempt.attempt_id, now, tokens or None))
        if entry.outcome is None:
            self.table.finish(entry, outcome, response_stored=not streamed)
        if attempt.priority == Priority.ORDINARY and outcome.verdict is Verdict.ANSWERED:
            rollouts = self.admission.counts[Priority.ROLLOUT]
            # The wait counts, since rollouts slow requests down mostly by holding every slot.
            self.window.record_ordinary_latency(now - arrived, rollouts, now)

    async def execute(self, attempt: Attempt, entry, writer) -> tuple[Outcome, bool]:
        """Send an attempt to the target."""
        left_s = max(0.001, entry.deadline - asyncio.get_running_loop().time())
        if attempt.lot and self.is_model:
            return await self.generate(attempt, left_s), False
        call = ServiceCall(
            attempt.method,
            attempt.path,
            [*attempt.headers, ("Turmericreach-Request-Id", attempt.request_id)],
            attempt.body,
            attempt.idempotent,
            self.service.refusals_not_run,
            left_s,
        )
        return await self.adapter.run(call, writer if attempt.stream else None)

    async def generate(self, attempt: Attempt, left_s: float) -> Outcome:
        """Run a rollout at the engine."""
        try:
            request = parse_completion(attempt, ROLLOUT_PRIORITY)
            async with asyncio.timeout(left_s):
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
                ErrorCode.DEADLINE_EXCEEDED, "no completion in time"
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
        """Return the engine's version, None if it cannot be read."""
        try:
            return (await self.engine.version()).version
        except EngineError:
            return None
