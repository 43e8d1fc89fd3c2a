"""Loads that targets report, and what is kept of a target for each of its items."""

import tracemalloc

import pytest

from tests.builders.targets import plain_target
from turmericreach.batches.scheduler import engine_state
from turmericreach.http1 import Headers
from turmericreach.platform import targets as wire
from turmericreach.services import TargetDirectory


@pytest.mark.parametrize("load", ["200000000,0,8", "0,9999999,8", "999999,999999,8", "9" * 400])
def test_absurd_load_takes_no_memory(load):
    """Guards against a gateway that exceeds its memory since a target reports many requests."""
    target = plain_target("e1")
    head = wire.read_response_head(200, Headers([("X-Server-Load", f"{load}")]))
    TargetDirectory().record_state(target, head, 0.0, 0.1)
    if head.load is not None:
        target.other_requests = head.load[0] + head.load[1]
    tracemalloc.start()
    state = engine_state(target, [], 0.2)
    assert tracemalloc.get_traced_memory()[1] < 100_000
    tracemalloc.stop()
    assert state.startable_slots() in (0, target.record.slots)


def test_groups_of_a_target_are_bounded_and_the_newest_are_kept():
    """Guards against memory and planning time that grow with each lot."""
    target = plain_target("e1")
    for number in range(2000):
        target.record_group(f"g{number}")
        target.record_group("used")
    assert len(target.groups) <= 512
    assert {"used", "g1999"} <= target.groups.keys()


def test_stamp_that_is_too_long_or_stands_twice_is_none():
    """Guards against scores that fill the memory, and against a head made of two."""
    for fields in ([("X-Server-Stamp", "s" * 2000)], [("X-Server-Stamp", "a")] * 2):
        assert wire.read_response_head(200, Headers(fields)).stamp == ""
    assert wire.read_response_head(200, Headers([("X-Server-Stamp", "a")])).stamp == "a"
