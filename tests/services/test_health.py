"""When a failed request speaks against its target."""

import pytest

from tests.builders.targets import plain_target
from turmericreach.services import TargetDirectory, has_lost_request, speaks_against

NOW = 100.0


def target(failure_share=0.0, answered_s_ago=0.0):
    """Return a target that answered a while ago."""
    made = plain_target("t")
    made.failure_share = failure_share
    made.answered_at = NOW - answered_s_ago
    return made


def test_target_that_answers_nobody_is_avoided_at_once():
    """Guards against more requests for a target that is gone."""
    assert speaks_against(target(answered_s_ago=0.5), [target()], NOW)
    assert speaks_against(target(answered_s_ago=1000.0), [], NOW)


def test_target_that_fails_as_often_as_its_peers_stays_in_use():
    """Guards against a service whose slots are all avoided while single answers are lost."""
    peers = [target(0.15), target(0.1), target(0.2)]
    assert not speaks_against(target(0.25), peers, NOW)


@pytest.mark.parametrize("failures", [2, 5])
def test_target_that_fails_more_often_than_its_peers_is_avoided(failures):
    """Guards against a target in use that fails many requests and answers the others."""
    failing = target()
    for _ in range(failures):
        failing.note_outcome(failed=True)
    assert speaks_against(failing, [target(), target(0.02)], NOW)


def test_single_failure_of_a_target_that_answers_others_is_forgiven():
    """Guards against an engine left out at the peak for one closed connection."""
    failing = target()
    failing.note_outcome(failed=True)
    assert not speaks_against(failing, [target()], NOW)


@pytest.mark.parametrize(
    ("waited_s", "answered_s_ago", "first_event_s", "expected"),
    [
        (1.3, 0.02, 0.05, True),
        (1.1, 0.02, 0.05, False),
        # It may be loading weights.
        (2.9, 0.5, 0.05, False),
        # Long prompts are usual there.
        (1.3, 0.02, 0.4, False),
        (3.3, 0.02, 0.4, True),
    ],
)
def test_request_without_an_event_is_lost(waited_s, answered_s_ago, first_event_s, expected):
    """Guards against waiting for a lost answer, and against leaving an engine that loads."""
    engine = target(answered_s_ago=answered_s_ago)
    engine.first_event_s = first_event_s
    assert has_lost_request(engine, waited_s, NOW) is expected


def test_answer_ends_the_suspicion_of_a_silent_engine():
    """Guards against an engine that is left out for seconds after it has loaded weights."""
    directory = TargetDirectory()
    directory.update(target().record)
    engine = directory.targets["t"]
    directory.note_failure(engine, "no event in time", 3.0, NOW)
    assert engine.is_suspect(NOW + 0.1)
    directory.note_success(engine, NOW + 0.2)
    assert not engine.is_suspect(NOW + 0.3)


def test_answer_does_not_end_the_suspicion_of_a_target_that_fails_often():
    """Guards against a target that answers every other request only."""
    directory = TargetDirectory()
    directory.update(target().record)
    engine = directory.targets["t"]
    for number in range(3):
        directory.note_success(engine, NOW + number)
        directory.note_failure(engine, "connection lost", 3.0, NOW + number)
    directory.note_success(engine, NOW + 3)
    assert engine.is_suspect(NOW + 3.1)
