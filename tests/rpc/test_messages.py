"""Conversion of messages to the inner protocol and back."""

import pytest

from turmericreach.rpc import Attempt
from turmericreach.rpc.messages import (
    build_outcome,
    fill_attempt,
    inner,
    read_attempt,
    read_outcome,
)
from turmericreach.verdicts import Outcome, Segment, Verdict


def test_attempt_survives_the_wire():
    """Guards against a field that is written but not read, or lost in transit."""
    attempt = Attempt(
        "r1", "a1", "t1", 2**63 - 1, 1500, False, "scoring", "POST", "/x?y=1", [("A", "b")],
        b"\0\xff", True, "lot-1", "trainer-1", 7, 300,
    )  # fmt: skip
    builder = inner.Attempt.new_message()
    fill_attempt(builder, attempt)
    assert read_attempt(builder.as_reader()) == attempt


@pytest.mark.parametrize("verdict", list(Verdict))
def test_outcome_survives_the_wire(verdict):
    """Guards against a verdict that changes its meaning between two daemons."""
    outcome = Outcome(
        verdict, "leaving", 503, [("Retry-After", "1")], b"body",
        [Segment(3, 10), Segment(4, 2)], 0.25, "agent a1: leaving", 5,
    )  # fmt: skip
    assert read_outcome(build_outcome(outcome).as_reader()) == outcome
