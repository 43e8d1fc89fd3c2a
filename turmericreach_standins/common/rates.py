"""Token-bucket rate limit."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Limits calls to `rate` a second, with bursts of up to `burst` calls.

    Parameters
    ----------
    rate : float
        Calls a second; no limit if 0 or less.
    burst : float, optional
        Capacity of the bucket in calls; `rate` by default, and at least 1.
    """

    def __init__(self, rate, burst=None):
        self.rate = rate
        self.burst = max(1.0, rate if burst is None else burst)
        self.level = self.burst
        self.refilled_at = None

    def try_acquire(self, now):
        """Acquire one token if one is available.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            0 if the call is admitted, else the seconds until a token is available.
        """
        if self.rate <= 0:
            return 0.0
        if self.refilled_at is not None:
            self.level = min(self.burst, self.level + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / self.rate
