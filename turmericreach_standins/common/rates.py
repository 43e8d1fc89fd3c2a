"""Token-bucket rate limit."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Admits `rate` calls a second with bursts of up to `burst` calls.

    Parameters
    ----------
    rate : float
        Calls a second; 0 or less means no limit.
    burst : float, optional
        Size of the bucket in calls; one second's worth by default, and at least one.
    """

    def __init__(self, rate, burst=None):
        self.rate = rate
        self.burst = max(1.0, rate if burst is None else burst)
        self.level = self.burst
        self.filled_at = None

    def wait_s(self, now):
        """Take one token if there is one.

        Returns
        -------
        float
            0 when the call is admitted, else the seconds until a token is free.
        """
        if self.rate <= 0:
            return 0.0
        if self.filled_at is not None:
            self.level = min(self.burst, self.level + (now - self.filled_at) * self.rate)
        self.filled_at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / self.rate
