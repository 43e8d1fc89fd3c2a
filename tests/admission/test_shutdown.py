"""Decisions on requests that arrive while a process is about to stop."""

import attrs
import pytest

from turmericreach.admission import RecentDurations, ShutdownTimes, ShutdownWork, needed_s

ORDER = ShutdownWork(
    repeatable=False, remaining_s=5.0, longest_s=1.0, in_rotation=False, served_elsewhere=True
)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({}, 5.0),
        ({"repeatable": True}, 3.0),
        ({"in_rotation": True}, 3.0),
        ({"served_elsewhere": False}, 3.0),
        ({"served_elsewhere": False, "longest_s": 4.0}, 5.0),
        ({"served_elsewhere": False, "longest_s": None}, 5.0),
        ({"in_rotation": True, "longest_s": None}, 0.5),
        ({"repeatable": True, "longest_s": None, "remaining_s": 0.2}, 0.2),
    ],
)
def test_time_that_a_late_request_needs(change, expected):
    """Guards against a request that is begun and broken off, or rejected without need."""
    assert needed_s(attrs.evolve(ORDER, **change)) == expected


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 8.0, 60.0])
def test_times_of_a_stop_are_in_order_for_any_grace_period(grace_s):
    """Guards against a grace period that is shorter than the constants of the code."""
    times = ShutdownTimes.of_grace_period(100.0, grace_s)
    values = [times.began, times.rotation_at, times.cutoff_at, times.close_at, times.end_at]
    assert values == sorted(set(values))
    # Requests that the platform excuses are still at work in the last sixth of the grace period.
    assert times.cutoff_at > times.end_at - grace_s / 6


def test_longest_recent_duration_is_forgotten_after_many_shorter_ones():
    """Guards against a single slow request that decides for all times."""
    durations = RecentDurations()
    assert durations.longest_s("order") is None
    durations.record("order", 9.0)
    assert durations.longest_s("order") == 9.0
    for _ in range(64):
        durations.record("order", 0.1)
    assert durations.longest_s("order") == 0.1
