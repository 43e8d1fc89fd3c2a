"""Decisions about recent requests, kept for ``explain``."""

from collections import OrderedDict, deque

import attrs

from turmericreach.telemetry.redaction import redact

__all__ = ["Decision", "DecisionTrace"]

MAX_REQUESTS = 4096
# A request with more decisions than this keeps the latest ones.
MAX_DECISIONS = 64
MAX_EVIDENCE = 500


@attrs.frozen
class Decision:
    """One decision about a request.

    Attributes
    ----------
    at : float
        Unix time in seconds, so that traces of several daemons can be merged.
    daemon : str
        Who decided.
    request_id, attempt_id : str
        What it is about; `attempt_id` may be empty.
    what : str
        The decision.
    evidence : str
        The facts that it rests on.
    """

    at: float
    daemon: str
    request_id: str
    attempt_id: str
    what: str
    evidence: str


class DecisionTrace:
    """Ring buffer over requests; the request that was first seen longest ago goes first."""

    def __init__(self, max_requests: int = MAX_REQUESTS):
        self.max_requests = max_requests
        self.requests: OrderedDict[str, deque[Decision]] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Keep a decision."""
        decisions = self.requests.get(decision.request_id)
        if decisions is None:
            if len(self.requests) >= self.max_requests:
                self.requests.popitem(last=False)
            decisions = self.requests[decision.request_id] = deque(maxlen=MAX_DECISIONS)
        evidence = redact(decision.evidence[:MAX_EVIDENCE])
        decisions.append(attrs.evolve(decision, what=redact(decision.what), evidence=evidence))

    def explain(self, wanted_id: str) -> list[Decision]:
        """Return the decisions about a request or an attempt, oldest first."""
        if wanted_id in self.requests:
            return list(self.requests[wanted_id])
        return [
            decision
            for decisions in self.requests.values()
            for decision in decisions
            if decision.attempt_id == wanted_id
        ]
