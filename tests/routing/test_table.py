"""Tests of target selection with delayed reports, faults and load."""

import collections

import pytest

from tests.builders.routing import SERVICE, make_report, make_table, make_target
from turmericreach.routing import Choice, ChoiceRequest, Refusal
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

OK = Outcome(Verdict.ANSWERED, status=200)
UNREACHABLE = Outcome(Verdict.NOT_RUN, code="target_unreachable")
REQUEST = ChoiceRequest("assistant", expected_tokens=100)


def rollout(**fields):
    return ChoiceRequest("assistant", "rollout", expected_tokens=100, **fields)


def fail(table, target, now, outcome=UNREACHABLE, times=5):
    for index in range(times):
        table.on_sent(target, f"f{now}-{index}", "ordinary", now)
        table.on_ended(target, f"f{now}-{index}", outcome, 0.1, 0, now)


@pytest.mark.parametrize(
    ("make_unusable", "code"),
    [
        (lambda t: t.set_state("x", "leaving", 1.0), ErrorCode.NO_TARGET),
        (lambda t: t.set_state("x", "suspect", 1.0), ErrorCode.NO_TARGET),
        (lambda t: t.set_state("x", "gone", 1.0), ErrorCode.NO_TARGET),
        (lambda t: t.apply_report(make_report("x", 1.0, "leaving"), 1.0), ErrorCode.NO_TARGET),
        (lambda t: t.apply_report(make_report("x", 1.0, version=4), 1.0), ErrorCode.NOT_READY),
        (lambda t: t.configure([SERVICE], [make_target("x", drain=True)]), ErrorCode.NO_TARGET),
        (lambda t: t.configure([SERVICE], []), ErrorCode.NO_TARGET),
        (lambda t: t.configure([], []), ErrorCode.UNKNOWN_SERVICE),
        (lambda t: fail(t, "x", 1.0), ErrorCode.CIRCUIT_OPEN),
    ],
)
def test_unusable_target_is_never_chosen(make_unusable, code):
    """Guards against new requests to a target that is stopping, faulty or on old weights."""
    table = make_table(make_target("x"))
    request = ChoiceRequest("assistant", min_version=5)
    assert isinstance(table.choose(request, 1.0), Choice)
    make_unusable(table)
    refusal = table.choose(request, 1.5)
    assert isinstance(refusal, Refusal)
    assert refusal.code is code


def test_report_ends_suspicion_but_not_leaving():
    """Guards against a delayed report of the agent that ends an operator's drain."""
    table = make_table(make_target("x"))
    for state, report_at, usable in [
        ("suspect", 0.5, False), ("suspect", 2.0, True), ("leaving", 4.0, False),
        ("live", 4.0, True),
    ]:  # fmt: skip
        table.set_state("x", state, 1.0)
        table.apply_report(make_report("x", report_at), report_at)
        assert isinstance(table.choose(REQUEST, 5.0), Choice) is usable


def test_own_attempts_correct_a_delayed_report():
    """Guards against sending all requests to the target that was idle in the last report."""
    table = make_table(make_target("x"), make_target("y"))
    counts = collections.Counter()
    for index in range(8):
        target = table.choose(rollout(), 1.0).target
        table.on_sent(target, f"a{index}", "rollout", 1.0)
        counts[target] += 1
    assert counts == {"x": 4, "y": 4}


def test_outcome_load_is_fresher_than_the_report():
    """Guards against routing by an old report after a response carried a newer load."""
    table = make_table(make_target("x"), make_target("y"))
    table.on_sent("x", "a", "rollout", 1.0)
    table.on_ended("x", "a", Outcome(Verdict.ANSWERED, status=200, load=9), 1.0, 100, 2.0)
    table.apply_report(make_report("x", 1.5), 2.1)
    assert table.records["x"].estimated_load() == 9
    assert table.choose(rollout(), 2.1).target == "y"


def test_requests_follow_the_measured_speed():
    """Guards against slow engines that delay a lot by an equal share of its samples."""
    table = make_table(make_target("fast"), make_target("slow"))
    for name, latency_s in (("fast", 1.0), ("slow", 4.0)):
        for index in range(30):
            table.on_sent(name, f"{name}{index}", "rollout", index)
            table.on_ended(name, f"{name}{index}", OK, latency_s, 100, index)
    assert table.records["fast"].speed == pytest.approx(4 * table.records["slow"].speed, rel=0.05)
    counts = collections.Counter()
    for index in range(10):
        target = table.choose(rollout(), 40.0).target
        table.on_sent(target, f"n{index}", "rollout", 40.0)
        counts[target] += 1
    assert counts["fast"] >= 7


