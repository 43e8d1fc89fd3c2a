"""Permits for requests to targets, at the rates that the targets accept."""

import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

__all__ = ["Denial", "Permit", "PermitSource", "RateArbiter", "RateBucket", "permit_interval_s"]

# Unused permits of this many seconds are kept, and this many more, since requests arrive unevenly.
# In any 4 s a target thus gets at most 5 s of its limit and these, below 1.5 times the limit + 5.
BURST_S = 1.0
BURST_REQUESTS = 3
# Targets with a lower limit still get requests at this rate, since only a response tells that the
# limit has ended.
MIN_RATE_PER_S = 0.25
MAX_INTERVAL_S = 1.0 / MIN_RATE_PER_S


@attrs.frozen
class Permit:
    """Permission to send one request.

    Attributes
    ----------
    target : str
        Id of the target.
    delay_s : float
        Seconds to wait before the request is sent.
    """

    target: str
    delay_s: float


@attrs.frozen
class Denial:
    """Rejection of a request for a permit.

    Attributes
    ----------
    retry_s : float
        Seconds after which a permit may be available.
    """

    retry_s: float


def permit_interval_s(per_s: float) -> float:
    """Return the seconds between two permits at a limit in requests a second."""
    return 1.0 / max(per_s, MIN_RATE_PER_S)


class PermitSource(Protocol):
    """Interface through which a process obtains permits."""

    async def acquire(
        self, targets: Sequence[str], priority: int, max_delay_s: float
    ) -> Permit | Denial:
        """Request a permit for one of several targets, the preferred ones first."""

    def denied_targets(self, max_delay_s: float, now: float) -> set[str]:
        """Return the targets for which no permit is available within a number of seconds."""

    def processes(self) -> int:
        """Return the number of processes that share the limits."""


class RateBucket:
    """Permits for one target, spaced at the rate of its limit.

    Attributes
    ----------
    next_at : float
        Time in seconds at which the next permit is due.
    urgent_until : dict of int to float
        Time in seconds until which a request of a priority waits for the next permit, by priority.
    """

    def __init__(self, next_at: float):
        self.next_at = next_at
        self.urgent_until: dict[int, float] = {}

    def earliest_at(self, priority: int, now: float) -> float:
        """Return the time in seconds at which a request of a priority may be sent.

        A request that was denied a permit comes again when the next one is due. Requests of a lower
        priority leave that permit to it.
        """
        earliest = max(self.next_at, now)
        for other, until in self.urgent_until.items():
            if other < priority:
                earliest = max(earliest, until)
        return earliest

    def take(self, interval_s: float, burst_s: float, now: float) -> None:
        """Count one permit; the next one follows after an interval in seconds.

        Unused permits of the last `burst_s` seconds are kept.
        """
        self.next_at = max(self.next_at, now - burst_s) + interval_s

    def record_denial(self, interval_s: float, priority: int, now: float) -> None:
        """Record that a request of a priority needs the next permit."""
        self.urgent_until[priority] = max(self.next_at, now) + min(interval_s, BURST_S)


class RateArbiter:
    """Divides the limits of targets among all requests that it is asked for.

    Load pattern: many processes send to the same targets, each only a few requests a second, and a
    target accepts fewer than there are processes. Fixed shares would leave most of the limit unused
    at processes that have nothing to send. So one arbiter decides request by request, and what it
    cannot permit soon is denied at once with the time of the next permit.

    Parameters
    ----------
    share : float
        Fraction of each limit that this arbiter grants.
    rng : random.Random or None
        If given, the first permit of each target is due at a random time within one interval, so
        that arbiters that start together do not grant together.

    Attributes
    ----------
    buckets : dict of str to RateBucket
        Permits by target id.
    """

    def __init__(self, share: float = 1.0, rng: random.Random | None = None):
        self.share = share
        self.rng = rng
        self.buckets: dict[str, RateBucket] = {}

    def wait_s(self, target: str, per_s: float, priority: int, now: float) -> float:
        """Return the seconds until a request of a priority would get a permit for a target."""
        return self.bucket(target, per_s, now).earliest_at(priority, now) - now

    def request(
        self, limits: Mapping[str, float], priority: int, max_delay_s: float, now: float
    ) -> Permit | Denial:
        """Return a permit for one of several targets, or a denial.

        Parameters
        ----------
        limits : dict of str to float
            Limits in requests a second by target id, the preferred targets first.
        priority : int
            Priority of the request; 0 is the highest.
        max_delay_s : float
            Longest time in seconds that the request can wait.
        now : float
            Time in seconds.
        """
        best, best_at = "", float("inf")
        for target, per_s in limits.items():
            earliest = self.bucket(target, per_s, now).earliest_at(priority, now)
            if earliest < best_at:
                best, best_at = target, earliest
        if best and best_at - now <= max_delay_s:
            interval_s = self.interval_s(limits[best])
            # Arbiters that grant a share each keep nothing beyond it: together they are many.
            extra = BURST_REQUESTS if self.share == 1.0 else 0
            burst_s = BURST_S + extra * min(interval_s, MAX_INTERVAL_S)
            self.buckets[best].take(interval_s, burst_s, now)
            return Permit(best, best_at - now)
        for target, per_s in limits.items():
            self.buckets[target].record_denial(self.interval_s(per_s), priority, now)
        return Denial(best_at - now - max_delay_s)

    def interval_s(self, per_s: float) -> float:
        """Return the seconds between two permits of this arbiter at a limit."""
        return permit_interval_s(per_s) / self.share

    def bucket(self, target: str, per_s: float, now: float) -> RateBucket:
        """Return the permits of a target."""
        if target not in self.buckets:
            delay_s = 0.0
            if self.rng is not None:
                delay_s = self.rng.random() * self.interval_s(per_s)
            self.buckets[target] = RateBucket(now + delay_s)
        return self.buckets[target]

    def remove(self, target: str) -> None:
        """Remove a target that has left or restarted."""
        self.buckets.pop(target, None)
