"""Estimate of true time from the wall clocks of several processes."""

from statistics import median

__all__ = ["TrueTime"]

# A larger change of the wall clock against the monotonic one, between two samples, is a jump. NTP
# corrects gradually by 0.5 ms a second.
JUMP_S = 0.05
# A peer's clock counts for this long after its last sample; clocks drift by milliseconds meanwhile.
KEPT_S = 60.0
# The median of hundreds of clocks is computed this often; each ping and request needs the time.
MEDIAN_INTERVAL_S = 1.0


class TrueTime:
    """Follows the wall clock of this process without its jumps, and those of its peers.

    Load pattern: the wall clocks of some hosts differ by some milliseconds, one jumps by seconds,
    and one was wrong when its process started. The median is the time of the other ones.

    Attributes
    ----------
    own_offset_s : float or None
        Own wall clock minus the monotonic clock, without jumps since the first sample.
    peer_offsets : dict of str to tuple of float
        Wall clock of each peer minus the own monotonic clock, and the monotonic time of the sample.
    median_offset_s, median_at : float
        Last median of all offsets, and the monotonic time at which it was computed.
    """

    def __init__(self):
        self.own_offset_s: float | None = None
        self.last_offset_s = 0.0
        self.peer_offsets: dict[str, tuple[float, float]] = {}
        self.median_offset_s = 0.0
        self.median_at = float("-inf")

    def record_own(self, wall: float, now: float) -> float:
        """Record the own wall clock, and return it without its jumps, in seconds since 1970."""
        offset_s = wall - now
        if self.own_offset_s is None:
            self.own_offset_s = offset_s
        elif abs(offset_s - self.last_offset_s) < JUMP_S:
            self.own_offset_s += offset_s - self.last_offset_s
        self.last_offset_s = offset_s
        return now + self.own_offset_s

    def record_peer(self, host: str, wall: float, now: float) -> None:
        """Record what the clock of a peer showed at a monotonic time of this process."""
        self.peer_offsets[host] = (wall - now, now)

    def at(self, now: float) -> float:
        """Return the true time at a monotonic time, in seconds since 1970.

        A sample of the own clock must precede the first call.
        """
        if now - self.median_at >= MEDIAN_INTERVAL_S:
            offsets = [self.own_offset_s]
            for offset_s, sampled_at in self.peer_offsets.values():
                if now - sampled_at < KEPT_S:
                    offsets.append(offset_s)
            self.median_offset_s = median(offsets)
            self.median_at = now
        return now + self.median_offset_s
