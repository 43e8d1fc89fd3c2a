"""Rate limit on the calls of one process."""

import asyncio

from turmericreach.objectstore.errors import RateLimited

__all__ = ["CallBudget"]


class CallBudget:
    """Token bucket; waiting calls are served in the order of their arrival.

    Parameters
    ----------
    calls_per_s : float
        Rate at which tokens are added.
    burst : int
        Calls that may start at once after a pause.
    max_wait_s : float
        Longest time that a call waits for its token, in seconds.
    """

    def __init__(self, calls_per_s: float, burst: int = 1, max_wait_s: float = 1.0):
        self.interval_s = 1.0 / calls_per_s
        self.burst = burst
        self.max_wait_s = max_wait_s
        self.next_free_at = 0.0

    def reserve(self, now: float) -> float:
        """Take a token and return the seconds to wait before using it.

        Raises
        ------
        RateLimited
            If the wait would exceed `max_wait_s`; no token is taken.
        """
        start = max(self.next_free_at, now - (self.burst - 1) * self.interval_s)
        wait_s = max(0.0, start - now)
        if wait_s > self.max_wait_s:
            raise RateLimited(wait_s - self.max_wait_s)
        self.next_free_at = start + self.interval_s
        return wait_s

    async def acquire(self) -> None:
        """Wait for a token."""
        wait_s = self.reserve(asyncio.get_running_loop().time())
        if wait_s > 0:
            await asyncio.sleep(wait_s)
