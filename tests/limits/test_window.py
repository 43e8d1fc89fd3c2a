"""Tests of the rollout limit, which is controlled by the latency of ordinary requests."""

from turmericreach.limits import RolloutWindow, WindowPolicy
from turmericreach.manifest.schema import Policy

POLICY = Policy(rollout_floor_share=0.25)
# Explicit values, so that the tests of the mechanism do not depend on the defaults.
WINDOW_POLICY = WindowPolicy(decrease=0.5, window_s=30.0, hold_s=5.0, recover_s=10.0, regrow_s=1.0)


def make_window(slots=16):
    return RolloutWindow(slots, POLICY, window_policy=WINDOW_POLICY)


def run(window, start, seconds, latency):
    """Run ordinary requests beside as many rollouts as allowed, and return the limit per second."""
    limits = []
    for now in range(start, start + seconds):
        for index in range(10):
            window.record_ordinary_latency(latency(window.limit), window.limit, now + index / 10)
        limits.append(window.update(now + 1.0))
    return limits


def record_baseline(window, latency_s=0.1):
    for index in range(50):
        window.record_ordinary_latency(latency_s, 0, index / 100)


def test_limit_grows_to_all_slots_without_ordinary_requests():
    """Guards against engines that stay idle at night because there are no measurements."""
    window = make_window(8)
    assert [window.update(float(now)) for now in range(1, 9)] == [3, 4, 5, 6, 7, 8, 8, 8]
    window = make_window(8)
    assert window.update(600.0) == 3


def test_limit_stays_below_the_point_where_requests_slow_down():
    """Guards against ordinary requests above 1.3 times their latency without rollouts."""
    window = make_window()
    record_baseline(window)
    limits = run(window, 1, 300, lambda limit: 0.1 if limit <= 8 else 0.2)
    slow = sum(1 for limit in limits[30:] if limit > 8)
    assert slow / len(limits[30:]) < 0.15
    assert min(limits) >= 4
    # Additive increase and the recovery time bound the number of oscillations.
    drops = sum(1 for old, new in zip(limits, limits[1:], strict=False) if new < old)
    assert drops <= 300 / 10


def test_limit_never_goes_below_the_floor_and_holds_between_reductions():
    """Guards against several reductions of the limit at once on a burst of slow requests."""
    window = make_window()
    record_baseline(window)
    window.limit = 16
    limits = run(window, 1, 20, lambda _: 1.0)
    assert limits[:7] == [8, 8, 8, 8, 8, 8, 4]
    assert set(limits[7:]) == {4}


def test_latency_between_the_ratios_changes_nothing():
    """Guards against a limit that oscillates around the threshold."""
    window = make_window()
    record_baseline(window)
    window.limit = 8
    assert set(run(window, 1, 60, lambda _: 0.125)) == {8}


def test_one_burst_reduces_the_limit_once():
    """Guards against slow requests that reduce the limit a second time."""
    window = make_window()
    record_baseline(window)
    window.limit = 16
    limits = run(window, 1, 2, lambda _: 1.0) + run(window, 3, 9, lambda _: 0.1)
    assert limits == [8] * 10 + [9]


def test_one_slow_request_is_no_evidence():
    """Guards against a reduction by a single outlier in a small sample."""
    window = make_window()
    record_baseline(window)
    window.record_ordinary_latency(5.0, 4, 1.0)
    assert window.update(1.0) == 5


def test_target_that_became_slower_leaves_the_floor():
    """Guards against an outdated baseline that keeps rollouts at the floor forever."""
    window = make_window()
    record_baseline(window)
    limits = run(window, 1, 1200, lambda _: 0.3)
    assert limits[600] == 4
    assert limits[-1] == 16


def test_a_reduced_limit_grows_back_slowly_while_ordinary_requests_are_measured():
    """Guards against a limit that oscillates and slows ordinary requests down each time."""
    window = RolloutWindow(16, POLICY, window_policy=WindowPolicy(decrease=0.5, regrow_s=8.0))
    record_baseline(window)
    window.limit = 16
    assert run(window, 1, 1, lambda _: 1.0) == [8]
    limits = run(window, 2, 60, lambda _: 0.1)
    assert limits[-1] <= 8 + 60 // 8
    assert limits[-1] > 8


def test_a_large_engine_fills_within_a_minute():
    """Guards against engines of many slots that stay idle for minutes after a start."""
    window = RolloutWindow(256, POLICY)
    assert [window.update(float(now)) for now in range(1, 60)][-1] == 256
