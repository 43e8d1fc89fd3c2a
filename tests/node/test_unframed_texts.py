"""Texts in responses without a length, whose end is that of their connection."""

import pytest

from tests.builders.fleet_world import item, submission

WHOLE = [f"i1-{number}" for number in range(1, 6)]


async def read_text(world, gateway):
    """Run a lot of one item and return its text."""
    assert await world.submit(gateway, "lot1", submission([item("i1")])) == 202
    [result] = await world.read_all(gateway, "lot1", 1)
    assert result["state"] == "completed"
    return result["text"].split("\n")


@pytest.mark.parametrize("events", [1, 3])
@pytest.mark.parametrize("others_unframed", [False, True])
async def test_text_cut_by_the_death_of_its_engine_is_completed(world, events, others_unframed):
    """Guards against a text that is listed as completed although its engine was killed.

    Review 12: a killed process closes its connections as a whole response without a length does.
    """
    for name in ("e1", "e2"):
        world.targets[name].faults.unframed = True
        world.targets[name].event_s = 0.02
        world.targets[name].faults.crash_after_events = events
    await world.add_target("e3", "engines", models={"m0": 1}, slots=1)
    world.targets["e3"].faults.unframed = others_unframed
    gateway = await world.add_gateway("g1")
    assert await read_text(world, gateway) == WHOLE


async def test_whole_text_without_a_length_is_completed(world):
    """Guards against an item that is run again without end, since its end is never confirmed."""
    for name in ("e1", "e2"):
        world.targets[name].faults.unframed = True
    gateway = await world.add_gateway("g1")
    assert await read_text(world, gateway) == WHOLE
    assert sum(len(world.targets[name].runs) for name in ("e1", "e2")) == 2


async def test_engine_that_dies_at_the_confirmation_confirms_nothing(world):
    """Guards against a killed engine whose empty response confirms the end of a cut text."""
    for name in ("e1", "e2"):
        world.targets[name].faults.unframed = True
        world.targets[name].event_s = 0.02
        world.targets[name].faults.crash_after_events = 2 if name == "e1" else 0
    world.targets["e2"].slots = 1
    gateway = await world.add_gateway("g1")
    await world.add_target("e3", "engines", models={"m0": 1}, slots=1)
    assert await read_text(world, gateway) == WHOLE
