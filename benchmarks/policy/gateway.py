"""Simulated gateway: target selection, retries and the view of target load."""

import random

import attrs

from benchmarks.policy.target import Attempt
from turmericreach.lots import EngineState, EngineView
from turmericreach.routing import (
    ChoiceRequest,
    Refusal,
    RetryBudget,
    RetryCause,
    RetryCounts,
    RoutingTable,
    TargetState,
    retry_cause,
    rollout_capacity,
)
from turmericreach.verdicts import ErrorCode, Verdict

__all__ = ["GatewayModel", "Request"]

BACKOFF_START_S = 0.05
BACKOFF_MAX_S = 1.0
NON_RETRYABLE_CODES = (ErrorCode.DEADLINE_EXCEEDED, ErrorCode.CANCELLED)


@attrs.define(eq=False)
class Request:
    """A caller's request and the state of its attempts.

    Attributes
    ----------
    service : str
        Name of the requested service.
    priority : str
        Value of `Priority`.
    tokens : float
        Actual length in tokens, which the gateway does not know; seconds for a plain service.
    deadline : float
        Virtual time in seconds after which there is no further attempt.
    on_done : callable
        Called with verdict, error code, ``retry_after_s`` and (target, segments), or None
        instead of the last unless the request was answered.
    trainer : str
        Name of the trainer, empty for ordinary requests.
    prefix : str
        Key of the prompt prefix, for prefix caches.
    expected_tokens : int
        Estimated length in tokens, 0 if unknown.
    prefer : str
        Name of the preferred target, or empty.
    min_version : int
        Lowest weight version that may serve the request.
    idempotent : bool
        Whether the request may be repeated after an attempt that may have run.
    on_sent : callable or None
        Called with the name of the target of each attempt.
    on_begin : callable or None
        Called once, when an attempt first starts at a target.
    tried : list of str
        Targets of the failed attempts since the last backoff.
    counts : RetryCounts
        Retries of this request by cause.
    backoff_s : float
        Next pause while no target is available.
    may_have_run : bool
        Whether any attempt may have run.
    attempt : tuple or None
        Target and id of the current attempt.
    attempts : int
        Number of attempts sent.
    cancelled : bool
        Whether the result is no longer needed.
    """

    id: str
    service: str
    priority: str
    tokens: float
    deadline: float
    on_done: object
    trainer: str = ""
    prefix: str = ""
    expected_tokens: int = 0
    prefer: str = ""
    min_version: int = 0
    idempotent: bool = True
    on_sent: object = None
    on_begin: object = None
    tried: list = attrs.field(factory=list)
    counts: RetryCounts = attrs.field(factory=RetryCounts)
    backoff_s: float = BACKOFF_START_S
    may_have_run: bool = False
    attempt: tuple | None = None
    attempts: int = 0
    cancelled: bool = False

    def notify_begin(self):
        """Call `on_begin` at the first start at a target."""
        if self.on_begin is not None:
            self.on_begin()
            self.on_begin = None


