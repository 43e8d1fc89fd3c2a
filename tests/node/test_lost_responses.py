"""Lots while responses of working engines are lost."""

import asyncio

import pytest

from tests.builders.fleet_world import item as lot_item
from tests.builders.fleet_world import submission

# Deadline of lots on the batch route of the test deployment, in seconds from their submission.
LOT_DEADLINE_S = 5.0
ITEMS = 64


@pytest.mark.parametrize("fault", ["lose_every", "mute_every"])
async def test_lot_meets_its_deadline_at_peak_load_while_responses_are_lost(world, fault):
    """Guards against a loss of engine capacity with each lost response at peak load.

    When 15% of the responses were lost (case alone-answer-lost at both grown sites), each loss left
    an engine unused for 3 s or was waited for as long, and lots took twice the time until their
    deadline.
    """
    for name in ("e1", "e2"):
        world.targets[name].event_s = 0.02
        world.targets[name].events = 16
        setattr(world.targets[name].faults, fault, 6)
    gateway = await world.add_gateway("g1")
    document = submission([lot_item(f"i{n}", group=f"g{n // 4}") for n in range(ITEMS)])
    began = asyncio.get_running_loop().time()
    await world.submit(gateway, "lot1", document)
    results = await world.read_all(gateway, "lot1", ITEMS, timeout_s=20.0)
    seconds = asyncio.get_running_loop().time() - began
    assert seconds < LOT_DEADLINE_S
    assert all(result["state"] == "completed" for result in results)
