"""Tests of the convergence of one target, including a stateful test with random faults."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from turmericreach.weights import (
    ACTIVATE,
    PREPARE,
    Action,
    ActionKind,
    ActionResult,
    FencingTokens,
    ResultKind,
    TargetConverger,
    WantedTable,
    WantedVersion,
    fencing_token,
)


class FakeEngine:
    """Engine that serves one version; `fencing` says whether it checks fencing tokens."""

    def __init__(self, fencing):
        self.fencing = fencing
        self.highest = 0
        self.actual = 1
        self.prepared = 0

    def run(self, action):
        if self.fencing and action.fencing < self.highest:
            return ActionResult(ResultKind.FENCED, fencing=self.highest)
        self.highest = max(self.highest, action.fencing)
        if action.kind is ActionKind.PREPARE:
            self.prepared = action.version
            return ActionResult(ResultKind.OK)
        if self.prepared != action.version:
            return ActionResult(ResultKind.FAILED)
        self.actual = action.version
        return ActionResult(ResultKind.OK)


class ConvergerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.engine = FakeEngine(fencing=True)
        self.converger = TargetConverger(FencingTokens(100))
        self.delayed_orders = []
        self.activated = 0

    def step(self, fault="none"):
        action = self.converger.next_action(self.now)
        if action.kind is ActionKind.WAIT:
            assert action.until > self.now
            self.now = action.until
            return
        if action.kind is ActionKind.READ:
            if fault == "none":
                self.converger.observe(self.engine.actual, self.engine.prepared, self.now)
            else:
                self.converger.on_action_result(action, ActionResult(ResultKind.LOST), self.now)
            return
        assert action.version >= self.converger.active
        assert 0 <= action.fencing < 2**63
        if action.kind is ActionKind.ACTIVATE:
            assert action.version >= self.activated
            self.activated = action.version
        self.converger.on_action_result(action, self.deliver(action, fault), self.now)

    def deliver(self, action, fault):
        if fault == "failed":
            return ActionResult(ResultKind.FAILED)
        if fault == "busy":
            return ActionResult(ResultKind.BUSY, retry_after_s=1.0)
        if fault == "late":
            self.delayed_orders.append(action)
            return ActionResult(ResultKind.LOST)
        result = self.engine.run(action)
        if fault == "elsewhere" and action.kind is ActionKind.ACTIVATE:
            self.engine.actual = action.version - 1
        return ActionResult(ResultKind.LOST) if fault == "lost" else result

    @rule(version=st.integers(-1, 8), phase=st.sampled_from([PREPARE, ACTIVATE]))
    def want(self, version, phase):
        previous = (self.converger.newest_wanted, self.converger.active)
        self.converger.raise_wanted(version, phase)
        assert (self.converger.newest_wanted, self.converger.active) >= previous

    @rule(version=st.integers(1, 8))
    def grant(self, version):
        self.converger.grant(version)

    @rule(fault=st.sampled_from(["none", "none", "lost", "late", "failed", "busy", "elsewhere"]))
    def act(self, fault):
        self.step(fault)

    @rule()
    def late_order_arrives(self):
        if self.delayed_orders:
            self.engine.run(self.delayed_orders.pop(0))

    @rule(fencing=st.booleans(), actual=st.integers(0, 12))
    def engine_restarts(self, fencing, actual):
        highest = self.engine.highest
        self.engine = FakeEngine(fencing)
        self.engine.highest = highest
        self.engine.actual = actual

    @rule(seen=st.integers(0, 2**40))
    def engine_saw_another_number(self, seen):
        self.engine.highest = max(self.engine.highest, seen)

    @rule()
    def agent_restarts(self):
        old = self.converger
        self.converger = TargetConverger(FencingTokens(old.fencing_tokens.start + 1))
        self.converger.raise_wanted(old.newest_wanted, PREPARE)
        self.converger.raise_wanted(old.active, ACTIVATE)

    def teardown(self):
        while self.delayed_orders:
            self.engine.run(self.delayed_orders.pop())
        end_time = self.now + 40.0
        while self.now < end_time:
            self.step()
        assert self.engine.actual >= self.converger.active
        assert self.converger.is_converged()
        assert self.converger.eligible_version() == self.engine.actual


TestConverger = ConvergerMachine.TestCase
TestConverger.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)


def test_version_above_the_wanted_one_is_reported_and_left():
    """Guards against an order that moves an engine to a lower version."""
    converger = TargetConverger(FencingTokens(1))
    converger.raise_wanted(5, ACTIVATE)
    converger.observe(9, 9, 0.0)
    assert converger.ahead == 9
    assert converger.next_action(0.0).kind is ActionKind.WAIT
    converger.raise_wanted(4, ACTIVATE)
    assert converger.active == 5


def test_failures_back_off_up_to_the_cap():
    """Guards against orders in quick succession to an engine that fails to swap versions."""
    converger = TargetConverger(FencingTokens(1))
    converger.raise_wanted(5, ACTIVATE)
    now, orders = 0.0, 0
    while now < 60.0:
        action = converger.next_action(now)
        if action.kind is ActionKind.WAIT:
            now = action.until
        elif action.kind is ActionKind.READ:
            converger.observe(1, 5, now)
        else:
            orders += 1
            converger.on_action_result(action, ActionResult(ResultKind.OK), now)
    assert 5 <= orders <= 15


@pytest.mark.parametrize(("low", "high"), [((1, 2**32 - 1), (2, 0)), ((2, 7), (2, 8))])
def test_fencing_tokens_are_monotone(low, high):
    """Guards against a fencing token that decreases when the agent restarts."""
    assert fencing_token(*low) < fencing_token(*high) < 2**63


@pytest.mark.parametrize("seen", [fencing_token(5, 900), fencing_token(8, 1), 2**62])
def test_engine_that_has_seen_a_higher_number(seen):
    """Guards against an engine that rejects all orders after its host's clock stepped back."""
    converger = TargetConverger(FencingTokens(1))
    converger.raise_wanted(5, ACTIVATE)
    engine = FakeEngine(fencing=True)
    engine.highest = seen
    now = 0.0
    while now < 20.0:
        action = converger.next_action(now)
        if action.kind is ActionKind.WAIT:
            now = action.until
        elif action.kind is ActionKind.READ:
            converger.observe(engine.actual, engine.prepared, now)
        else:
            converger.on_action_result(action, engine.run(action), now)
    assert engine.actual == 5
    assert converger.eligible_version() == 5


