"""Progress of items and records of lots that a process keeps in memory."""

import asyncio

import pytest

from tests.builders.fleet_world import eventually, item, submission
from turmericreach.batches.model import Progress


@pytest.fixture
async def gateway(world):
    return await world.add_gateway("g1")


async def test_text_of_an_ended_lot_is_reused_for_the_same_items(world, gateway):
    """Guards against generating text again that an earlier lot already has."""
    for name in ("e1", "e2"):
        world.targets[name].event_s = 0.05
        world.targets[name].events = 30
    await world.submit(gateway, "lot1", submission([item("i1")]))
    await asyncio.sleep(0.6)
    await world.call(gateway, "DELETE", "/api/lots/lot1")
    await eventually(lambda: "i1" in gateway.registry.cached_progress)
    assert len(gateway.registry.cached_progress["i1"].events) > 3
    await world.submit(gateway, "lot2", submission([item("i1")], step=1))
    [result] = await world.read_all(gateway, "lot2", 1)
    assert result["text"].split("\n") == [f"i1-{number}" for number in range(1, 31)]
    resumed = [
        request.headers.get("last-event-id")
        for name in ("e1", "e2")
        for request in world.targets[name].arrivals
    ]
    assert any(resumed)


async def test_text_of_older_weights_is_not_reused_for_a_later_lot(world, gateway):
    """Guards against text of a model version below the minimum of the later lot."""
    gateway.registry.cache_progress({"i1": Progress(["old"], [1], 1)})
    for name in ("e1", "e2"):
        world.targets[name].models["m0"] = 2
        world.targets[name].on_change()
    await world.submit(gateway, "lot2", submission([item("i1")], min_version=2))
    [result] = await world.read_all(gateway, "lot2", 1)
    assert (result["versions"], "old" in result["text"]) == ([2], False)


async def test_score_for_an_earlier_lot_is_not_reused(world, gateway):
    """Guards against a result with a score from an earlier call of the scorer."""
    progress = Progress([f"i1-{n}" for n in range(1, 6)], [1], 5, True, "stamp-old", "old")
    gateway.registry.cache_progress({"i1": progress})
    await world.submit(gateway, "lot2", submission([item("i1")]))
    [result] = await world.read_all(gateway, "lot2", 1)
    assert result["score"] == "stamp-si1"


async def test_unused_lots_are_evicted_and_read_again_on_request(world, gateway):
    """Guards against memory that grows with every lot."""
    await world.submit(gateway, "lot1", submission([item("i1")]))
    first = await world.read_all(gateway, "lot1", 1)
    await world.call(gateway, "DELETE", "/api/lots/lot1")
    await eventually(lambda: "lot1" not in gateway.scheduler.runs)
    gateway.registry.evict_unused(-1.0)
    assert "lot1" not in gateway.registry.records
    assert "lot1" not in gateway.registry.logs
    assert await world.read_all(gateway, "lot1", 1) == first
