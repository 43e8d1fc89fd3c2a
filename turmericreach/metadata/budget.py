"""Rate limit for the calls that one process makes."""

__all__ = ["CallBudget"]


class CallBudget:
    """Token bucket with a capacity of one second's worth of calls.

    Parameters
    ----------
    per_s : float
        Calls per second; at least 1.

    Attributes
    ----------
    tokens : float
        Calls that may be made at once; negative while callers wait for reserved tokens.
    updated_at : float
        Loop time at which `tokens` was last updated.
    """

    def __init__(self, per_s: float):
        self.set_rate(per_s)
        self.tokens = self.per_s
        self.updated_at = 0.0

    def set_rate(self, per_s: float) -> None:
        """Set the calls per second; the next call caps the tokens at the new capacity."""
        self.per_s = max(per_s, 1.0)

    def reserve(self, now: float) -> float:
        """Reserve a token and return the seconds to wait before making the call."""
        elapsed = max(now - self.updated_at, 0.0)
        self.tokens = min(self.tokens + elapsed * self.per_s, self.per_s)
        self.updated_at = now
        self.tokens -= 1.0
        if self.tokens >= 0:
            return 0.0
        return -self.tokens / self.per_s
