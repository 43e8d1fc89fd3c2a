"""A bound on the calls of one process a second."""

__all__ = ["CallBudget"]


class CallBudget:
    """Token bucket that holds one second's worth of calls.

    Parameters
    ----------
    per_s : float
        Calls a second.
    """

    def __init__(self, per_s: float):
        self.set_rate(per_s)
        self.tokens = self.per_s
        self.updated_at = 0.0

    def set_rate(self, per_s: float) -> None:
        """Set the calls a second; tokens beyond a second's worth are lost with the next call."""
        self.per_s = max(per_s, 1.0)

    def delay_s(self, now: float) -> float:
        """Take a token and return the seconds to wait before the call."""
        elapsed = max(now - self.updated_at, 0.0)
        self.tokens = min(self.tokens + elapsed * self.per_s, self.per_s)
        self.updated_at = now
        self.tokens -= 1.0
        if self.tokens >= 0:
            return 0.0
        return -self.tokens / self.per_s
