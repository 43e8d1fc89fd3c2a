"""State of one target in a gateway: reported state, estimated load and measured speed."""

import attrs

from turmericreach.manifest.schema import ServiceKind
from turmericreach.routing.model import LoadReport, TargetState

__all__ = ["SentAttempt", "TargetRecord"]

STATE_SEVERITY = {
    TargetState.LIVE: 0,
    TargetState.SUSPECT: 1,
    TargetState.LEAVING: 2,
    TargetState.GONE: 3,
}


@attrs.frozen
class SentAttempt:
    """An attempt of this gateway that is in flight.

    Attributes
    ----------
    priority : str
        Priority class of the request.
    version : int
        Weight version of the target when the attempt was sent.
    sent_at : float
        Time in seconds.
    load_factor : float
        Expected completion time when the attempt was sent, relative to that of an idle target.
    """

    priority: str
    version: int
    sent_at: float
    load_factor: float


@attrs.define
class TargetRecord:
    """State of one target in the routing table.

    Attributes
    ----------
    spec : TargetSpec
        Entry of the target in the manifest.
    kind : ServiceKind
        Kind of the target's service.
    report : LoadReport or None
        Last report; a target without one is not chosen.
    assigned_state : TargetState
        State set by `RoutingTable.set_state`.
    assigned_at : float
        Time in seconds at which it was set.
    load : int
        Running and waiting requests at the target by the latest report or outcome.
    load_at : float
        Time in seconds of that report or outcome.
    speed : float
        Moving average of the tokens per second of one stream at the idle target, 0 if unknown.
    latency_s : float
        Moving average of the latency in seconds of requests without tokens at the idle target,
        0 if unknown.
    sent : dict of str to SentAttempt
        Attempts of this gateway in flight, by attempt id.
    backoff_until : dict of str to float
        Time in seconds until which a priority class avoids the target after it rejected a request
        because of overload.
    """

    spec: object
    kind: ServiceKind
    report: LoadReport | None = None
    assigned_state: TargetState = TargetState.LIVE
    assigned_at: float = float("-inf")
    load: int = 0
    load_at: float = float("-inf")
    speed: float = 0.0
    latency_s: float = 0.0
    sent: dict[str, SentAttempt] = attrs.field(factory=dict)
    backoff_until: dict[str, float] = attrs.field(factory=dict)

    @property
    def state(self):
        """The more severe of the reported and the assigned state, so that neither hides a stop."""
        if self.report is None:
            return TargetState.SUSPECT
        reported = self.report.state
        return (
            reported
            if STATE_SEVERITY[reported] > STATE_SEVERITY[self.assigned_state]
            else self.assigned_state
        )

    @property
    def version(self):
        """Weight version of the last report, 0 if there is none."""
        return self.report.version if self.report else 0

    @property
    def slots(self):
        """Slots by the last report, or else by the manifest; at least 1."""
        return max(1, (self.report.slots if self.report else 0) or self.spec.slots)

    def apply_report(self, report):
        """Apply a report unless it is older than the last one."""
        if self.report is not None and report.reported_at < self.report.reported_at:
            return
        self.report = report
        if report.reported_at >= self.load_at:
            self.load = report.running + report.waiting
            self.load_at = report.reported_at
        # A report newer than the assigned state proves that the target is reachable again. It does
        # not end a drain.
        unreachable = self.assigned_state in (TargetState.SUSPECT, TargetState.GONE)
        if unreachable and report.reported_at > self.assigned_at:
            self.assigned_state = TargetState.LIVE

    def estimated_load(self):
        """Return the estimated number of running and waiting requests at the target.

        The attempts of this gateway sent since the last known load are added to it. All its
        attempts in flight are a lower bound, however old that load is.
        """
        sent_since = sum(1 for attempt in self.sent.values() if attempt.sent_at > self.load_at)
        return max(self.load + sent_since, len(self.sent))

    def load_factor(self, priority, policy):
        """Return the expected completion time of a new request relative to that at an idle target.

        Streams of a full batch are slower by `RoutingPolicy.batch_slowdown`, and a request that
        finds all slots in use waits in proportion to the queue. Ordinary requests overtake waiting
        rollouts at a model target, so the queue counts for them with `waiting_weight` only.
        """
        load = float(self.estimated_load())
        slots = self.slots
        if priority == "ordinary" and self.kind is ServiceKind.MODEL and load > slots:
            load = slots + (load - slots) * policy.waiting_weight
        slowdown = 1.0 + policy.batch_slowdown * min(1.0, load / slots)
        return slowdown + max(0.0, load - slots + 1.0) / slots

    def idle_latency_s(self, expected_tokens, policy):
        """Return the expected latency in seconds of a request at the idle target."""
        if expected_tokens > 0:
            return expected_tokens / (self.speed or self.spec.speed or policy.default_speed)
        return self.latency_s or policy.default_latency_s

    def record_latency(self, attempt, latency_s, tokens, weight):
        """Update the moving averages of speed or latency from a successful attempt.

        The latency is divided by the load factor at the time of sending to estimate that of the
        idle target.

        Parameters
        ----------
        attempt : SentAttempt
        latency_s : float
            Measured latency in seconds; a value that is not positive is ignored.
        tokens : int
            Generated tokens, 0 for requests without tokens.
        weight : float
            Weight of the new sample.
        """
        if latency_s <= 0.0:
            return
        idle_s = latency_s / attempt.load_factor
        if tokens > 0:
            sample = tokens / idle_s
            old = self.speed or self.spec.speed or sample
            self.speed = old + weight * (sample - old)
            return
        old = self.latency_s or idle_s
        self.latency_s = old + weight * (idle_s - old)
