"""Expected lengths of rollouts, speeds of engines and times of new weight versions."""

import collections
import math

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["LengthModel", "SpeedModel", "VersionClock"]

LONGEST_TOKENS = 1 << 24
SIGNIFICANT_DIGITS = 2
# Fewer observations of a group say less about its next sample than the kind does.
GROUP_OBSERVATIONS_NEEDED = 2
GROUP_OBSERVATIONS_KEPT = 16
EXPECTED_PERCENTILE = 60.0
DEFAULT_SPEED = 50.0
SPEED_SMOOTHING = 0.2
OVERDUE_INTERVALS = 3
INTERVALS_KEPT = 8
# A rollout that outlasts its estimate is expected to run on for half of what it has produced.
OVERRUN_FACTOR = 1.5
# Longest time that rollouts wait for a version that the trainer has and the engines lack. Engines
# load a version within seconds; a failed rollout of weights must not stop the lot.
LONGEST_HOLD_S = 20.0


class LengthModel:
    """Lengths in tokens, learned by kind and by prompt group; may be shared by lots."""

    def __init__(self):
        self.kinds = {}
        self.kind_lengths = {}
        self.groups = collections.OrderedDict()
        self.max_groups = 1 << 16

    def observe(self, kind, group_key, tokens):
        """Take the length of a finished rollout."""
        if kind not in self.kinds:
            self.kinds[kind] = HdrHistogram(1, LONGEST_TOKENS, SIGNIFICANT_DIGITS)
        self.kinds[kind].record_value(min(max(tokens, 1), LONGEST_TOKENS))
        self.kind_lengths.pop(kind, None)
        kept = self.groups.setdefault(
            (kind, group_key), collections.deque(maxlen=GROUP_OBSERVATIONS_KEPT)
        )
        kept.append(tokens)
        if len(self.groups) > self.max_groups:
            self.groups.popitem(last=False)

    def expected(self, kind, group_key, max_tokens):
        """Return the expected length in tokens, at most `max_tokens`."""
        kept = self.groups.get((kind, group_key), ())
        if len(kept) >= GROUP_OBSERVATIONS_NEEDED:
            position = math.ceil(len(kept) * EXPECTED_PERCENTILE / 100.0) - 1
            return max(1, min(max_tokens, sorted(kept)[position]))
        return min(max_tokens, self.of_kind(kind, max_tokens))

    def of_kind(self, kind, max_tokens):
        """Return the expected length of a rollout of a kind."""
        histogram = self.kinds.get(kind)
        if histogram is None:
            return max(1, max_tokens // 2)
        # A percentile walks the whole histogram, so it is kept until the next observation.
        if kind not in self.kind_lengths:
            length = int(histogram.get_value_at_percentile(EXPECTED_PERCENTILE))
            self.kind_lengths[kind] = max(1, length)
        return self.kind_lengths[kind]


class SpeedModel:
    """Single-stream speed of each engine, learned from finished rollouts."""

    def __init__(self):
        self.speeds = {}
        self.declared = {}

    def declare(self, target, speed):
        """Take the speed to expect of an engine before one of its rollouts has finished."""
        if speed > 0:
            self.declared[target] = speed

    def observe(self, target, tokens, duration_s):
        """Take the length and the duration of a finished rollout."""
        if duration_s <= 0 or tokens <= 0:
            return
        speed = tokens / duration_s
        old = self.speeds.get(target, speed)
        self.speeds[target] = old + SPEED_SMOOTHING * (speed - old)

    def speed(self, target):
        """Return the speed of an engine in tokens a second."""
        return self.speeds.get(target) or self.declared.get(target, DEFAULT_SPEED)

    def duration(self, target, tokens):
        """Return the expected duration of a rollout in seconds."""
        return tokens / self.speed(target)


@attrs.define
class VersionClock:
    """Observes when new versions appear and forecasts the next ones."""

    version: int = 0
    changed_at: float | None = None
    saw_change: bool = False
    intervals: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=INTERVALS_KEPT)
    )
    announced: int = 0
    announced_at: float = -math.inf

    def observe(self, version, now):
        """Take the current version; lower ones are ignored."""
        if version <= self.version and self.changed_at is not None:
            return
        # The first version may be old already, so its time starts no interval.
        if self.saw_change and now > self.changed_at:
            steps = version - self.version
            self.intervals.append((now - self.changed_at) / steps)
        self.saw_change = self.changed_at is not None
        self.version = max(version, self.version)
        self.changed_at = now

    def announce(self, version, now):
        """Take the version of the trainer, which the engines may not have yet."""
        if version <= self.announced:
            return
        # While the engines lag behind, further versions must not prolong the wait.
        if self.announced <= self.version:
            self.announced_at = now
        self.announced = version

    def should_wait(self, now, duration_s, weight):
        """Return whether a rollout had better start after the next version change.

        Parameters
        ----------
        duration_s : float
            Expected duration of the rollout.
        weight : float
            Weight of staleness, 0 to 1; a larger one waits longer.
        """
        if self.announced > self.version and now - self.announced_at < weight * LONGEST_HOLD_S:
            return True
        if math.isinf(self.interval):
            return False
        # A version that is overdue may not come at all, so nothing waits for it.
        left_s = self.changed_at + self.interval - now
        return 0.0 < left_s < weight * min(duration_s, self.interval)

    @property
    def interval(self):
        """Median time between new versions in seconds, infinite if unknown."""
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
            # The versions came in a burst, or the trainer waits for the samples of this lot. A
            # forecast from the old interval would keep every long rollout from starting.
            return self.version
        # A version that is overdue is expected at any moment, not several at once.
        elapsed = min(elapsed, interval)
        return self.version + int((elapsed + duration_s) / interval)
