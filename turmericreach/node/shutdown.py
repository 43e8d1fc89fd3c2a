"""What a process that is about to stop still begins, and when it answers what is in progress."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

from turmericreach.admission import RecentDurations, ShutdownTimes, ShutdownWork, needed_s
from turmericreach.node.exchange import Exchange
from turmericreach.placement import STARTING_RETRY_S

__all__ = ["Shutdown", "cancel_and_wait"]

# Time that a call on a lot usually takes; a longer one gets its response at the cutoff.
LOT_CALL_S = 0.3
# Pause until a rejected request may come again where another process takes it.
ELSEWHERE_RETRY_S = 0.0


class Shutdown:
    """State of the stop of this process.

    Parameters
    ----------
    served_elsewhere : callable
        Returns whether another process takes requests of callers.

    Attributes
    ----------
    times : ShutdownTimes or None
        Times of the stop, None before it.
    durations : RecentDurations
        Durations of the requests that were served.
    cutoff : asyncio.Future or None
        Done when all requests in progress must be answered; None until the first request.
    """

    def __init__(self, served_elsewhere: Callable[[], bool]):
        self.served_elsewhere = served_elsewhere
        self.times: ShutdownTimes | None = None
        self.durations = RecentDurations()
        self.cutoff: asyncio.Future | None = None

    def begin(self, grace_s: float) -> None:
        """Begin the stop at its first signal; later signals and settings change nothing."""
        if self.times is not None:
            return
        now = asyncio.get_running_loop().time()
        self.times = ShutdownTimes.of_grace_period(now, grace_s)

    def cut_off(self) -> None:
        """Let all requests in progress be answered now."""
        cutoff = self.cutoff_future()
        if not cutoff.done():
            cutoff.set_result(None)

    def cutoff_future(self) -> asyncio.Future:
        """Return the future that all requests in progress wait for."""
        if self.cutoff is None:
            self.cutoff = asyncio.get_running_loop().create_future()
        return self.cutoff

    def is_cut_off(self) -> bool:
        """Return whether all requests must be answered now."""
        return self.cutoff is not None and self.cutoff.done()

    def remaining_s(self) -> float:
        """Return the seconds until the cutoff, infinite before the stop."""
        if self.times is None:
            return float("inf")
        if self.is_cut_off():
            return 0.0
        return self.times.cutoff_at - asyncio.get_running_loop().time()

    def may_begin(self, exchange: Exchange) -> bool:
        """Return whether a request is likely to end before the process does."""
        if self.times is None:
            return True
        now = asyncio.get_running_loop().time()
        work = ShutdownWork(
            repeatable=exchange.may_repeat(),
            remaining_s=exchange.remaining_s(),
            longest_s=self.durations.longest_s(exchange.route.name),
            in_rotation=now < self.times.rotation_at,
            served_elsewhere=self.served_elsewhere(),
        )
        return needed_s(work) < self.remaining_s()

    def retry_s(self) -> float:
        """Return the seconds after which a rejected request may come again."""
        if self.times is None or self.served_elsewhere():
            return ELSEWHERE_RETRY_S
        left_s = self.times.end_at - asyncio.get_running_loop().time()
        return max(left_s, 0.0) + STARTING_RETRY_S

    def may_begin_lot_call(self) -> bool:
        """Return whether a call on a lot is likely to end before the process does."""
        return self.remaining_s() > LOT_CALL_S

    async def complete(self, work: Coroutine[Any, Any, None]) -> bool:
        """Run the handling of a request, and cancel it at the cutoff; return whether it ended."""
        task = asyncio.get_running_loop().create_task(work)
        try:
            await asyncio.wait({task, self.cutoff_future()}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await cancel_and_wait(task)
        if task.cancelled():
            return False
        task.result()
        return True


async def cancel_and_wait(task: asyncio.Task) -> None:
    """Cancel a task that has not ended, and wait until it has."""
    if task.done():
        return
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
