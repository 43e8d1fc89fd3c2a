"""Guards against an attempt table that returns NOT_RUN for what ran or may still run."""

import pytest

from tests.builders.attempts import make_attempt
from turmericreach.attempts import AttemptState, AttemptTable, DuplicateAttempt
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

RESPONSE = Outcome(Verdict.ANSWERED, status=200, body=b"done")
NOT_RUN, MAY, ANSWERED = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.ANSWERED


def bring_to_stage(table, stage):
    """Bring attempt a1 to a stage; ``streamed`` is done without a stored response."""
    if stage == "unknown":
        return
    entry = table.accept(make_attempt(), 0.0)
    if stage == "queued":
        return
    if stage == "revoked":
        table.settle("a1", 1, 10_000, 0.0)
        return
    assert table.start(entry, 1.0) is None
    if stage == "started":
        return
    table.finish(entry, RESPONSE, response_stored=stage != "streamed")


# Stage, time of the settlement in seconds, and its verdict. The deadline is at 10 s.
SETTLEMENTS = [
    ("unknown", 1.0, NOT_RUN),
    ("unknown", 69.0, NOT_RUN),
    ("unknown", 70.0, MAY),
    ("queued", 1.0, NOT_RUN),
    ("revoked", 60.0, NOT_RUN),
    ("revoked", 3609.0, NOT_RUN),
    ("revoked", 3611.0, MAY),
    ("started", 1.0, MAY),
    ("started", 5000.0, MAY),
    ("done", 9.0, ANSWERED),
    ("done", 3600.0, ANSWERED),
    ("done", 3611.0, MAY),
    ("streamed", 9.0, MAY),
]


@pytest.mark.parametrize(("stage", "now", "verdict"), SETTLEMENTS)
@pytest.mark.parametrize("twice", [False, True])
def test_settlement_at_each_stage(stage, now, verdict, twice):
    """Guards against a wrong verdict of a settlement, also of a repeated one, at any stage."""
    table = AttemptTable("a", 1)
    bring_to_stage(table, stage)
    for _ in range(2 if twice else 1):
        table.expire(now)
        found = table.settle("a1", 1, 10_000, now)
        outcome = found if isinstance(found, Outcome) else table.result(found)
        assert outcome.verdict is verdict


@pytest.mark.parametrize("stage", ["unknown", "queued", "revoked", "started", "done", "streamed"])
def test_settlement_of_a_former_incarnation_is_unknown(stage):
    """Guards against a verdict on attempts that a former incarnation may have run."""
    table = AttemptTable("a", 1)
    bring_to_stage(table, stage)
    assert table.settle("a1", 7, 10_000, 1.0).verdict is MAY


@pytest.mark.parametrize("stage", ["queued", "revoked", "started", "done", "streamed"])
def test_duplicate_submission_does_not_run_again(stage):
    """Guards against a second run when a submission arrives twice."""
    table = AttemptTable("a", 1)
    bring_to_stage(table, stage)
    with pytest.raises(DuplicateAttempt):
        table.accept(make_attempt(), 2.0)


@pytest.mark.parametrize(
    ("changes", "now", "verdict", "code"),
    [
        ({"incarnation": 2}, 1.0, NOT_RUN, ErrorCode.STALE_INCARNATION),
        ({}, 10.0, NOT_RUN, ErrorCode.DEADLINE_EXCEEDED),
        # An earlier copy of the message may have run, and its entry would have expired.
        ({}, 70.0, MAY, ErrorCode.DEADLINE_EXCEEDED),
        ({"deadline_ms": 4_000_000}, 1.0, NOT_RUN, ErrorCode.BAD_REQUEST),
    ],
)
def test_submission_that_must_not_run_is_refused(changes, now, verdict, code):
    """Guards against a run past its deadline or addressed to another incarnation."""
    table = AttemptTable("a", 1)
    outcome = table.accept(make_attempt(**changes), now)
    assert (outcome.verdict, outcome.code) == (verdict, code)


def test_revoked_attempt_never_starts():
    """Guards against a run after a settlement has reported NOT_RUN."""
    table = AttemptTable("a", 1)
    entry = table.accept(make_attempt(), 0.0)
    table.settle("a1", 1, 10_000, 1.0)
    assert table.start(entry, 2.0).verdict is NOT_RUN
    assert entry.state is AttemptState.REVOKED


def test_attempt_does_not_start_after_its_deadline():
    """Guards against a run that starts when its caller no longer waits."""
    table = AttemptTable("a", 1)
    entry = table.accept(make_attempt(), 0.0)
    assert table.start(entry, 10.0).code == ErrorCode.DEADLINE_EXCEEDED


def test_entries_of_running_attempts_never_expire():
    """Guards against a running attempt that is no longer counted, so that a stop interrupts it."""
    table = AttemptTable("a", 1)
    bring_to_stage(table, "started")
    table.expire(1e9)
    assert table.in_flight() == 1
