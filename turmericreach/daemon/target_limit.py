"""The limit on the requests of a target, as its agent keeps to it."""

import asyncio

from turmericreach.limits import Priority
from turmericreach.sharing import LimitTable, Permit, RateArbiter
from turmericreach.telemetry import events, log_event

__all__ = ["TargetLimit"]

# Order in which attempts get permits; 0 is the highest priority.
PERMIT_PRIORITY = {Priority.ORDINARY: 0, Priority.SCORING: 1, Priority.ROLLOUT: 2}


class TargetLimit:
    """Permits within the limit in requests a second that a target has named.

    All requests to the target pass through this agent, so its permits are those of all hosts.

    Attributes
    ----------
    target : str
        Name of the target.
    limits : LimitTable
        The limit, if there is one.
    arbiter : RateArbiter
        Grants the permits.
    """

    def __init__(self, target: str):
        self.target = target
        self.limits = LimitTable()
        self.arbiter = RateArbiter()

    def record(self, per_s: float | None, sent_at: float) -> None:
        """Record the limit that a response of the target names, None if it names none."""
        now = asyncio.get_running_loop().time()
        if self.limits.record(self.target, per_s, sent_at, now):
            log_event(events.TARGET_LIMIT_CHANGED, target=self.target, limit=per_s)

    def wait_s(self, priority: Priority, now: float) -> float:
        """Return the seconds until the limit permits an attempt, 0 if it does now."""
        per_s = self.limits.per_s(self.target)
        if per_s is None:
            return 0.0
        return self.arbiter.wait_s(self.target, per_s, PERMIT_PRIORITY[priority], now)

    def take_permit(self, priority: Priority, now: float) -> float | None:
        """Use a permit; without one, return the seconds until the next, else None."""
        per_s = self.limits.per_s(self.target)
        if per_s is None:
            return None
        limits = {self.target: per_s}
        result = self.arbiter.request(limits, PERMIT_PRIORITY[priority], 0.0, now)
        return None if isinstance(result, Permit) else result.retry_s
