"""Limit of the rollouts in flight, steered by the latency of ordinary requests."""

import collections
import math

import attrs

__all__ = ["RolloutWindow", "WindowPolicy"]

ROUNDING = 1e-9
# A large engine grows by several slots at once, or it would take minutes to fill.
SLOTS_PER_STEP = 32


@attrs.frozen
class WindowPolicy:
    """Constants of the steering.

    Attributes
    ----------
    slow_ratio : float
        Ratio of the p99 latency to that without rollouts above which the limit shrinks.
    calm_ratio : float
        Ratio up to which it grows; between the two ratios it stays, so that it does not swing.
    decrease : float
        Factor of one reduction.
    window_s : float
        Seconds of ordinary requests that count.
    hold_s : float
        Seconds after a reduction whose latencies do not count, because it has yet to take effect.
    recover_s : float
        Seconds after a reduction before the limit grows.
    increase_s : float
        Shortest time in seconds between two growths.
    regrow_s : float
        The same after a reduction, while ordinary requests are measured. Growing fast back into
        the limit that was too high would make ordinary requests slow again and again.
    min_samples : int
        Requests without rollouts that make up a baseline.
    baseline_samples, baseline_ttl_s
        Number and age of the samples of the baseline.
    """

    slow_ratio: float = 1.3
    calm_ratio: float = 1.15
    decrease: float = 0.8
    window_s: float = 20.0
    hold_s: float = 3.0
    recover_s: float = 20.0
    increase_s: float = 1.0
    regrow_s: float = 8.0
    min_samples: int = 20
    baseline_samples: int = 512
    baseline_ttl_s: float = 900.0


class RolloutWindow:
    """Additive increase and multiplicative decrease of the rollout limit of one target.

    The limit starts at its floor, where the first latencies are learned almost without rollouts.
    At the floor they go on being learned and take over when the samples without rollouts are too
    old, so that a target that has become slower for another reason leaves the floor again.

    Parameters
    ----------
    slots : int
    policy : Policy
        Its `rollout_floor_share` gives the floor.
    now : float
        Seconds.
    """

    def __init__(self, slots, policy, now=0.0, steering=None):
        self.slots = slots
        self.floor_share = policy.rollout_floor_share
        self.steering = steering or WindowPolicy()
        self.limit = self.floor
        self.recent = collections.deque(maxlen=2048)
        self.idle = collections.deque(maxlen=self.steering.baseline_samples)
        self.near_idle = collections.deque(maxlen=self.steering.baseline_samples)
        self.reduced_at = -math.inf
        self.grown_at = now

    @property
    def floor(self):
        """Rollouts that may always run."""
        return math.ceil(self.slots * self.floor_share - ROUNDING)

    def record_ordinary_latency(self, latency_s, rollouts, now):
        """Note an answered ordinary request and the rollouts that ran beside it."""
        # Until the hold is over, rollouts beyond the new limit still run and slow requests down.
        if now >= self.reduced_at + self.steering.hold_s:
            self.recent.append((now, latency_s, rollouts))
        if rollouts == 0:
            self.idle.append((now, latency_s))
        if rollouts <= self.floor:
            self.near_idle.append((now, latency_s))

    def resize(self, slots):
        """Set the number of slots."""
        self.slots = slots
        self.limit = max(self.floor, min(self.limit, slots))

    def update(self, now):
        """Adjust the limit; to be called about once a second.

        Returns
        -------
        int
        """
        steering = self.steering
        while self.recent and self.recent[0][0] <= now - steering.window_s:
            self.recent.popleft()
        baseline_s = self.baseline_s(now)
        if self.exceeds(steering.slow_ratio, baseline_s):
            self.reduce(now)
            self.grown_at = now
            return self.limit
        if now - self.reduced_at < steering.recover_s:
            self.grown_at = now
            return self.limit
        if self.exceeds(steering.calm_ratio, baseline_s):
            self.grown_at = now
            return self.limit
        self.grow(now)
        return self.limit

    def reduce(self, now):
        """Shrink the limit from what is in use, and wait for new samples."""
        used = max(rollouts for _, _, rollouts in self.recent)
        self.limit = max(self.floor, int(min(self.limit, used) * self.steering.decrease))
        self.reduced_at = now
        # The same slow requests must not reduce the limit a second time.
        self.recent.clear()

    def grow(self, now):
        """Add a step, also after a long pause, in which nothing was measured."""
        interval_s = self.steering.increase_s
        if self.recent and self.reduced_at > -math.inf:
            interval_s = self.steering.regrow_s
        if now - self.grown_at < interval_s - ROUNDING:
            return
        self.limit = min(self.slots, self.limit + max(1, self.slots // SLOTS_PER_STEP))
        self.grown_at = now

    def exceeds(self, ratio, baseline_s):
        """Return whether the p99 of requests beside rollouts is above a multiple of the baseline.

        In a small sample a single slow request is no evidence, so at least two must be slow.
        """
        if baseline_s is None:
            return False
        beside = [latency_s for _, latency_s, rollouts in self.recent if rollouts > 0]
        slow = sum(1 for latency_s in beside if latency_s > ratio * baseline_s)
        return slow > max(1, len(beside) // 100)

    def baseline_s(self, now):
        """Return the p99 latency without rollouts, or else at the floor, or None if unknown."""
        for samples in (self.idle, self.near_idle):
            while samples and samples[0][0] < now - self.steering.baseline_ttl_s:
                samples.popleft()
        for samples in (self.idle, self.near_idle):
            if len(samples) < self.steering.min_samples:
                continue
            ordered = sorted(latency_s for _, latency_s in samples)
            return ordered[math.ceil(len(ordered) * 0.99) - 1]
        return None