def test_unprepared_version_needs_a_grant_before_activation():
    """Guards against all targets downloading from the weight store at once."""
    converger = TargetConverger(FencingTokens(1))
    converger.raise_wanted(5, PREPARE)
    converger.observe(1, 0, 0.0)
    assert converger.next_action(0.0).kind is ActionKind.WAIT
    converger.grant(5, until=-1.0)
    assert converger.next_action(0.0).kind is ActionKind.WAIT
    converger.grant(5, until=1.0)
    assert converger.next_action(0.0) == Action(ActionKind.PREPARE, 5, fencing_token(5, 1))


def test_activated_version_is_prepared_without_a_rollout_duty_after_a_while():
    """Guards against targets that all download at activation, or never without a grant."""
    converger = TargetConverger(FencingTokens(1))
    converger.raise_wanted(5, ACTIVATE)
    converger.observe(1, 0, 0.0)
    assert converger.next_action(0.0).kind is ActionKind.WAIT
    converger.observe(1, 0, 6.0)
    assert converger.next_action(6.0).kind is ActionKind.PREPARE


def test_wanted_table_keeps_the_activated_version_beside_a_newer_one():
    """Guards against losing an activation when the next version is announced."""
    table = WantedTable()
    rows = [WantedVersion("m", 2, ACTIVATE), WantedVersion("m", 3), WantedVersion("m", 1, ACTIVATE)]
    assert table.merge(rows) == rows[:2]
    assert table.rows() == rows[:2]
    other = WantedTable()
    other.merge(table.missing_from(other.rows()))
    assert other.rows() == table.rows()
    assert table.missing_from(other.rows()) == []
