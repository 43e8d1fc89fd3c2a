"""Load on the metadata store while many processes and targets start together."""

import asyncio

from tests.builders.fleet_world import eventually
from turmericreach.coordination.relay import DIRECT_INTERVAL_S, RELAY_BATCH_S, serve_watch

GATEWAYS = 8
TARGETS = 60
KINDS = 3
# Calls that a process may make for its own start: a list of each kind, a registration, and those of
# the coordinator on kinds of its own, shared by all.
START_CALLS = 6


def charged_calls(world):
    """Return the calls to the store other than probes, which may return stale data."""
    return [call for call in world.store.calls if "staleOk" not in call]


async def test_calls_at_the_start_do_not_grow_with_the_changes(world):
    """Guards against one call of each process for each registration during a start of all."""
    entry = world.targets["p1"].entry()
    began = asyncio.get_running_loop().time()
    starts = [asyncio.ensure_future(world.add_gateway(f"g{n}")) for n in range(GATEWAYS)]
    for number in range(TARGETS):
        world.store.put("servers", f"t{number}", entry)
        await asyncio.sleep(0.02)
    gateways = await asyncio.gather(*starts)
    await eventually(lambda: any(gateway.duty.token for gateway in gateways))
    await eventually(lambda: all(gateway.peers.coordinator for gateway in gateways))
    seconds = asyncio.get_running_loop().time() - began
    watches = KINDS * (seconds / (0.75 * DIRECT_INTERVAL_S) + 1)
    assert len(charged_calls(world)) <= (START_CALLS + watches) * GATEWAYS
    for gateway in gateways:
        await eventually(lambda one=gateway: len(one.directory.targets) == TARGETS + 1, 2.0)


async def test_first_coordinator_is_chosen_by_one_write(world):
    """Guards against a write of each process to become the first coordinator."""
    gateways = await asyncio.gather(*(world.add_gateway(f"g{n}") for n in range(GATEWAYS)))
    await eventually(lambda: all(gateway.peers.coordinator for gateway in gateways))
    # A loser's write creates nothing. Later objects, such as the software of the targets, count too
    # if the wait was long.
    created = world.store.names("turmericreach")
    writes = [call for call in world.store.calls if call == "POST /api/objects/turmericreach"]
    assert len(writes) <= len(created)
    assert len([name for name in created if not name.startswith("software.")]) <= GATEWAYS + 2


async def test_responses_to_a_follower_do_not_grow_with_the_changes(world):
    """Guards against a coordinator that sends each follower one response for each change.

    With 58 gateways, the registrations at a start kept the coordinator busy for more than a second,
    and the watches of its followers timed out.
    """
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token)
    mirror = gateway.mirrors["servers"]
    revision, pages = mirror.revision, 0
    entry = world.targets["p1"].entry()

    async def register_targets():
        for number in range(TARGETS):
            world.store.put("servers", f"t{number}", entry)
            await asyncio.sleep(0.01)

    began = asyncio.get_running_loop().time()
    registrations = asyncio.ensure_future(register_targets())
    while len(mirror.objects) < TARGETS + 1 or revision < mirror.revision:
        page = await serve_watch(mirror, gateway.client, revision)
        revision = page.revision
        pages += 1
    await registrations
    seconds = asyncio.get_running_loop().time() - began
    assert pages <= seconds / RELAY_BATCH_S + 1


async def test_followers_stay_at_a_coordinator_that_was_just_chosen(world):
    """Guards against followers that watch at the store although the new coordinator works.

    The watches that the coordinator had started as a follower waited for 4 s, its mirrors counted
    as stale after 2.2 s, and all followers went to the store for a second.
    """
    gateways = await asyncio.gather(*(world.add_gateway(f"g{n}") for n in range(3)))
    await eventually(lambda: any(gateway.duty.token for gateway in gateways))
    followers = [gateway for gateway in gateways if not gateway.duty.token]
    await eventually(lambda: all(gateway.peers.coordinator for gateway in followers))
    await asyncio.sleep(0.5)
    before = [gateway.client.calls["watch"] for gateway in followers]
    await asyncio.sleep(5.0)
    assert [gateway.client.calls["watch"] for gateway in followers] == before


async def test_software_of_the_targets_is_written_by_one_process_after_the_start(world):
    """Guards against a write of each process for each service while all processes start."""
    gateways = await asyncio.gather(*(world.add_gateway(f"g{n}") for n in range(GATEWAYS)))
    services = {target.service for target in world.targets.values()}
    await eventually(lambda: all(services <= g.shared.software.recorded.keys() for g in gateways))
    await asyncio.sleep(1.0)
    creates = [call for call in world.store.calls if call == "POST /api/objects/turmericreach"]
    # A registration of each process, the duty, the division, and an object for each service.
    assert len(creates) <= GATEWAYS + 2 + len(services)
    stored = world.store.names("turmericreach")
    assert {name for name in stored if name.startswith("software.")} == {
        f"software.{service}" for service in services
    }
