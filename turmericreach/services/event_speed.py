"""Speed of an engine over more than a second."""

import math

import attrs

__all__ = ["EventSpeed"]

BUCKET_S = 0.3
# Slowness must fill all but one of these, 1.5 s, to count as lasting.
WINDOW_BUCKETS = 6
# Weight of a bucket in the usual time of an event. It rises slowly, so that 8 s at a third of the
# speed raise it by a half, and falls fast, since an engine is slower than usual more often than
# faster.
RISE_SMOOTHING = 0.01
FALL_SMOOTHING = 0.1
# Slowness beyond this factor counts at once: short disturbances are weaker than lasting ones.
SEVERE_FACTOR = 2.8
# An engine that has become idle is taken to recover from lasting slowness in about this time.
IDLE_DECAY_S = 4.0


@attrs.define
class EventSpeed:
    """The time that an engine takes for an event, with short disturbances left out.

    Load pattern: at any time 15% of the engines are 2.5 times slower for about 0.6 s, and each is
    drawn anew about every 0.6 s. An average over a few events follows that disturbance, and what is
    decided by it is wrong by the time it takes effect. At other times engines are 3 to 4 times
    slower for 8 s, which must be recognised within two seconds.

    The time is the second smallest of the averages of the latest buckets of 0.3 s, so slowness
    counts once it has lasted for 1.5 s, or in two buckets if it is severe. With too few
    buckets, the usual time of the engine is used unless the buckets are faster.

    Attributes
    ----------
    buckets : list of list
        Number, sum of the seconds and count of events of the latest buckets.
    usual_s : float
        Usual seconds per event, 0 if unknown.
    last_s : float
        Lasting seconds per event when the last but one bucket was complete.
    last_at : float
        Loop time of the last event.
    """

    buckets: list[list] = attrs.field(factory=list)
    usual_s: float = 0.0
    last_s: float = 0.0
    last_at: float = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Add the seconds of one event that arrived at a loop time."""
        number = int(now / BUCKET_S)
        if not self.buckets or self.buckets[-1][0] != number:
            if self.buckets:
                self.update_usual()
                self.last_s = self.lasting_s(self.last_at)
            self.buckets.append([number, 0.0, 0])
            del self.buckets[:-WINDOW_BUCKETS]
        self.buckets[-1][1] += seconds
        self.buckets[-1][2] += 1
        self.last_at = now

    def update_usual(self) -> None:
        """Add the newest bucket, which is complete, to the usual time."""
        _, total, count = self.buckets[-1]
        average = total / count
        if not self.usual_s:
            self.usual_s = average
            return
        smoothing = RISE_SMOOTHING if average > self.usual_s else FALL_SMOOTHING
        self.usual_s += smoothing * (average - self.usual_s)

    def lasting_s(self, now: float) -> float:
        """Return the lasting seconds per event as of a loop time, 0 if unknown."""
        newest = int(now / BUCKET_S)
        averages = [
            total / count
            for number, total, count in self.buckets
            if newest - WINDOW_BUCKETS < number <= newest
        ]
        former_s = self.former_s(now)
        if not averages:
            return former_s
        latest_s = averages[-2] if len(averages) > 1 else averages[-1]
        if min(latest_s, averages[-1]) > SEVERE_FACTOR * self.usual_s > 0:
            return latest_s
        ordered = sorted(averages)
        if len(ordered) >= WINDOW_BUCKETS - 1:
            return ordered[1]
        return min(ordered[0], former_s or ordered[0])

    def former_s(self, now: float) -> float:
        """Return the lasting time as of the last event, which decays to the usual one when idle."""
        if not self.usual_s:
            return 0.0
        weight = math.exp(-max(now - self.last_at, 0.0) / IDLE_DECAY_S)
        return self.usual_s + weight * max(self.last_s - self.usual_s, 0.0)