class GatewayModel:
    """One gateway, which uses the routing table and retry budget of the product.

    Parameters
    ----------
    world : World
    name, data_centre : str
    seed : int
        Seed of the routing table's random choices, together with the name.
    """

    def __init__(self, world, name, data_centre, seed):
        self.world = world
        self.clock = world.clock
        self.variant = world.variant
        self.name = name
        self.table = RoutingTable(
            data_centre, "region", self.variant.routing, random.Random(f"{name}/{seed}")
        )
        workload = world.workload
        self.table.configure(workload.services(), workload.targets(), workload.data_centres())
        self.budget = RetryBudget(self.variant.budgets)
        self.round_robin_turns = {}
        self.attempts_sent = 0

    def apply_report(self, report):
        """Apply a load report, with its time of arrival as the time of the report."""
        report = attrs.evolve(report, reported_at=self.clock.now)
        self.table.apply_report(report, self.clock.now)
        self.table.set_state(report.target, report.state, self.clock.now)

    def engine_view(self, share, outstanding):
        """Return the free rollout capacity of the engines for a lot with a share of it."""
        capacities = rollout_capacity(self.table, "model", share, outstanding)
        return EngineView(
            [
                EngineState(capacity.target, capacity.version, capacity.free, capacity.speed)
                for capacity in capacities
            ]
        )

    def run(self, request):
        """Send a request to a selected target, or handle the refusal if there is none."""
        if request.cancelled:
            return
        target = self.select_target(request)
        if isinstance(target, Refusal):
            self.on_refusal(request, target)
            return
        self.send(request, target)

    def select_target(self, request):
        """Return the name of the selected target, or a `Refusal`."""
        if self.variant.selection != "policy":
            return self.select_for_baseline(request)
        choice_request = ChoiceRequest(
            service=request.service,
            priority=request.priority,
            prefix=request.prefix,
            min_version=request.min_version,
            excluded=request.tried,
            expected_tokens=request.expected_tokens,
            preferred_target=request.prefer,
        )
        choice = self.table.choose(choice_request, self.clock.now)
        return choice if isinstance(choice, Refusal) else choice.target

    def select_for_baseline(self, request):
        """Select by round robin or least outstanding among targets that pass health checks."""
        candidates = [
            record
            for name, record in sorted(self.table.records.items())
            if record.spec.service == request.service
            and record.state is TargetState.LIVE
            and name not in request.tried
        ]
        if not candidates:
            return Refusal(ErrorCode.NO_TARGET, 1.0, "no live target")
        turn = self.round_robin_turns.get(request.service, 0)
        self.round_robin_turns[request.service] = turn + 1
        if self.variant.selection == "round_robin":
            return candidates[turn % len(candidates)].spec.name
        order = candidates[turn % len(candidates) :] + candidates[: turn % len(candidates)]
        return min(order, key=lambda record: len(record.sent)).spec.name

    def on_refusal(self, request, refusal):
        """Retry an ordinary request after a backoff, or end the request."""
        may_wait = request.priority == "ordinary" and refusal.code != ErrorCode.OVERLOADED
        pause_s = max(request.backoff_s, min(refusal.retry_after_s, BACKOFF_MAX_S))
        if not may_wait or self.clock.now + pause_s >= request.deadline:
            verdict = Verdict.MAY_HAVE_RUN if request.may_have_run else Verdict.NOT_RUN
            request.on_done(verdict, refusal.code, refusal.retry_after_s, None)
            return
        request.backoff_s = min(BACKOFF_MAX_S, request.backoff_s * 2)
        request.tried.clear()
        self.clock.after(pause_s, self.run, request)

    def send(self, request, target):
        """Send one attempt to a target."""
        self.attempts_sent += 1
        attempt_id = f"{self.name}-{self.attempts_sent}"
        sent_at = self.clock.now
        self.table.on_sent(target, attempt_id, request.priority, sent_at)
        if request.on_sent is not None:
            request.on_sent(target)
        request.attempts += 1
        attempt = Attempt(
            attempt_id,
            request,
            lambda outcome: self.on_outcome(request, target, attempt_id, sent_at, outcome),
        )
        request.attempt = (target, attempt_id)
        model = self.world.targets[target]
        self.clock.after(self.world.workload.link_delay_s, model.offer, attempt)

    def on_outcome(self, request, target, attempt_id, sent_at, outcome):
        """Record an outcome in the routing table, then end or retry the request."""
        if request.cancelled:
            return
        now = self.clock.now
        request.attempt = None
        tokens = sum(segment.tokens for segment in outcome.segments)
        outcome = self.variant.observed_outcome(outcome)
        self.table.on_ended(target, attempt_id, outcome, now - sent_at, tokens, now)
        if outcome.verdict is Verdict.ANSWERED:
            self.budget.on_success(now)
            request.on_done(outcome.verdict, outcome.code, 0.0, (target, outcome.segments))
            return
        request.tried.append(target)
        request.may_have_run |= outcome.verdict is Verdict.MAY_HAVE_RUN
        if self.may_retry(request, outcome):
            self.run(request)
            return
        verdict = Verdict.MAY_HAVE_RUN if request.may_have_run else outcome.verdict
        request.on_done(verdict, outcome.code, outcome.retry_after_s, None)

    def may_retry(self, request, outcome):
        """Return whether another attempt is safe and within the retry budget."""
        if outcome.code in NON_RETRYABLE_CODES or self.clock.now >= request.deadline:
            return False
        if outcome.verdict is Verdict.MAY_HAVE_RUN and not request.idempotent:
            return False
        cause = retry_cause(outcome) if self.variant.budget_by_cause else RetryCause.UNKNOWN
        return self.budget.try_acquire(cause, request.counts, self.clock.now)

    def cancel(self, request):
        """Cancel a request whose result is not needed."""
        request.cancelled = True
        if request.attempt is None:
            return
        target, attempt_id = request.attempt
        self.table.records[target].sent.pop(attempt_id, None)
        delay_s = self.world.workload.link_delay_s
        self.clock.after(delay_s, self.world.targets[target].cancel, attempt_id)
