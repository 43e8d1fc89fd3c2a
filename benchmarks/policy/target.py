"""Simulated target and its agent: admission, execution, weight convergence and reports."""

import collections
import datetime

import attrs

from benchmarks.policy.engine import EngineModel, Stream
from benchmarks.policy.workloads import BATCH_SLOWDOWN
from turmericreach.limits import (
    Admission,
    Admitted,
    Priority,
    Queued,
    Refused,
    RolloutWindow,
    SiteCalendar,
    Ticket,
)
from turmericreach.routing import LoadReport
from turmericreach.verdicts import ErrorCode, Outcome, Verdict
from turmericreach.weights import (
    ActionKind,
    ActionResult,
    FencingTokens,
    ResultKind,
    TargetConverger,
)

__all__ = ["Attempt", "FcfsAdmission", "TargetModel"]

LOAD_INTERVAL_S = 10.0
NOON = datetime.datetime(2026, 3, 2, 12, tzinfo=datetime.UTC)
CONTROL_INTERVAL_S = 1.0
CONVERGE_INTERVAL_S = 0.25
PREPARE_DURATION_S = 1.0
SWAP_DURATION_S = 0.2
# A prefix of 256 tokens, which is prefilled 20 times faster than tokens are generated.
PREFILL_TOKENS = 256 / 20.0


@attrs.define(eq=False)
class Attempt:
    """One attempt at a target.

    Attributes
    ----------
    request : Request
    reply : callable
        Called with the `Outcome` after the link delay.
    stream : Stream or None
        The stream at the back end, once started.
    arrived_at, started_at : float
        Virtual time in seconds of the arrival at the agent and of the start at the back end.
    began_version : int
        Weight version at the start.
    """

    id: str
    request: object
    reply: object
    stream: Stream | None = None
    arrived_at: float = 0.0
    started_at: float = 0.0
    began_version: int = 0


class FcfsAdmission:
    """Admission of the baselines: a single first-come, first-served queue.

    Parameters
    ----------
    slots : int
        Number of tickets that run at the same time.
    """

    def __init__(self, slots):
        self.slots = slots
        self.running = {}
        self.queue = collections.OrderedDict()

    def offer(self, ticket, now):
        """Admit a ticket or append it to the queue."""
        if len(self.running) < self.slots:
            self.running[ticket.id] = ticket
            return Admitted()
        self.queue[ticket.id] = ticket
        return Queued(len(self.queue) - 1)

    def release(self, ticket_id, now, tokens=None):
        """Release a slot and return the ids of the tickets that start."""
        if self.running.pop(ticket_id, None) is None or not self.queue:
            return []
        ticket_id, ticket = self.queue.popitem(last=False)
        self.running[ticket_id] = ticket
        return [ticket_id]

    def withdraw(self, ticket_id):
        """Remove a waiting ticket; return whether it was waiting."""
        return self.queue.pop(ticket_id, None) is not None

    def count_attempts(self):
        """Return the numbers of running and waiting tickets."""
        return len(self.running), len(self.queue)


