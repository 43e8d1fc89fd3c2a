"""Configuration state: never lower, start-up, contradictions, confirmation."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turmericreach.config import (
    Accepted,
    ConfigState,
    Confirmation,
    Contradiction,
    Ignored,
    Revision,
    Source,
)

OFFERS = st.tuples(st.integers(0, 5), st.sampled_from("xy"), st.sampled_from(list(Source)))


@settings(derandomize=True)
@given(st.lists(OFFERS, max_size=30))
def test_configuration_never_reverts(offers):
    """Guards against a lower generation, or a peer's that replaces the platform's."""
    state = ConfigState(0.0)
    platform = {}
    for now, (generation, change, source) in enumerate(offers):
        # The platform gives a generation to one change only.
        if source is Source.PLATFORM:
            change = platform.setdefault(generation, change)
        before, was_platform = state.generation, state.source is Source.PLATFORM
        old = state.revision
        answer = state.offer(Revision(generation, change), source, now)
        assert state.generation == max(before, generation)
        assert isinstance(answer, Accepted) == (generation > before)
        if was_platform and state.generation == before:
            assert state.revision == old
        if state.generation and state.source is Source.PLATFORM:
            assert state.revision.change_id == platform[state.generation]


def test_contradiction_is_settled_by_the_platform():
    """Guards against two halves of the fleet that keep different manifests of one generation."""
    state = ConfigState(0.0)
    state.offer(Revision(4, "x"), Source.PEER, 0.0)
    answer = state.offer(Revision(4, "y"), Source.PLATFORM, 1.0)
    assert answer == Contradiction(Revision(4, "y"), Revision(4, "x"), True)
    assert state.offer(Revision(4, "x"), Source.PEER, 2.0).replaced is False
    assert state.offer(Revision(4, "y"), Source.PEER, 2.0) == Ignored(4)
    assert state.in_force_report()["change_id"] == "y"


@pytest.mark.parametrize(
    ("down", "peers", "held", "now", "ready"),
    [
        (False, {"p": 3}, 3, 10, False),  # the platform may still answer
        (True, {}, 3, 10, False),  # a lone first daemon
        (True, {"p": 0}, 0, 10, False),  # peers that know nothing either
        (True, {"p": 3, "q": 4}, 3, 10, False),  # the highest is not received yet
        (True, {"p": 3, "q": 4}, 4, 1, False),  # others may answer
        (True, {"p": 3, "q": 4}, 4, 10, True),
    ],
)
def test_start_without_platform(down, peers, held, now, ready):
    """Guards against a daemon that serves by an old manifest after its start."""
    state = ConfigState(0.0)
    if down:
        state.note_platform_down()
    for name, generation in peers.items():
        state.note_peer(name, generation)
    if held:
        state.offer(Revision(held, "x"), Source.PEER, 0.0)
    assert state.ready(now).ready is ready
    state.offer(Revision(9, "z"), Source.PLATFORM, now)
    assert state.ready(now).ready
    assert state.ready(now).learned_from == ("peers" if ready else "platform")


def test_platform_that_is_behind_its_peers():
    """Guards against serving by the old copy from which a platform was restored."""
    state = ConfigState(0.0)
    state.note_peer("p", 5)
    assert state.offer(Revision(4, "w"), Source.PLATFORM, 0.0).revision.generation == 4
    assert not state.ready(9.0).ready
    state.offer(Revision(5, "x"), Source.PEER, 9.0)
    assert state.offer(Revision(4, "w"), Source.PLATFORM, 9.0) == Ignored(5)
    assert state.ready(9.0).learned_from == "peers"


def test_confirmation_names_the_daemons_that_lag():
    """Guards against `apply --wait` that returns too early or waits for nobody."""
    assert Confirmation.from_generations(3, {"a": 3, "b": 2, "c": 4}).missing == ["b"]
    assert Confirmation.from_generations(3, {"a": 3, "c": 4}).complete
    assert not Confirmation.from_generations(3, {}).complete
