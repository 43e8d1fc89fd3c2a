"""The demo's checks detect each violation that they are meant for."""

import attrs
import pytest

from demo.callers import CallRecord
from demo.checks import check_orders, check_samples
from demo.deployments import DEPLOYMENTS
from demo.faults import Fault, parse_fault
from demo.trainers import Delivery, TrainerRun
from turmericreach.lots import Sample
from turmericreach.verdicts import Segment


def make_run(*samples, version=3):
    deployment = DEPLOYMENTS["silmalasi"]
    run = TrainerRun(deployment.trainers[0], deployment, None, ["p"], 2)
    run.expected = {"lot/0/0", "lot/0/1"}
    run.deliveries = [Delivery(sample, version) for sample in samples]
    return run


def make_sample(index=0, **changes):
    sample = Sample(f"lot/0/{index}", 0, index, "w2.aa w3.bb", 2, [Segment(2, 1), Segment(3, 1)])
    return attrs.evolve(sample, **changes)


def test_a_complete_lot_has_no_faults():
    """Guards against checks that report violations of a correct run."""
    assert check_samples([make_run(make_sample(0), make_sample(1))]) == []


@pytest.mark.parametrize(
    ("samples", "version", "expected"),
    [
        ([make_sample(0)], 3, "lost"),
        ([make_sample(0), make_sample(1), make_sample(1)], 3, "doubled"),
        ([make_sample(0), make_sample(1), make_sample(7)], 3, "unknown"),
        ([make_sample(0), make_sample(1, segments=[Segment(3, 2)])], 3, "mislabelled"),
        ([make_sample(0), make_sample(1)], 9, "handed over at 9"),
    ],
)
def test_each_fault_of_samples_is_reported(samples, version, expected):
    """Guards against a demo that passes despite this violation."""
    faults = check_samples([make_run(*samples, version=version)])
    assert any(expected in fault for fault in faults)


@pytest.mark.parametrize(
    ("record", "executions", "expected"),
    [
        (CallRecord("order", "r", False, "not_run"), 1, "but it ran"),
        (CallRecord("order", "r", False, "no_answer"), 2, "ran 2 times"),
        (
            CallRecord("stock", "r", True, "answered", complete=False),
            1,
            "response incomplete or for another request",
        ),
        (CallRecord("stock", "r", True, "may_have_run"), 1, "ended as may_have_run"),
    ],
)
def test_each_fault_of_requests_is_reported(record, executions, expected):
    """Guards against a demo that passes despite this violation."""
    faults = check_orders([record], {"r": executions})
    assert any(expected in fault for fault in faults)


def test_fault_syntax():
    """Guards against a fault option that is ignored because it is misspelled."""
    assert parse_fault("kill:gateway-1@2.5") == Fault("kill", "gateway-1", 2.5)
    with pytest.raises(ValueError, match="expected"):
        parse_fault("explode:gateway-1@2")