class TargetModel:
    """One target together with the part of its agent that serves it.

    Parameters
    ----------
    world : World
    spec : TargetSpec
    service : ServiceSpec
    fcfs : bool
        Whether admission is first come, first served, as in the baselines.
    """

    def __init__(self, world, spec, service, fcfs):
        self.world = world
        self.clock = world.clock
        self.spec = spec
        self.is_model = service.name == "model"
        if self.is_model:
            self.engine = EngineModel(
                self.clock, spec.name, spec.speed, BATCH_SLOWDOWN, PREFILL_TOKENS
            )
        else:
            self.engine = EngineModel(self.clock, spec.name, 1.0, 0.0)
        shares = {trainer.name: trainer.share for trainer in world.workload.shares()}
        policy = world.policy
        self.fcfs = fcfs
        self.admission = (
            FcfsAdmission(spec.slots) if fcfs else Admission(spec, service, policy, shares)
        )
        self.window = RolloutWindow(spec.slots, policy, 0.0, world.variant.window)
        self.calendar = SiteCalendar(world.workload.sites())
        self.attempts = {}
        self.converger = TargetConverger(FencingTokens(1))
        self.prepared = 1
        self.reachable = True
        self.swap_fails_until = 0.0
        self.action_pending = False
        self.load_reported_at = float("-inf")
        self.reported_load = (0, 0)
        self.last_report = None
        self.tick()

    def tick(self):
        """Update the rollout limit, expire waiting tickets and report load, once a second."""
        now = self.clock.now
        if not self.fcfs:
            if self.is_model:
                reserved = self.calendar.reserved_slots(
                    self.spec.slots, NOON + datetime.timedelta(seconds=now)
                )
                self.begin_all(self.admission.set_reserved(reserved, now))
                self.begin_all(self.admission.set_rollout_limit(self.window.update(now), now))
            for ticket_id in self.admission.expire(now):
                self.reject_waiting(ticket_id, ErrorCode.DEADLINE_EXCEEDED)
        report = self.report()
        if report != self.last_report:
            self.last_report = report
            self.clock.after(self.world.report_lag_s, self.world.deliver_report, report)
        self.clock.after(CONTROL_INTERVAL_S, self.tick)

    def count_attempts(self):
        """Return the numbers of running and waiting attempts."""
        if self.fcfs:
            return self.admission.count_attempts()
        snapshot = self.admission.snapshot()
        return sum(snapshot.running.values()), sum(snapshot.waiting.values())

    def report(self):
        """Return the load report; the gateway sets its time on arrival, as the daemon does."""
        state = "live" if self.reachable else "suspect"
        version = self.engine.version if self.is_model else 0
        # The member table reports a change of load alone at most once per LOAD_INTERVAL_S.
        if self.clock.now - self.load_reported_at >= LOAD_INTERVAL_S:
            self.load_reported_at = self.clock.now
            self.reported_load = self.count_attempts()
        running, waiting = self.reported_load
        return LoadReport(self.spec.name, state, version, running, waiting, self.spec.slots, 0.0)

    # Attempts

    def offer(self, attempt):
        """Admit, queue or reject an attempt that arrived."""
        request = attempt.request
        if self.is_model and request.min_version > self.engine.version:
            self.send_outcome(
                attempt, Outcome(Verdict.NOT_RUN, ErrorCode.NOT_READY, retry_after_s=1.0)
            )
            return
        ticket = Ticket(
            attempt.id,
            Priority(request.priority),
            trainer=request.trainer,
            expires_at=request.deadline,
            cost=self.world.variant.ticket_cost(request),
        )
        attempt.arrived_at = self.clock.now
        self.attempts[attempt.id] = attempt
        decision = self.admission.offer(ticket, self.clock.now)
        if isinstance(decision, Admitted):
            self.begin(attempt)
        if isinstance(decision, Refused):
            del self.attempts[attempt.id]
            outcome = Outcome(Verdict.NOT_RUN, decision.code, retry_after_s=decision.retry_after_s)
            self.send_outcome(attempt, outcome)

    def begin_all(self, ticket_ids):
        """Start the attempts that have acquired a slot."""
        for ticket_id in ticket_ids:
            self.begin(self.attempts[ticket_id])

    def begin(self, attempt):
        """Start an attempt; a back end that is down refuses the connection."""
        if not self.engine.up:
            self.clock.after(0.001, self.finish, attempt, unreachable())
            return
        request = attempt.request
        attempt.started_at = self.clock.now
        attempt.began_version = self.engine.version
        request.notify_begin()
        attempt.stream = Stream(
            request.tokens,
            request.prefix,
            request.trainer,
            lambda segments: self.finish(attempt, self.success(request, segments)),
        )
        self.engine.start(attempt.stream)

    def success(self, request, segments):
        """Return the outcome of a completed stream."""
        return Outcome(
            Verdict.ANSWERED, status=200, segments=segments if request.service == "model" else []
        )

    def finish(self, attempt, outcome):
        """Release the slot, record the latency of an ordinary request and send the outcome."""
        if self.attempts.pop(attempt.id, None) is None:
            return
        now = self.clock.now
        tokens = sum(segment.tokens for segment in outcome.segments)
        self.begin_all(self.admission.release(attempt.id, now, tokens or None))
        ordinary = attempt.request.priority == "ordinary"
        if ordinary and outcome.verdict is Verdict.ANSWERED and not self.fcfs:
            rollouts = self.admission.counts[Priority.ROLLOUT]
            began = attempt.started_at
            if self.world.variant.window_counts_waiting:
                began = attempt.arrived_at
            self.window.record_ordinary_latency(now - began, rollouts, now)
        self.send_outcome(attempt, outcome)

    def send_outcome(self, attempt, outcome):
        """Send an outcome to the gateway, with the current load."""
        running, waiting = self.count_attempts()
        load = running + waiting if self.world.variant.load_counts_waiting else running
        outcome = attrs.evolve(outcome, load=load)
        self.clock.after(self.world.workload.link_delay_s, attempt.reply, outcome)

    def reject_waiting(self, ticket_id, code):
        """Reject a waiting attempt with an error code."""
        attempt = self.attempts.pop(ticket_id, None)
        if attempt is not None:
            self.send_outcome(attempt, Outcome(Verdict.NOT_RUN, code))

    def cancel(self, attempt_id):
        """Stop an attempt whose result is not needed."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None or self.admission.withdraw(attempt_id):
            return
        if attempt.stream is not None:
            self.engine.cancel(attempt.stream)
        self.begin_all(self.admission.release(attempt_id, self.clock.now))

    # Faults

    def crash(self, down_s):
        """Crash the back end; it restarts after `down_s` without state, on weight version 1."""
        running = [item for item in self.attempts.values() if item.stream is not None]
        self.engine.crash()
        for attempt in running:
            self.finish(attempt, Outcome(Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED))
        if not self.is_model:
            self.clock.after(2.0, self.fail_health_check)
        self.clock.after(down_s, self.restart)

    def fail_health_check(self):
        """Mark a plain target as unreachable if it is down at the health check."""
        self.reachable = self.engine.up

    def restart(self):
        """Restart the back end."""
        self.engine.up = True
        self.reachable = self.reachable or not self.is_model
        self.prepared = 1
        if self.is_model:
            self.engine.activate(1)

    # Weights

    def converge(self):
        """Take the next action towards the wanted weight version, periodically."""
        self.clock.after(CONVERGE_INTERVAL_S, self.converge)
        if self.action_pending:
            return
        now = self.clock.now
        action = self.converger.next_action(now)
        if action.kind is ActionKind.WAIT:
            return
        if not self.engine.up:
            self.reachable = False
            self.converger.on_action_result(action, ActionResult(ResultKind.LOST), now)
            return
        self.reachable = True
        if action.kind is ActionKind.READ:
            self.converger.observe(self.engine.version, self.prepared, now)
            return
        self.action_pending = True
        delay_s = PREPARE_DURATION_S if action.kind is ActionKind.PREPARE else SWAP_DURATION_S
        self.clock.after(delay_s, self.finish_action, action)

    def finish_action(self, action):
        """Complete an action; a failed activation leaves the weights unchanged."""
        self.action_pending = False
        now = self.clock.now
        result = ResultKind.OK if self.engine.up else ResultKind.LOST
        if action.kind is ActionKind.ACTIVATE and now < self.swap_fails_until:
            result = ResultKind.FAILED
        if result is ResultKind.OK and action.kind is ActionKind.PREPARE:
            self.prepared = action.version
        if result is ResultKind.OK and action.kind is ActionKind.ACTIVATE:
            self.engine.activate(action.version)
        self.converger.on_action_result(action, ActionResult(result), now)


def unreachable():
    """Return the outcome of a refused connection."""
    return Outcome(Verdict.NOT_RUN, ErrorCode.TARGET_UNREACHABLE)
