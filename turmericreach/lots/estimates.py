"""Estimates of rollout lengths, engine speeds and the arrival of weight versions."""

import collections
import math

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["LengthModel", "SpeedModel", "VersionForecaster"]

MAX_RECORDED_TOKENS = 1 << 24
SIGNIFICANT_DIGITS = 2
# With fewer observations of a group, the lengths of its kind predict the next sample better.
GROUP_OBSERVATIONS_NEEDED = 2
GROUP_OBSERVATIONS_KEPT = 16
EXPECTED_PERCENTILE = 60.0
DEFAULT_SPEED = 50.0
SPEED_SMOOTHING = 0.2
OVERDUE_INTERVALS = 3
INTERVALS_KEPT = 8
# A rollout that exceeds its estimated length is expected to generate half as much again.
OVERRUN_FACTOR = 1.5
# Longest time for which rollouts wait until the engines have the version of the trainer. Engines
# load a version within seconds; if a weight update fails, the lot must continue without it.
MAX_VERSION_WAIT_S = 20.0


class LengthModel:
    """Expected lengths in tokens, learned by kind of lot and by prompt; can be shared by lots."""

    def __init__(self):
        self.kind_histograms = {}
        self.kind_percentiles = {}
        self.group_lengths = collections.OrderedDict()
        self.max_groups = 1 << 16

    def observe(self, kind, group_key, tokens):
        """Add the length of a finished rollout."""
        if kind not in self.kind_histograms:
            self.kind_histograms[kind] = HdrHistogram(1, MAX_RECORDED_TOKENS, SIGNIFICANT_DIGITS)
        self.kind_histograms[kind].record_value(min(max(tokens, 1), MAX_RECORDED_TOKENS))
        self.kind_percentiles.pop(kind, None)
        recent = self.group_lengths.setdefault(
            (kind, group_key), collections.deque(maxlen=GROUP_OBSERVATIONS_KEPT)
        )
        recent.append(tokens)
        if len(self.group_lengths) > self.max_groups:
            self.group_lengths.popitem(last=False)

    def expected(self, kind, group_key, max_tokens):
        """Return the expected length of a sample of a group in tokens, at most `max_tokens`."""
        recent = self.group_lengths.get((kind, group_key), ())
        if len(recent) >= GROUP_OBSERVATIONS_NEEDED:
            position = math.ceil(len(recent) * EXPECTED_PERCENTILE / 100.0) - 1
            return max(1, min(max_tokens, sorted(recent)[position]))
        return min(max_tokens, self.expected_of_kind(kind, max_tokens))

    def expected_of_kind(self, kind, max_tokens):
        """Return the expected length of a rollout of a kind in tokens."""
        histogram = self.kind_histograms.get(kind)
        if histogram is None:
            return max(1, max_tokens // 2)
        # Computing a percentile scans the whole histogram, so the result is cached until the next
        # observation.
        if kind not in self.kind_percentiles:
            length = int(histogram.get_value_at_percentile(EXPECTED_PERCENTILE))
            self.kind_percentiles[kind] = max(1, length)
        return self.kind_percentiles[kind]


class SpeedModel:
    """Single-stream speed of each engine in tokens per second, learned from finished rollouts."""

    def __init__(self):
        self.speeds = {}
        self.declared_speeds = {}

    def set_declared_speed(self, target, speed):
        """Set the speed to assume for an engine until one of its rollouts has finished."""
        if speed > 0:
            self.declared_speeds[target] = speed

    def observe(self, target, tokens, duration_s):
        """Add the length in tokens and the duration of a finished rollout."""
        if duration_s <= 0 or tokens <= 0:
            return
        speed = tokens / duration_s
        old = self.speeds.get(target, speed)
        self.speeds[target] = old + SPEED_SMOOTHING * (speed - old)

    def speed(self, target):
        """Return the speed of an engine in tokens per second."""
        return self.speeds.get(target) or self.declared_speeds.get(target, DEFAULT_SPEED)

    def duration(self, target, tokens):
        """Return the expected duration of a rollout of a length in seconds."""
        return tokens / self.speed(target)


@attrs.define
class VersionForecaster:
    """Observes when new weight versions appear and forecasts the next ones.

    Attributes
    ----------
    version : int
        Newest version observed.
    changed_at : float or None
        Time in seconds at which `version` was first observed.
    change_observed : bool
        Whether `changed_at` is the time of a change, not that of the first observation.
    intervals : collections.deque of float
        Last intervals between two versions in seconds.
    trainer_version : int
        Highest version that the trainer has stated.
    trainer_version_at : float
        Time in seconds from which rollouts wait for `trainer_version`.
    """

    version: int = 0
    changed_at: float | None = None
    change_observed: bool = False
    intervals: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=INTERVALS_KEPT)
    )
    trainer_version: int = 0
    trainer_version_at: float = -math.inf

    def observe(self, version, now):
        """Add an observation of the current version; lower versions are ignored."""
        if version <= self.version and self.changed_at is not None:
            return
        # The first version may have appeared earlier, so no interval is measured from it.
        if self.change_observed and now > self.changed_at:
            steps = version - self.version
            self.intervals.append((now - self.changed_at) / steps)
        self.change_observed = self.changed_at is not None
        self.version = max(version, self.version)
        self.changed_at = now

    def observe_trainer_version(self, version, now):
        """Add the version stated by the trainer, which the engines may not have yet."""
        if version <= self.trainer_version:
            return
        # While the engines lag behind, further versions must not extend the wait.
        if self.trainer_version <= self.version:
            self.trainer_version_at = now
        self.trainer_version = version

    def should_wait(self, now, duration_s, weight):
        """Return whether a rollout should start only after the next version change.

        Parameters
        ----------
        now : float
            Current time in seconds.
        duration_s : float
            Expected duration of the rollout.
        weight : float
            Weight of staleness against idle time, 0 to 1; a larger weight waits longer.
        """
        if (
            self.trainer_version > self.version
            and now - self.trainer_version_at < weight * MAX_VERSION_WAIT_S
        ):
            return True
        if math.isinf(self.interval):
            return False
        # An overdue version may never arrive, so rollouts do not wait for it.
        remaining_s = self.changed_at + self.interval - now
        return 0.0 < remaining_s < weight * min(duration_s, self.interval)

    @property
    def interval(self):
        """Median interval between new versions in seconds, infinite if unknown."""
        if not self.intervals:
            return math.inf
        return sorted(self.intervals)[len(self.intervals) // 2]

    def forecast(self, now, duration_s):
        """Return the version expected `duration_s` seconds from `now`."""
        interval = self.interval
        if math.isinf(interval):
            return self.version
        elapsed = now - self.changed_at
        if elapsed > OVERDUE_INTERVALS * interval:
            # Earlier versions arrived in a burst, or the trainer is waiting for samples of this
            # lot. A forecast from the old interval would prevent every long rollout from starting.
            return self.version
        # Only one overdue version is expected at any moment, not several at once.
        elapsed = min(elapsed, interval)
        return self.version + int((elapsed + duration_s) / interval)
