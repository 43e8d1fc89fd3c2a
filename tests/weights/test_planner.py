"""Tests of the planner of weight updates of one model."""

import attrs
import pytest

from turmericreach.manifest.schema import ModelSpec
from turmericreach.weights import ACTIVATE, RolloutPlanner, TargetProgress, WantedVersion

MODEL = ModelSpec("m", prepared_share=0.9, activate_after_s=30.0, prepare_concurrency=4)


def roll_out(planners, count=20, frozen=(), version=5, seconds=60):
    """Return the second of the activation and the maximum number of concurrent downloads."""
    targets = {f"t{n}": TargetProgress(f"t{n}") for n in range(count)}
    most = 0
    for planner in planners:
        planner.raise_wanted(WantedVersion("m", version), 0.0)
    for second in range(seconds):
        plans = [planner.plan(targets.values(), float(second)) for planner in planners]
        granted = {grant.target for plan in plans for grant in plan.grants}
        most = max(most, len(granted))
        rows = [plan.activate for plan in plans if plan.activate]
        if rows:
            assert {row.version for row in rows} == {version}
            return second, most
        for name in granted.difference(frozen):
            targets[name] = attrs.evolve(targets[name], prepared=version)
    return None, most


@pytest.mark.parametrize(
    ("frozen", "second"),
    [((), 5), (("t0",), 7), ([f"t{n}" for n in range(10)], 30)],
)
def test_activation_by_share_or_by_time(frozen, second):
    """Guards against a frozen agent that blocks an update, and against too many downloads."""
    activated, most = roll_out([RolloutPlanner(MODEL)], frozen=frozen)
    assert activated <= second
    assert most <= 4


def test_two_planners_are_harmless():
    """Guards against conflicting activations while two processes hold the rollout duty."""
    activated, most = roll_out([RolloutPlanner(MODEL), RolloutPlanner(MODEL)])
    assert activated <= 5
    assert most <= 8


def test_newer_version_supersedes_one_that_is_not_active():
    """Guards against downloads of a version that is no longer needed."""
    planner = RolloutPlanner(MODEL)
    targets = [TargetProgress(f"t{n}") for n in range(8)]
    planner.raise_wanted(WantedVersion("m", 5), 0.0)
    planner.plan(targets, 0.0)
    planner.raise_wanted(WantedVersion("m", 6), 1.0)
    planner.raise_wanted(WantedVersion("m", 5, ACTIVATE), 1.5)
    plan = planner.plan(targets, 2.0)
    assert {grant.version for grant in plan.grants} == {6}
    assert plan.activate is None
    assert planner.plan(targets, 31.5).activate.version == 6


def test_store_refusals_pause_the_grants():
    """Guards against further downloads while the weight store is rate limiting."""
    planner = RolloutPlanner(MODEL)
    targets = [TargetProgress(f"t{n}") for n in range(8)]
    planner.raise_wanted(WantedVersion("m", 5), 0.0)
    planner.on_store_refusal(0.0)
    planner.on_store_refusal(0.1)
    assert planner.plan(targets, 0.4).grants == []
    assert len(planner.plan(targets, 0.6).grants) == 4
    planner.on_store_refusal(6.0, retry_after_s=9.0)
    assert planner.plan(targets, 14.0).grants == []
    assert len(planner.plan(targets, 15.0).grants) == 4
