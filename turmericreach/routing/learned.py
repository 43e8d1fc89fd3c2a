"""What a gateway has learned of one target: its load view and its speed."""

import attrs

from turmericreach.manifest.schema import ServiceKind
from turmericreach.routing.model import LoadReport, TargetState

__all__ = ["SentAttempt", "TargetRecord"]

STATE_RANK = {
    TargetState.LIVE: 0,
    TargetState.SUSPECT: 1,
    TargetState.LEAVING: 2,
    TargetState.GONE: 3,
}


@attrs.frozen
class SentAttempt:
    """An attempt of this gateway that has not ended.

    Attributes
    ----------
    load_factor : float
        Expected completion time at the time of sending, relative to that of an idle target.
    """

    priority: str
    version: int
    sent_at: float
    load_factor: float


@attrs.define
class TargetRecord:
    """One target as the gateway sees it.

    Attributes
    ----------
    report : LoadReport or None
        Last report; a target without one is not chosen.
    marked, marked_at
        State given by `RoutingTable.mark`, and when.
    load, load_at
        Requests at the target by the freshest report or outcome, and when.
    speed, latency_s
        Learned values of an idle target, 0 if there are none.
    backoff_until : dict of str to float
        Time until which a priority class avoids the target after a refusal for overload.
    """

    spec: object
    kind: ServiceKind
    report: LoadReport | None = None
    marked: TargetState = TargetState.LIVE
    marked_at: float = float("-inf")
    load: int = 0
    load_at: float = float("-inf")
    speed: float = 0.0
    latency_s: float = 0.0
    sent: dict[str, SentAttempt] = attrs.field(factory=dict)
    backoff_until: dict[str, float] = attrs.field(factory=dict)

    @property
    def state(self):
        """The worse of the reported and the marked state, so that neither hides a stop."""
        if self.report is None:
            return TargetState.SUSPECT
        reported = self.report.state
        return reported if STATE_RANK[reported] > STATE_RANK[self.marked] else self.marked

    @property
    def version(self):
        """Weight version of the last report, 0 if there is none."""
        return self.report.version if self.report else 0

    @property
    def slots(self):
        """Slots of the last report, or of the manifest."""
        return max(1, (self.report.slots if self.report else 0) or self.spec.slots)

    def observe(self, report):
        """Take over a report that is not older than the last one."""
        if self.report is not None and report.reported_at < self.report.reported_at:
            return
        self.report = report
        if report.reported_at >= self.load_at:
            self.load = report.running + report.waiting
            self.load_at = report.reported_at
        # A report after the mark proves that the target is back, but it does not end a drain.
        absent = self.marked in (TargetState.SUSPECT, TargetState.GONE)
        if absent and report.reported_at > self.marked_at:
            self.marked = TargetState.LIVE

    def load_view(self):
        """Return the requests assumed at the target now.

        The attempts in flight of this gateway are a lower bound, however old the report is.
        """
        newer = sum(1 for attempt in self.sent.values() if attempt.sent_at > self.load_at)
        return max(self.load + newer, len(self.sent))

    def load_factor(self, priority, policy):
        """Return the expected completion time relative to that of an idle target."""
        load = float(self.load_view())
        slots = self.slots
        if priority == "ordinary" and self.kind is ServiceKind.MODEL and load > slots:
            load = slots + (load - slots) * policy.waiting_weight
        stretch = 1.0 + policy.batch_slowdown * min(1.0, load / slots)
        return stretch + max(0.0, load - slots + 1.0) / slots

    def base_s(self, expected_tokens, policy):
        """Return the expected seconds of a request at the idle target."""
        if expected_tokens > 0:
            return expected_tokens / (self.speed or self.spec.speed or policy.default_speed)
        return self.latency_s or policy.default_latency_s

    def learn(self, attempt, latency_s, tokens, weight):
        """Learn from an answered attempt, corrected by the load that it met."""
        if latency_s <= 0.0:
            return
        base_s = latency_s / attempt.load_factor
        if tokens > 0:
            sample = tokens / base_s
            old = self.speed or self.spec.speed or sample
            self.speed = old + weight * (sample - old)
            return
        old = self.latency_s or base_s
        self.latency_s = old + weight * (base_s - old)
