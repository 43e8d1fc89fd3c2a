"""Decides which requests a process that is about to stop still begins."""

from collections import deque

import attrs

__all__ = ["RecentDurations", "ShutdownTimes", "ShutdownWork", "needed_s"]

# Time until callers stop sending requests: the ready check is polled once a second, and two
# failures take a process out of rotation. A short grace period leaves less time.
LEAVE_ROTATION_S = 2.6
LEAVE_ROTATION_SHARE = 0.5
# Reserved for the last responses and for closing before the process is killed.
STOP_MARGIN_S = 1.0
STOP_MARGIN_SHARE = 0.125
# Part of the margin in which the last responses are sent.
LAST_RESPONSES_SHARE = 0.5
# A request may take this many times as long as the longest recent one of its route.
DURATION_FACTOR = 3.0
# Durations kept for each route.
MAX_DURATIONS = 64
# Assumed for a route without recent requests, while callers still send most requests here.
DEFAULT_DURATION_S = 0.5


@attrs.frozen
class ShutdownTimes:
    """Times of a stop.

    Attributes
    ----------
    began : float
        Loop time in seconds of the signal.
    rotation_at : float
        Loop time from which callers use this process only if they have no better choice.
    cutoff_at : float
        Loop time at which each request that is in progress gets its response.
    close_at : float
        Loop time at which the connections that are left are closed.
    end_at : float
        Loop time at which the process is killed.
    """

    began: float
    rotation_at: float
    cutoff_at: float
    close_at: float
    end_at: float

    @classmethod
    def of_grace_period(cls, began: float, grace_s: float) -> "ShutdownTimes":
        """Return the times of a stop with a grace period in seconds."""
        end_at = began + grace_s
        margin_s = min(STOP_MARGIN_S, STOP_MARGIN_SHARE * grace_s)
        return cls(
            began=began,
            rotation_at=began + min(LEAVE_ROTATION_S, LEAVE_ROTATION_SHARE * grace_s),
            cutoff_at=end_at - margin_s,
            close_at=end_at - (1 - LAST_RESPONSES_SHARE) * margin_s,
            end_at=end_at,
        )


@attrs.frozen
class ShutdownWork:
    """A request that arrives while the process is about to stop.

    Attributes
    ----------
    repeatable : bool
        Whether the caller may repeat the request after it was broken off.
    remaining_s : float
        Time until the caller no longer waits.
    longest_s : float or None
        Longest duration of recent requests of its route, None if there were none.
    in_rotation : bool
        Whether most callers still choose this process as usual.
    served_elsewhere : bool
        Whether another process takes requests.
    """

    repeatable: bool
    remaining_s: float
    longest_s: float | None
    in_rotation: bool
    served_elsewhere: bool


def needed_s(work: ShutdownWork) -> float:
    """Return the seconds that must be left until the cutoff for a request to be begun.

    A request that is broken off leaves its caller in doubt, so one that may not be repeated gets
    all the time that its caller gives it if another process can serve it instead. Where none can,
    it is better served than rejected as long as requests like it end in time.
    """
    if not work.in_rotation and not work.repeatable and work.served_elsewhere:
        return work.remaining_s
    if work.longest_s is not None:
        return min(work.remaining_s, DURATION_FACTOR * work.longest_s)
    if work.in_rotation:
        return min(work.remaining_s, DEFAULT_DURATION_S)
    return work.remaining_s


class RecentDurations:
    """Durations of the most recent requests of each route, in seconds."""

    def __init__(self):
        self.routes: dict[str, deque[float]] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record the duration of a request that was served."""
        durations = self.routes.get(route)
        if durations is None:
            durations = self.routes[route] = deque(maxlen=MAX_DURATIONS)
        durations.append(seconds)

    def longest_s(self, route: str) -> float | None:
        """Return the longest duration of a route, None if none is known."""
        return max(self.routes.get(route, ()), default=None)
