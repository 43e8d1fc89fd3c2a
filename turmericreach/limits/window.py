"""Adaptive limit of running rollouts, controlled by the latency of ordinary requests."""

import collections
import math

import attrs

__all__ = ["RolloutWindow", "WindowPolicy"]

ROUNDING_TOLERANCE = 1e-9
# The limit of a large engine grows by several slots at a time. One slot at a time would take
# minutes to fill the engine.
SLOTS_PER_STEP = 32


@attrs.frozen
class WindowPolicy:
    """Parameters of the control of the rollout limit.

    Attributes
    ----------
    slow_ratio : float
        Ratio of the p99 latency of ordinary requests to that without rollouts above which the
        limit is reduced.
    increase_ratio : float
        Ratio up to which the limit is increased. Between the two ratios it stays, so that it does
        not oscillate.
    decrease : float
        Factor by which the limit is multiplied in one reduction.
    window_s : float
        Seconds for which the latencies of ordinary requests are considered.
    hold_s : float
        Seconds after a reduction whose latencies are ignored, because it has yet to take effect.
    recover_s : float
        Seconds after a reduction before the limit is increased.
    increase_s : float
        Shortest time in seconds between two increases.
    regrow_s : float
        The same after a reduction, while ordinary requests are measured. A fast return to the
        limit that was too high would make ordinary requests slow again and again.
    min_samples : int
        Smallest number of samples from which a baseline is computed.
    baseline_samples : int
        Largest number of samples from which a baseline is computed.
    baseline_ttl_s : float
        Age in seconds at which samples of the baseline are removed.
    """

    slow_ratio: float = 1.3
    increase_ratio: float = 1.15
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
    """Rollout limit of one target with additive increase and multiplicative decrease.

    The limit starts at its floor, where the first latencies are measured almost without rollouts.
    Latencies at the floor serve as the baseline when there are too few recent samples without
    rollouts. A target that has become slower for another reason thus leaves the floor again.

    Parameters
    ----------
    slots : int
        Slots of the target, the upper bound of the limit.
    policy : Policy
        Its `rollout_floor_share` gives the floor.
    now : float
        Current time in seconds.
    window_policy : WindowPolicy or None
        Parameters of the control; the defaults if None.
    """

    def __init__(self, slots, policy, now=0.0, window_policy=None):
        self.slots = slots
        self.floor_share = policy.rollout_floor_share
        self.window_policy = window_policy or WindowPolicy()
        self.limit = self.floor
        self.recent = collections.deque(maxlen=2048)
        self.idle = collections.deque(maxlen=self.window_policy.baseline_samples)
        self.near_idle = collections.deque(maxlen=self.window_policy.baseline_samples)
        self.reduced_at = -math.inf
        self.increase_interval_start = now

    @property
    def floor(self):
        """Rollouts that may always run at the same time."""
        return math.ceil(self.slots * self.floor_share - ROUNDING_TOLERANCE)

    def record_ordinary_latency(self, latency_s, rollouts, now):
        """Record the latency of an ordinary request.

        Parameters
        ----------
        latency_s : float
        rollouts : int
            Rollouts that ran at the same time.
        now : float
        """
        # During the hold time, rollouts beyond the new limit still run and slow requests down.
        if now >= self.reduced_at + self.window_policy.hold_s:
            self.recent.append((now, latency_s, rollouts))
        if rollouts == 0:
            self.idle.append((now, latency_s))
        if rollouts <= self.floor:
            self.near_idle.append((now, latency_s))

    def resize(self, slots):
        """Set the number of slots, and clamp the limit to it."""
        self.slots = slots
        self.limit = max(self.floor, min(self.limit, slots))

    def update(self, now):
        """Adjust the limit; it should be called about once per second.

        Returns
        -------
        int
            New limit.
        """
        policy = self.window_policy
        while self.recent and self.recent[0][0] <= now - policy.window_s:
            self.recent.popleft()
        baseline_s = self.baseline_s(now)
        if self.p99_exceeds(policy.slow_ratio, baseline_s):
            self.reduce(now)
            self.increase_interval_start = now
            return self.limit
        if now - self.reduced_at < policy.recover_s:
            self.increase_interval_start = now
            return self.limit
        if self.p99_exceeds(policy.increase_ratio, baseline_s):
            self.increase_interval_start = now
            return self.limit
        self.increase(now)
        return self.limit

    def reduce(self, now):
        """Reduce the limit in proportion to the rollouts in use, and discard the samples."""
        used = max(rollouts for _, _, rollouts in self.recent)
        self.limit = max(self.floor, int(min(self.limit, used) * self.window_policy.decrease))
        self.reduced_at = now
        # The same slow requests must not reduce the limit a second time.
        self.recent.clear()

    def increase(self, now):
        """Increase the limit by one step if it is due.

        It is a single step also after a long pause, in which nothing was measured.
        """
        interval_s = self.window_policy.increase_s
        if self.recent and self.reduced_at > -math.inf:
            interval_s = self.window_policy.regrow_s
        if now - self.increase_interval_start < interval_s - ROUNDING_TOLERANCE:
            return
        self.limit = min(self.slots, self.limit + max(1, self.slots // SLOTS_PER_STEP))
        self.increase_interval_start = now

    def p99_exceeds(self, ratio, baseline_s):
        """Return whether the p99 latency beside rollouts exceeds a multiple of the baseline.

        A single slow request in a small sample is no evidence, so at least two must be slow.
        """
        if baseline_s is None:
            return False
        beside = [latency_s for _, latency_s, rollouts in self.recent if rollouts > 0]
        slow = sum(1 for latency_s in beside if latency_s > ratio * baseline_s)
        return slow > max(1, len(beside) // 100)

    def baseline_s(self, now):
        """Return the p99 latency in seconds without rollouts, else at the floor, else None."""
        for samples in (self.idle, self.near_idle):
            while samples and samples[0][0] < now - self.window_policy.baseline_ttl_s:
                samples.popleft()
        for samples in (self.idle, self.near_idle):
            if len(samples) < self.window_policy.min_samples:
                continue
            ordered = sorted(latency_s for _, latency_s in samples)
            return ordered[math.ceil(len(ordered) * 0.99) - 1]
        return None
