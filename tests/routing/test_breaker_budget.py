"""Tests of outcome classification, circuit breakers and retry budgets."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from turmericreach.routing import (
    AttemptResult,
    BudgetPolicy,
    CircuitBreaker,
    RetryBudget,
    RetryCause,
    RetryCounts,
    classify,
    retry_cause,
)
from turmericreach.verdicts import Outcome, Verdict


@pytest.mark.parametrize(
    ("verdict", "code", "status", "result", "cause"),
    [
        ("answered", "", 404, "success", "unknown"),
        ("answered", "", 500, "failed", "unknown"),
        ("answered", "", 503, "overloaded", "overloaded"),
        ("not_run", "overloaded", 0, "overloaded", "overloaded"),
        ("not_run", "target_unreachable", 0, "not_sent", "not_sent"),
        ("not_run", "leaving", 0, "neutral", "refused"),
        ("not_run", "stale_incarnation", 0, "refused", "refused"),
        ("may_have_run", "target_unreachable", 0, "failed", "unknown"),
        ("may_have_run", "timeout", 0, "timed_out", "unknown"),
        ("may_have_run", "cancelled", 0, "neutral", "unknown"),
    ],
)
def test_causes(verdict, code, status, result, cause):
    """Guards against counting a retry after an unknown outcome as one after an unsent attempt."""
    outcome = Outcome(Verdict(verdict), code=code, status=status)
    assert (classify(outcome), retry_cause(outcome)) == (result, cause)


def test_open_time_grows_to_its_maximum():
    """Guards against probing a dead target constantly, and against never probing it again."""
    breaker = CircuitBreaker(threshold=1, open_s=1.0, max_open_s=4.0)
    breaker.on_ended("t", 1, "first", AttemptResult.FAILED, 0.0)
    assert breaker.allows("t", 2, 0.0)
    now = 0.0
    for open_s in (1.0, 2.0, 4.0, 4.0):
        assert breaker.retry_after_s("t", 1, now) == open_s
        now += open_s
        breaker.on_sent("t", 1, "probe", now)
        breaker.on_ended("t", 1, "probe", AttemptResult.NOT_SENT, now)


class BreakerMachine(RuleBasedStateMachine):
    """Compares the breaker with a simple reference model, including late and lost results."""

    def __init__(self):
        super().__init__()
        self.breaker = CircuitBreaker(threshold=3)
        self.now = 0.0
        self.sent = {}
        self.probes = set()
        self.streak = 0

    @rule(step=st.sampled_from([0.5, 1.0, 40.0]))
    def wait(self, step):
        self.now += step

    @rule()
    def send(self):
        if not self.breaker.allows("t", 1, self.now):
            return
        name = f"a{len(self.sent)}"
        was_open = self.is_open()
        self.breaker.on_sent("t", 1, name, self.now)
        self.sent[name] = True
        if was_open:
            self.probes = {name}
            assert not self.breaker.allows("t", 1, self.now)

    @rule(data=st.data(), result=st.sampled_from(list(AttemptResult)))
    def end(self, data, result):
        waiting = [name for name, open_ in self.sent.items() if open_]
        if not waiting:
            return
        name = data.draw(st.sampled_from(waiting))
        self.sent[name] = False
        was_open = self.is_open()
        self.breaker.on_ended("t", 1, name, result, self.now)
        if was_open:
            closed = name in self.probes and result is AttemptResult.SUCCESS
            assert self.is_open() is not closed
            self.streak = 0
            return
        self.streak = self.streak + 1 if result.is_failure else self.streak
        self.streak = 0 if result is AttemptResult.SUCCESS else self.streak
        assert self.is_open() is (self.streak >= 3)

    def is_open(self):
        return self.breaker.circuit("t", 1).open_s > 0

    @invariant()
    def wait_is_bounded(self):
        assert self.breaker.retry_after_s("t", 1, self.now) <= 60.0


TestBreakerMachine = BreakerMachine.TestCase
TestBreakerMachine.settings = settings(derandomize=True, max_examples=60, deadline=None)


def test_budget_limits_retries_in_a_fault():
    """Guards against retries that multiply the load while every attempt fails."""
    policy = BudgetPolicy(ratio=0.1, minimum_per_s=1.0, burst=5.0, per_request=2)
    budget = RetryBudget({RetryCause.UNKNOWN: policy}, now=0.0)
    allowed = sum(
        budget.try_acquire(RetryCause.UNKNOWN, RetryCounts(), n / 100) for n in range(1001)
    )
    assert 10 <= allowed <= 11
    for _ in range(1000):
        budget.on_success(10.0)
    counts = RetryCounts()
    assert [budget.try_acquire(RetryCause.UNKNOWN, counts, 10.0) for _ in range(3)] == [
        True,
        True,
        False,
    ]
    assert sum(budget.try_acquire(RetryCause.UNKNOWN, RetryCounts(), 10.0) for _ in range(50)) == 3


def test_request_has_a_limit_over_all_causes():
    """Guards against a request that uses the limit of each cause in turn."""
    budget = RetryBudget(max_retries=3)
    counts = RetryCounts()
    allowed = [budget.try_acquire(cause, counts, 100.0) for cause in list(RetryCause) * 2]
    assert sum(allowed) == 3
