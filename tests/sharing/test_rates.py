"""Permits at the rates that targets accept, replayed as pure decisions."""

import random

import pytest

from turmericreach.sharing import Denial, Permit, RateArbiter

WINDOW_S = 4.0
# A process treats a host that does not respond as lost after this long.
DETECTION_S = 1.6


def most_in_window(times):
    """Return the largest number of times in any window."""
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


def allowed(per_s):
    """Return the requests that the rule allows in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def arrivals(rng, per_s, seconds):
    """Return times of random arrivals."""
    times, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(per_s)
        times.append(now)
    return times


@pytest.mark.parametrize("per_s", [0.3, 1.1, 5.9, 200.0])
def test_permits_use_the_limit_and_stay_within_it(per_s):
    """Guards against bursts over a limit, and against a limit of which half stays unused."""
    rng = random.Random(1)
    arbiter = RateArbiter()
    sent = []
    for now in arrivals(rng, 4 * per_s + 5, 60.0):
        result = arbiter.request({"t": per_s}, 1, 0.08, now)
        if isinstance(result, Permit):
            sent.append(now + result.delay_s)
    assert most_in_window(sent) <= allowed(per_s)
    assert len(sent) >= 0.9 * per_s * 60.0


def test_requests_of_many_processes_with_little_to_send_each_use_the_limit():
    """Guards against equal shares, of which 57 of 58 are unused when one process has requests."""
    arbiter = RateArbiter()
    sent = 0
    for now in arrivals(random.Random(2), 10.0, 30.0):
        sent += isinstance(arbiter.request({"t": 2.0}, 1, 0.08, now), Permit)
    assert sent >= 55


def test_target_with_the_earliest_permit_is_used():
    """Guards against a denial while another target still has a permit."""
    arbiter = RateArbiter()
    limits = {"a": 1.0, "b": 1.0}
    granted = [arbiter.request(limits, 1, 0.0, 10.0) for _ in range(3)]
    assert [result.target for result in granted[:2]] == ["a", "b"]
    assert isinstance(granted[2], Denial)
    assert 0.0 < granted[2].retry_s <= 1.0


def test_denied_request_of_a_higher_priority_gets_the_next_permit():
    """Guards against items that take each permit before a caller's request comes again."""
    arbiter = RateArbiter()
    assert isinstance(arbiter.request({"t": 1.0}, 5, 0.0, 0.0), Permit)
    denial = arbiter.request({"t": 1.0}, 0, 0.0, 0.5)
    assert isinstance(denial, Denial)
    at = 0.5 + denial.retry_s
    assert isinstance(arbiter.request({"t": 1.0}, 5, 0.0, at), Denial)
    assert isinstance(arbiter.request({"t": 1.0}, 0, 0.0, at), Permit)


def test_limit_of_zero_still_gets_a_request_now_and_then():
    """Guards against a limit whose end no response can tell."""
    arbiter = RateArbiter()
    sent = []
    for step in range(400):
        if isinstance(arbiter.request({"t": 0.0}, 0, 0.0, step / 10), Permit):
            sent.append(step / 10)
    assert len(sent) >= 5 and most_in_window(sent) <= allowed(0.0)


def test_fallen_limit_holds_at_once():
    """Guards against permits of the former limit that are used after it has fallen."""
    arbiter = RateArbiter()
    sent = []
    for step in range(1200):
        now = step / 100
        per_s = 20.0 if now < 6.0 else 1.0
        if isinstance(arbiter.request({"t": per_s}, 0, 0.0, now), Permit) and now >= 6.0:
            sent.append(now)
    assert len(sent) <= 6.0 * 1.0 + 2


@pytest.mark.parametrize("processes", [4, 20, 58, 300])
@pytest.mark.parametrize("per_s", [1.0, 5.9, 40.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_holds_while_the_arbiter_is_replaced(processes, per_s, seed):
    """Guards against the sum of own shares and a new arbiter's permits that exceeds the limit.

    The arbiter is lost at 10 s. Each process uses its share until it notices the successor at some
    time within the detection time; the successor grants from its own first request on.
    """
    rng = random.Random(seed)
    first, second = RateArbiter(), RateArbiter()
    own = {}
    noticed_at = [10.0 + DETECTION_S + 0.4 * rng.random() for _ in range(processes)]
    sent = []
    for now in arrivals(rng, 4 * per_s + 20, 20.0):
        process = rng.randrange(processes)
        if now < 10.0:
            arbiter = first
        elif now < noticed_at[process]:
            arbiter = own.setdefault(process, RateArbiter(1.0 / processes, rng))
        else:
            arbiter = second
        result = arbiter.request({"t": per_s}, 1, 0.08, now)
        if isinstance(result, Permit):
            sent.append(now + result.delay_s)
    assert most_in_window(sent) <= allowed(per_s)
