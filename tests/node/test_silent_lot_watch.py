"""Lots that the coordinator's watch has not reported."""

import asyncio

import pytest

from tests.builders.fleet_world import eventually, item, submission
from turmericreach.batches.handover import owner_subject

MODELS = tuple(f"m{number}" for number in range(12))


async def stall_watches(world):
    """Make all watches silent that are open now; later ones work."""
    world.store.faults.stalled_watches = 100
    world.store.compact()
    await asyncio.sleep(0.3)
    world.store.faults.stalled_watches = 0


@pytest.mark.parametrize("is_read", [True, False])
async def test_lot_accepted_while_the_watch_is_silent_is_taken_over(world, is_read):
    """Guards against a lot that nobody runs, since its owner is lost and one watch is silent.

    Review 14: the coordinator learned of lots from its watch alone, and the items of a lot whose
    owner was removed were at no engine until the watch timed out.
    """
    for name in ("e1", "e2"):
        target = world.targets[name]
        target.models, target.event_s = dict.fromkeys(MODELS, 1), 0.1
        world.store.put("servers", name, target.entry())
    gateways = [await world.add_gateway(name) for name in ("g1", "g2", "g3")]
    await eventually(lambda: any(gateway.duty.token for gateway in gateways))
    holder = next(gateway for gateway in gateways if gateway.duty.token)
    host = holder.settings.host
    owners = {model: holder.peers.owner_for(owner_subject(model)) for model in MODELS}
    model, owner = next(entry for entry in owners.items() if entry[1] != host)
    other = next(g for g in gateways if g.settings.host not in (host, owner))
    await asyncio.sleep(1.0)
    await stall_watches(world)
    document = {**submission([item(f"i{number}") for number in range(24)]), "model": model}
    assert await world.submit(world.gateways[owner], "lot1", document) == 202
    await asyncio.sleep(0.6)
    await world.kill_gateway(owner)
    if is_read:
        await world.read(other, "lot1")
    await eventually(lambda: any("lot1" in g.scheduler.runs for g in (holder, other)), 7.0)
    await world.read_all(other, "lot1", 24)
