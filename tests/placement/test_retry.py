"""Return of rejected callers, replayed against a service with a limited number of slots."""

import heapq

import pytest

from turmericreach.placement import ReturnSchedule, outage_retry_s, service_rate_per_s
from turmericreach.services import LoadReport, Target, TargetRecord

SLOTS = 12
SERVICE_S = 0.05
CALLERS = 100


def target(slots=6, latency_s=SERVICE_S, **fields):
    """Return a target whose response time is known."""
    record = TargetRecord("t", 1, "portal", "1.2.3.4:5", "a", slots, False)
    return Target(record, latency_s=latency_s, **fields)


def replay_burst(retry_s):
    """Replay callers that arrive together and return once; return how many are served.

    Parameters
    ----------
    retry_s : callable
        Returns the seconds after which a caller that is rejected at a time may return.
    """
    arrivals = [(0.001 * number, number, False) for number in range(CALLERS)]
    heapq.heapify(arrivals)
    busy_until: list[float] = []
    served = 0
    while arrivals:
        now, number, returned = heapq.heappop(arrivals)
        busy_until = [end for end in busy_until if end > now]
        if len(busy_until) < SLOTS:
            busy_until.append(now + SERVICE_S)
            served += 1
        elif not returned:
            heapq.heappush(arrivals, (now + retry_s(now), number, True))
    return served


def test_callers_rejected_together_do_not_return_together():
    """Guards against a burst that is rejected a second time.

    With the same wait for all, the callers return as close together as they came.
    """
    schedule = ReturnSchedule()
    rate = SLOTS / SERVICE_S
    spaced = replay_burst(lambda now: schedule.busy_retry_s("portal", rate, now))
    constant = replay_burst(lambda now: 0.1)
    assert spaced >= 0.98 * CALLERS
    assert spaced > constant


def test_callers_return_in_the_order_of_their_rejection():
    """Guards against a caller that is overtaken by those rejected later."""
    schedule = ReturnSchedule()
    returns = [0.01 * n + schedule.busy_retry_s("portal", 20.0, 0.01 * n) for n in range(10)]
    assert returns == sorted(returns)
    assert returns[-1] - returns[0] == pytest.approx(9 / (0.8 * 20.0))


def test_wait_is_limited_when_more_callers_wait_than_can_be_served():
    """Guards against a wait longer than the time that callers have."""
    schedule = ReturnSchedule()
    waits = [schedule.busy_retry_s("portal", 1.0, 0.0) for _ in range(10)]
    assert max(waits) == 2.0
    assert schedule.busy_retry_s("portal", 0.0, 0.0) == 2.0
    assert schedule.busy_retry_s("portal", 1.0, 60.0) == pytest.approx(0.1)


def test_rate_counts_the_share_of_this_process():
    """Guards against several gateways that each invite callers for the whole service."""
    alone = target(in_flight=6, load=LoadReport(6, 0, 6, 10.0))
    shared = target(in_flight=1, load=LoadReport(6, 8, 6, 10.0))
    failed = target(suspected_until=99.0)
    assert service_rate_per_s([alone], 10.1) == pytest.approx(120.0)
    assert service_rate_per_s([shared], 10.1) == pytest.approx(120.0 * 2 / 15)
    assert service_rate_per_s([shared], 99.1) == pytest.approx(120.0)
    assert service_rate_per_s([failed], 10.1) == 0.0


def test_wait_for_the_store_grows_with_its_silence():
    """Guards against callers that use up their retries early in a long outage."""
    waits = [outage_retry_s(age_s, 0.5) for age_s in (0.1, 2.0, 60.0)]
    assert waits == [0.5, 1.0, 2.0]
    assert outage_retry_s(60.0, 0.0) < outage_retry_s(60.0, 1.0) <= 2.5
