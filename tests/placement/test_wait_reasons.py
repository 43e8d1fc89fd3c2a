"""Reasons for which items wait although an engine has a free slot."""

import pytest

from tests.placement.test_engines import engine, waiting
from turmericreach.placement.engines import EngineState, restrict_versions
from turmericreach.placement.wait_reasons import WaitReason, wait_reason


def reason_of(item, engines, division=None, held_back=False):
    """Return the reason of an item, with engines divided as they are for a decision."""
    divided = restrict_versions([item], engines, division or {})
    return wait_reason(item, engines, divided, held_back)


@pytest.mark.parametrize(
    ("expected", "engines"),
    [
        (WaitReason.NO_SERVICE, []),
        (WaitReason.NO_ENGINE, [EngineState("e", 8, (), {"other": 3})]),
        (WaitReason.OLD_VERSION, [EngineState("e", 8, (), {"m": 0, "other": 3})]),
        (WaitReason.LOADING, [engine("e", ready_in_s=0.5)]),
        (WaitReason.NO_PERMIT, [engine("e", permits=0)]),
        (WaitReason.SUSPECTED, [engine("e", suspected=True)]),
        (WaitReason.PLANNED, [engine("e")]),
        (None, [engine("e", slots=1, busy=[1.0])]),
    ],
)
def test_each_cause_has_a_reason_of_its_own(expected, engines):
    """Guards against a log line that does not tell one cause of a wait from another."""
    item = waiting("i", min_version=1)
    if expected is WaitReason.OLD_VERSION:
        engines = [EngineState("e", 8, (), {"m": 1})]
        item = waiting("i", min_version=2)
    assert reason_of(item, engines) is expected


def test_engines_of_another_model_and_rejections_are_told_apart():
    """Guards against a closed engine that is taken for one that has rejected the item."""
    engines = [engine("own", slots=1, busy=[1.0]), engine("foreign")]
    item = waiting("i")
    division = {"own": "m", "foreign": "other"}
    assert reason_of(item, engines, division) is WaitReason.DIVISION
    rejected = waiting("i", excluded_s={"foreign": 0.1})
    assert reason_of(rejected, engines, division) is WaitReason.REJECTED
    assert reason_of(item, engines, held_back=True) is WaitReason.SCORERS
