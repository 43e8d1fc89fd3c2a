"""A gateway: target choice, retries and the load view, in virtual time."""

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
SETTLED_CODES = (ErrorCode.DEADLINE_EXCEEDED, ErrorCode.CANCELLED)


@attrs.define(eq=False)
class Request:
    """A caller's request.

    Attributes
    ----------
    tokens : float
        True length, unknown to the system; seconds for a plain service.
    on_done : callable
        Takes the final outcome.
    on_sent, on_begin : callable or None
        Told the target of each attempt, and of the first start at an engine.
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

    def note_begin(self):
        """Tell of the first start at an engine."""
        if self.on_begin is not None:
            self.on_begin()
            self.on_begin = None


class GatewayModel:
    """One gateway.

    Parameters
    ----------
    world : World
    name, data_centre : str
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
        self.turns = {}
        self.numbers = 0

    def observe(self, report):
        """Take over a report, dated with its arrival."""
        report = attrs.evolve(report, reported_at=self.clock.now)
        self.table.apply_report(report, self.clock.now)
        self.table.set_state(report.target, report.state, self.clock.now)

    def engine_view(self, share, outstanding):
        """Return the engines on which a lot may start rollouts."""
        rooms = rollout_capacity(self.table, "model", share, outstanding)
        return EngineView(
            [EngineState(room.target, room.version, room.free, room.speed) for room in rooms]
        )

    def run(self, request):
        """Run a request until it is answered or must not be repeated."""
        if request.cancelled:
            return
        target = self.choose(request)
        if isinstance(target, Refusal):
            self.on_refusal(request, target)
            return
        self.send(request, target)

    def choose(self, request):
        """Return the name of a target, or a refusal."""
        if self.variant.selection != "policy":
            return self.choose_plainly(request)
        wish = ChoiceRequest(
            service=request.service,
            priority=request.priority,
            prefix=request.prefix,
            min_version=request.min_version,
            excluded=request.tried,
            expected_tokens=request.expected_tokens,
            preferred_target=request.prefer,
        )
        choice = self.table.choose(wish, self.clock.now)
        return choice if isinstance(choice, Refusal) else choice.target

    def choose_plainly(self, request):
        """Choose as the baselines do, among targets that pass their health check."""
        live = [
            record
            for name, record in sorted(self.table.records.items())
            if record.spec.service == request.service
            and record.state is TargetState.LIVE
            and name not in request.tried
        ]
        if not live:
            return Refusal(ErrorCode.NO_TARGET, 1.0, "no live target")
        turn = self.turns.get(request.service, 0)
        self.turns[request.service] = turn + 1
        if self.variant.selection == "round_robin":
            return live[turn % len(live)].spec.name
        order = live[turn % len(live) :] + live[: turn % len(live)]
        return min(order, key=lambda record: len(record.sent)).spec.name

    def on_refusal(self, request, refusal):
        """Wait for a target, or end the request."""
        waits = request.priority == "ordinary" and refusal.code != ErrorCode.OVERLOADED
        pause_s = max(request.backoff_s, min(refusal.retry_after_s, BACKOFF_MAX_S))
        if not waits or self.clock.now + pause_s >= request.deadline:
            verdict = Verdict.MAY_HAVE_RUN if request.may_have_run else Verdict.NOT_RUN
            request.on_done(verdict, refusal.code, refusal.retry_after_s, None)
            return
        request.backoff_s = min(BACKOFF_MAX_S, request.backoff_s * 2)
        request.tried.clear()
        self.clock.after(pause_s, self.run, request)

    def send(self, request, target):
        """Send one attempt."""
        self.numbers += 1
        attempt_id = f"{self.name}-{self.numbers}"
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
        """Learn from an outcome; end the request or repeat it."""
        if request.cancelled:
            return
        now = self.clock.now
        request.attempt = None
        tokens = sum(segment.tokens for segment in outcome.segments)
        outcome = self.variant.seen_outcome(outcome)
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
        """Return whether another attempt is safe and within the budget."""
        if outcome.code in SETTLED_CODES or self.clock.now >= request.deadline:
            return False
        if outcome.verdict is Verdict.MAY_HAVE_RUN and not request.idempotent:
            return False
        cause = retry_cause(outcome) if self.variant.budget_by_cause else RetryCause.UNKNOWN
        return self.budget.try_acquire(cause, request.counts, self.clock.now)

    def cancel(self, request):
        """Give up a request whose result is not needed."""
        request.cancelled = True
        if request.attempt is None:
            return
        target, attempt_id = request.attempt
        self.table.records[target].sent.pop(attempt_id, None)
        delay_s = self.world.workload.link_delay_s
        self.clock.after(delay_s, self.world.targets[target].cancel, attempt_id)
