"""In-memory record of the decisions about recent requests, shown by ``explain``."""

from collections import OrderedDict, deque

import attrs

from turmericreach.telemetry.redaction import redact

__all__ = ["Decision", "DecisionTrace"]

MAX_REQUESTS = 4096
# Per request; the oldest decisions are removed first.
MAX_DECISIONS = 64
MAX_EVIDENCE_CHARS = 500


@attrs.frozen
class Decision:
    """One decision about a request.

    Attributes
    ----------
    at : float
        Unix time in seconds, so that traces of several daemons can be merged.
    daemon : str
        Name of the daemon that decided.
    request_id, attempt_id : str
        Request and attempt that the decision is about. `attempt_id` is empty for a decision about
        the request as a whole.
    what : str
        The decision.
    evidence : str
        The facts that the decision is based on.
    """

    at: float
    daemon: str
    request_id: str
    attempt_id: str
    what: str
    evidence: str


class DecisionTrace:
    """Bounded store of decisions by request; evicts the request that was recorded first.

    Parameters
    ----------
    max_requests : int
        Number of requests to keep.
    """

    def __init__(self, max_requests: int = MAX_REQUESTS):
        self.max_requests = max_requests
        self.requests: OrderedDict[str, deque[Decision]] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Record a decision with secrets redacted and its evidence truncated."""
        decisions = self.requests.get(decision.request_id)
        if decisions is None:
            if len(self.requests) >= self.max_requests:
                self.requests.popitem(last=False)
            decisions = self.requests[decision.request_id] = deque(maxlen=MAX_DECISIONS)
        evidence = redact(decision.evidence[:MAX_EVIDENCE_CHARS])
        decisions.append(attrs.evolve(decision, what=redact(decision.what), evidence=evidence))

    def explain(self, subject_id: str) -> list[Decision]:
        """Return the decisions about a request or an attempt, oldest first."""
        if subject_id in self.requests:
            return list(self.requests[subject_id])
        return [
            decision
            for decisions in self.requests.values()
            for decision in decisions
            if decision.attempt_id == subject_id
        ]