def test_measured_speed_survives_a_new_manifest_unless_the_back_end_changed():
    """Guards against a configuration change that discards every measured speed."""
    table = make_table(make_target("x"))
    table.on_sent("x", "a", "rollout", 0.0)
    table.on_ended("x", "a", OK, 1.0, 100, 1.0)
    table.configure([SERVICE], [make_target("x", slots=9)])
    assert table.records["x"].speed > 0
    table.configure([SERVICE], [make_target("x").__class__("x", "assistant", "a", "u", "other")])
    assert table.records["x"].speed == 0


def test_locality_yields_to_load():
    """Guards against traffic between regions when idle, and against an overloaded local target."""
    table = make_table(make_target("far", "c"), make_target("mid", "b"), make_target("near"))
    assert table.choose(ChoiceRequest("assistant"), 1.0).target == "near"
    table.apply_report(make_report("near", 1.0, running=4, waiting=8), 1.0)
    assert table.choose(ChoiceRequest("assistant"), 1.0).target == "mid"
    table.set_state("mid", "gone", 1.5)
    table.set_state("near", "gone", 1.5)
    assert table.choose(ChoiceRequest("assistant"), 1.6).target == "far"


def test_prefix_affinity_ends_with_load_age_and_version():
    """Guards against cache affinity that costs more waiting time than the prefill it saves."""
    request = rollout(prefix="p", prefix_tokens=2000)
    table = make_table(make_target("x"), make_target("y"))
    first = table.choose(request, 1.0).target
    other = {"x": "y", "y": "x"}[first]
    table.on_sent(first, "a", "rollout", 1.0)
    assert table.choose(request, 1.0).target == first
    table.apply_report(make_report(first, 2.0, running=4, waiting=40), 2.0)
    assert table.choose(request, 2.0).target == other
    table.prefixes.remove_target(other)
    table.apply_report(make_report(first, 3.0, running=1), 3.0)
    assert table.choose(request, 3.0).target == first
    table.apply_report(make_report(first, 4.0, running=1, version=6), 4.0)
    assert table.choose(request, 4.0).target == other
    assert table.prefixes.targets_with("p", 500.0) == []


def test_rollout_that_would_finish_late_is_not_started():
    """Guards against rollouts that run past their staleness bound."""
    table = make_table(make_target("x", speed=100.0))
    assert table.choose(rollout(latest_finish_at=3.0), 1.0).target == "x"
    assert table.choose(rollout(latest_finish_at=1.5), 1.0).code is ErrorCode.DEADLINE_EXCEEDED
    table.apply_report(make_report("x", 1.0, running=4, waiting=20), 1.0)
    assert table.choose(rollout(latest_finish_at=3.0), 1.0).code is ErrorCode.OVERLOADED


def test_overload_backs_off_one_class_without_opening_the_breaker():
    """Guards against rollouts rejected by a full queue that block ordinary requests."""
    table = make_table(make_target("x"))
    full = Outcome(Verdict.NOT_RUN, code="overloaded", retry_after_s=2.0, load=4)
    for index in range(20):
        table.on_sent("x", f"a{index}", "rollout", 1.0)
        table.on_ended("x", f"a{index}", full, 0.1, 0, 1.0)
    refusal = table.choose(rollout(), 1.5)
    assert (refusal.code, refusal.retry_after_s) == (ErrorCode.OVERLOADED, 1.5)
    assert table.choose(REQUEST, 1.5).target == "x"
    assert table.choose(rollout(), 3.0).target == "x"


def test_short_deadline_does_not_open_the_breaker():
    """Guards against one caller's very short deadlines that exclude a healthy target for all."""
    table = make_table(make_target("x"))
    table.on_sent("x", "a", "ordinary", 0.0)
    table.on_ended("x", "a", OK, 1.0, 0, 1.0)
    late = Outcome(Verdict.MAY_HAVE_RUN, code="deadline_exceeded")
    for index in range(10):
        table.on_sent("x", f"b{index}", "ordinary", 1.0)
        table.on_ended("x", f"b{index}", late, 0.001, 0, 1.0)
    assert table.choose(REQUEST, 1.0).target == "x"


def test_only_live_target_of_many_is_found():
    """Guards against a refusal because random sampling missed the few usable targets."""
    table = make_table(*(make_target(f"t{index}") for index in range(200)))
    for index in range(199):
        table.set_state(f"t{index}", "suspect", 1.0)
    assert table.choose(REQUEST, 1.0).target == "t199"
