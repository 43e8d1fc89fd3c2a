"""Number of targets that a service needs in a data centre."""

import math
from collections import deque
from statistics import median_low

import attrs

__all__ = ["ScaleLimits", "SizeDecision", "SizePolicy", "SubjectLoad"]

# Share of the slots that the expected load may occupy; the rest absorbs uneven arrivals.
TARGET_UTILIZATION = 0.75
# Fewer targets are wanted only after this many boot times, and at least this long, in which none of
# them was needed: a target released too early costs its boot time again.
HOLD_BOOTS = 3.0
MIN_HOLD_S = 30.0
# Rise of the arrivals is measured over three parts of this time.
TREND_S = 12.0
# Targets are released only if the others would have this share of their needed slots to spare.
RELEASE_MARGIN = 0.1
# A target that is missing for longer than this many boot times is ordered anew.
REPLACED_BOOTS = 2.0


@attrs.frozen
class ScaleLimits:
    """What the configuration says about the size of a service.

    Attributes
    ----------
    min, max : int
        Bounds on the number of targets in a data centre.
    boot_s : float
        Seconds until a new target serves.
    """

    min: int
    max: int
    boot_s: float


@attrs.frozen
class SubjectLoad:
    """Load and targets of a service in a data centre.

    Attributes
    ----------
    arrivals_per_s : float
        Requests per second at present.
    work_s : float
        Mean seconds for which a request occupies a slot.
    slots : int
        Slots of one target.
    ready : int
        Targets that serve.
    drained : int
        Targets that accept no more requests and have none left.
    waiting : list of tuple of float
        Waiting work in slot seconds, with the seconds until it is due.
    idle_slots_elsewhere : float
        Slots of the service in other data centres that their own load leaves idle.
    price_per_s : float
        Price of a target per second.
    """

    arrivals_per_s: float
    work_s: float
    slots: int
    ready: int
    drained: int = 0
    waiting: tuple[tuple[float, float], ...] = ()
    idle_slots_elsewhere: float = 0.0
    price_per_s: float = 1.0


@attrs.frozen
class SizeDecision:
    """Targets to order, and how many of them to drain before fewer are ordered."""

    targets: int
    drain: int
    reason: str


class SizePolicy:
    """Decides the size of one service in one data centre.

    More targets are ordered at once for what is expected when they would serve. Fewer are ordered
    only after a hold time in which the smaller number would have sufficed throughout, and after as
    many have been drained.

    Load pattern: arrivals follow waves of minutes, bursts shorter than the boot time, and the loss
    of a third of the targets; targets boot for tens of seconds.

    Parameters
    ----------
    limits : ScaleLimits
        What the configuration says.
    targets : int
        Targets ordered at present.

    Attributes
    ----------
    arrivals : deque of tuple of float
        Time in seconds and requests per second of the samples of the last `TREND_S`.
    needs : deque of tuple of float
        Time in seconds and number of needed targets during the hold time.
    complete_at : float or None
        Time at which all ordered targets were last ready.
    """

    def __init__(self, limits: ScaleLimits, targets: int):
        self.limits = limits
        self.targets = targets
        self.arrivals: deque[tuple[float, float]] = deque()
        self.needs: deque[tuple[float, int]] = deque()
        self.complete_at: float | None = None
        self.ordered_at = float("-inf")
        self.replaced = 0

    def decide(self, load: SubjectLoad, now: float) -> SizeDecision:
        """Return the number of targets to order, which may be the present one."""
        hold_s = max(HOLD_BOOTS * self.limits.boot_s, MIN_HOLD_S)
        slots = self.needed_slots(load, now)
        self.needs.append((now, self.needed(slots * (1 + RELEASE_MARGIN), load)))
        while self.needs[0][0] < now - hold_s:
            self.needs.popleft()
        # Idle targets elsewhere serve what would need more targets here.
        need = self.needed(slots - load.idle_slots_elsewhere, load)
        if need > self.targets:
            return self.order(need, now, f"{need} targets needed")
        if self.is_short_of_targets(load, now):
            # The platform has not replaced them; the order is changed so that it does.
            missing = self.targets - load.ready
            wanted = min(self.targets + missing, self.limits.max)
            if wanted > self.targets and not self.replaced:
                self.replaced = missing
                return self.order(wanted, now, f"{missing} targets lost")
        return self.release(load, now, hold_s)

    def release(self, load: SubjectLoad, now: float, hold_s: float) -> SizeDecision:
        """Return a smaller number if it sufficed throughout the hold time, else the present one."""
        highest = max(need for _, need in self.needs)
        held = now - self.needs[0][0] >= 0.9 * hold_s and now - self.ordered_at >= hold_s
        surplus = self.targets - highest
        if surplus <= 0 or not held or load.price_per_s <= 0:
            return SizeDecision(self.targets, 0, "unchanged")
        if load.drained < min(surplus, load.ready + load.drained):
            return SizeDecision(self.targets, surplus, f"{surplus} targets to be drained")
        self.replaced = 0
        return self.order(highest, now, f"{highest} targets sufficed for {hold_s:.0f} s")

    def order(self, targets: int, now: float, reason: str) -> SizeDecision:
        """Adopt another number of targets."""
        self.targets = targets
        self.ordered_at = now
        return SizeDecision(targets, 0, reason)

    def needed(self, slots: float, load: SubjectLoad) -> int:
        """Return the targets that have a number of slots, within the limits."""
        needed = math.ceil(slots / load.slots - 1e-9)
        return min(max(needed, self.limits.min), self.limits.max)

    def needed_slots(self, load: SubjectLoad, now: float) -> float:
        """Return the slots that the expected arrivals and the waiting work occupy."""
        expected_per_s = self.expected_arrivals_per_s(load, now)
        slots = expected_per_s * load.work_s / TARGET_UTILIZATION
        for work_s, due_in_s in load.waiting:
            # Work that is due before a new target serves needs it all the same, only later.
            slots += work_s / max(due_in_s, self.limits.boot_s, 1.0)
        return slots

    def expected_arrivals_per_s(self, load: SubjectLoad, now: float) -> float:
        """Return the arrivals when a target ordered now would serve; a fall is not expected."""
        if not self.arrivals or self.arrivals[-1][0] < now:
            self.arrivals.append((now, load.arrivals_per_s))
        while self.arrivals[0][0] < now - TREND_S:
            self.arrivals.popleft()
        began = self.arrivals[0][0]
        part_s = (now - began) / 3
        if part_s < TREND_S / 4:
            return load.arrivals_per_s
        parts: list[list[float]] = [[], [], []]
        for at, per_s in self.arrivals:
            parts[min(int((at - began) / part_s), 2)].append(per_s)
        first, second, third = (median_low(part) if part else load.arrivals_per_s for part in parts)
        # A burst moves the median of two parts at different times, and is not extrapolated.
        rise = max(min(second - first, third - second), 0.0) / part_s
        return third + rise * (self.limits.boot_s + part_s / 2)

    def is_short_of_targets(self, load: SubjectLoad, now: float) -> bool:
        """Return whether targets are missing that should have booted or been replaced by now."""
        if load.ready + load.drained >= self.targets:
            self.complete_at = now
            self.replaced = 0
        since = max(self.complete_at or self.needs[0][0], self.ordered_at)
        return now - since > REPLACED_BOOTS * self.limits.boot_s
