"""Tests of the configuration state: monotonic generations, start-up, conflicts, confirmation."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turmericreach.config import (
    Accepted,
    ConfigState,
    Confirmation,
    Ignored,
    Revision,
    RevisionConflict,
    Source,
)

OFFERS = st.tuples(st.integers(0, 5), st.sampled_from("xy"), st.sampled_from(list(Source)))


@settings(derandomize=True)
@given(st.lists(OFFERS, max_size=30))
def test_configuration_never_reverts(offers):
    """Guards against a lower generation, and a peer's revision replacing the platform's."""
    state = ConfigState(0.0)
    platform = {}
    for now, (generation, change, source) in enumerate(offers):
        # The platform assigns each generation to only one change.
        if source is Source.PLATFORM:
            change = platform.setdefault(generation, change)
        before, was_platform = state.generation, state.source is Source.PLATFORM
        former = state.revision
        result = state.apply_revision(Revision(generation, change), source, now)
        assert state.generation == max(before, generation)
        assert isinstance(result, Accepted) == (generation > before)
        if was_platform and state.generation == before:
            assert state.revision == former
        if state.generation and state.source is Source.PLATFORM:
            assert state.revision.change_id == platform[state.generation]


def test_platform_resolves_a_revision_conflict():
    """Guards against daemons that keep different manifests of the same generation."""
    state = ConfigState(0.0)
    state.apply_revision(Revision(4, "x"), Source.PEER, 0.0)
    result = state.apply_revision(Revision(4, "y"), Source.PLATFORM, 1.0)
    assert result == RevisionConflict(Revision(4, "y"), Revision(4, "x"), True)
    assert state.apply_revision(Revision(4, "x"), Source.PEER, 2.0).replaced is False
    assert state.apply_revision(Revision(4, "y"), Source.PEER, 2.0) == Ignored(4)
    assert state.in_force_report()["change_id"] == "y"


@pytest.mark.parametrize(
    ("unavailable", "peers", "received", "now", "ready"),
    [
        (False, {"p": 3}, 3, 10, False),  # the platform may still respond
        (True, {}, 3, 10, False),  # no peer has responded
        (True, {"p": 0}, 0, 10, False),  # peers without a configuration
        (True, {"p": 3, "q": 4}, 3, 10, False),  # the highest generation is not received yet
        (True, {"p": 3, "q": 4}, 4, 1, False),  # other peers may still respond
        (True, {"p": 3, "q": 4}, 4, 10, True),
    ],
)
def test_start_without_platform(unavailable, peers, received, now, ready):
    """Guards against a daemon that serves with an outdated manifest after its start."""
    state = ConfigState(0.0)
    if unavailable:
        state.record_platform_unavailable()
    for name, generation in peers.items():
        state.record_peer(name, generation)
    if received:
        state.apply_revision(Revision(received, "x"), Source.PEER, 0.0)
    assert state.ready(now).ready is ready
    state.apply_revision(Revision(9, "z"), Source.PLATFORM, now)
    assert state.ready(now).ready
    assert state.ready(now).learned_from == ("peers" if ready else "platform")


def test_platform_with_a_lower_generation_than_its_peers():
    """Guards against serving with the old manifest of a platform restored from a backup."""
    state = ConfigState(0.0)
    state.record_peer("p", 5)
    assert state.apply_revision(Revision(4, "w"), Source.PLATFORM, 0.0).revision.generation == 4
    assert not state.ready(9.0).ready
    state.apply_revision(Revision(5, "x"), Source.PEER, 9.0)
    assert state.apply_revision(Revision(4, "w"), Source.PLATFORM, 9.0) == Ignored(5)
    assert state.ready(9.0).learned_from == "peers"


def test_confirmation_names_the_daemons_with_a_lower_generation():
    """Guards against `apply --wait` returning too early, or succeeding without any daemon."""
    assert Confirmation.from_generations(3, {"a": 3, "b": 2, "c": 4}).missing == ["b"]
    assert Confirmation.from_generations(3, {"a": 3, "c": 4}).complete
    assert not Confirmation.from_generations(3, {}).complete
