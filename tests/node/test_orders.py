"""Orders to load versions: one giver, rising fencing numbers, no order twice."""

import asyncio

from tests.builders.fleet_world import MODEL, eventually


def name_version(world, version):
    """Name a version as a trainer does."""
    world.store.put("versions", MODEL, {"model": MODEL, "version": version})


def versions(world):
    """Return the versions that the engines have loaded."""
    return [world.targets[name].models[MODEL] for name in ("e1", "e2")]


async def test_engines_are_brought_to_the_named_version(world):
    """Guards against weights that are never loaded."""
    await world.add_gateway("g1")
    name_version(world, 2)
    await eventually(lambda: versions(world) == [2, 2])


async def test_one_process_gives_orders(world):
    """Guards against two order givers."""
    gateways = [await world.add_gateway(name) for name in ("g1", "g2", "g3")]
    await eventually(lambda: any(gateway.duty.token for gateway in gateways))
    name_version(world, 2)
    await eventually(lambda: versions(world) == [2, 2])
    assert (
        len({order["holder"] for name in ("e1", "e2") for order in world.targets[name].orders}) == 1
    )
    assert sum(gateway.duty.token is not None for gateway in gateways) == 1


async def test_successor_orders_with_a_higher_number_after_the_lease(world):
    """Guards against a successor whose orders engines refuse, or that orders too early."""
    gateways = [await world.add_gateway(name, lease_s=0.5) for name in ("g1", "g2")]
    await eventually(lambda: any(gateway.duty.token for gateway in gateways))
    name_version(world, 2)
    await eventually(lambda: versions(world) == [2, 2])
    holder = next(gateway for gateway in gateways if gateway.duty.token)
    await world.kill_gateway(holder.settings.host)
    name_version(world, 3)
    await eventually(lambda: versions(world) == [3, 3], 10.0)
    orders = [order for name in ("e1", "e2") for order in world.targets[name].orders]
    numbers = {order["holder"]: order["fence"] for order in orders}
    assert (
        numbers[next(name for name in numbers if name != holder.settings.host)]
        > numbers[holder.settings.host]
    )


async def test_order_carried_out_late_does_not_take_an_engine_back(world):
    """Guards against an old order that is carried out after a newer one."""
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token)
    for name in ("e1", "e2"):
        world.targets[name].faults.lose_orders = 1
    name_version(world, 2)
    await asyncio.sleep(0.2)
    name_version(world, 3)
    await eventually(lambda: versions(world) == [3, 3], 10.0)
    await asyncio.sleep(2.5)
    assert versions(world) == [3, 3]


async def test_holder_that_was_replaced_gives_no_more_orders(world):
    """Guards against two holders that take turns."""
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token)
    world.store.put("turmericreach", "duty", {"holder": "other", "incarnation": "x"})
    assert await gateway.duty.verified_token() is None


async def test_holder_refused_by_an_engine_drops_the_duty(world):
    """Guards against orders that are repeated with a fencing number that is too low."""
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token)
    for name in ("e1", "e2"):
        world.targets[name].highest_fence = 10**9
    name_version(world, 2)
    await eventually(lambda: gateway.duty.token is None)


async def test_older_version_is_never_ordered(world):
    """Guards against an engine that is taken back when an old object returns."""
    gateway = await world.add_gateway("g1")
    name_version(world, 3)
    await eventually(lambda: versions(world) == [3, 3])
    name_version(world, 2)
    await asyncio.sleep(0.3)
    assert gateway.converger.requested_versions[MODEL] == 3
    assert versions(world) == [3, 3]


async def test_retirement_of_a_host_is_confirmed(world):
    """Guards against a host that waits to be emptied although it holds nothing."""
    await world.add_gateway("g1")
    world.store.put("retirements", "store-1", {"durationS": 10})

    def done():
        status = world.store.objects["retirements", "store-1"]["status"]
        return status == {"state": "completed"}

    await eventually(done)
