"""When a target is suspected after a failed request, and when a request is lost."""

import pytest

from tests.builders.targets import plain_target
from turmericreach.services import TargetDirectory, has_lost_request, should_suspect

NOW = 100.0


def target(failure_share=0.0, responded_s_ago=0.0):
    """Return a target that responded the given number of seconds ago."""
    made = plain_target("t")
    made.failure_share = failure_share
    made.last_response_at = NOW - responded_s_ago
    return made


def test_target_that_responds_to_no_request_is_suspected_at_once():
    """Guards against more requests to a target that has failed."""
    assert should_suspect(target(responded_s_ago=0.5), [target()], NOW)
    assert should_suspect(target(responded_s_ago=1000.0), [], NOW)


def test_target_that_fails_as_often_as_its_peers_stays_in_use():
    """Guards against avoiding all targets of a service while single responses are lost."""
    peers = [target(0.15), target(0.1), target(0.2)]
    assert not should_suspect(target(0.25), peers, NOW)


@pytest.mark.parametrize("failures", [2, 5])
def test_target_that_fails_more_often_than_its_peers_is_suspected(failures):
    """Guards against using a target that fails many requests while it responds to others."""
    failing = target()
    for _ in range(failures):
        failing.record_outcome(failed=True)
    assert should_suspect(failing, [target(), target(0.02)], NOW)


def test_single_failure_of_a_responding_target_does_not_matter():
    """Guards against avoiding an engine at peak load because of one closed connection."""
    failing = target()
    failing.record_outcome(failed=True)
    assert not should_suspect(failing, [target()], NOW)


@pytest.mark.parametrize(
    ("waited_s", "responded_s_ago", "first_event_s", "expected"),
    [
        (1.3, 0.02, 0.05, True),
        (1.1, 0.02, 0.05, False),
        # The engine may be loading weights.
        (2.9, 0.5, 0.05, False),
        # First events usually take long at this engine, for example because of long prompts.
        (1.3, 0.02, 0.4, False),
        (3.3, 0.02, 0.4, True),
    ],
)
def test_request_without_an_event_is_lost(waited_s, responded_s_ago, first_event_s, expected):
    """Guards against waiting for a lost response, and against leaving a loading engine."""
    engine = target(responded_s_ago=responded_s_ago)
    engine.first_event_s = first_event_s
    assert has_lost_request(engine, waited_s, NOW) is expected


def test_response_ends_the_suspicion_of_an_engine_that_paused():
    """Guards against an engine that is avoided for seconds after it has loaded weights."""
    directory = TargetDirectory()
    directory.update(target().record)
    engine = directory.targets["t"]
    directory.record_failure(engine, "no event in time", 3.0, NOW)
    assert engine.is_suspected(NOW + 0.1)
    directory.record_success(engine, NOW + 0.2)
    assert not engine.is_suspected(NOW + 0.3)


def test_response_does_not_end_the_suspicion_of_a_target_that_fails_often():
    """Guards against using a target that responds only to every other request."""
    directory = TargetDirectory()
    directory.update(target().record)
    engine = directory.targets["t"]
    for number in range(3):
        directory.record_success(engine, NOW + number)
        directory.record_failure(engine, "connection lost", 3.0, NOW + number)
    directory.record_success(engine, NOW + 3)
    assert engine.is_suspected(NOW + 3.1)
