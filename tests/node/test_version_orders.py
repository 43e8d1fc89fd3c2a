"""Orders to load model versions: one coordinator, rising fencing tokens, no stale orders."""

import asyncio

from tests.builders.fleet_world import MODEL, eventually


def publish_version(world, version):
    """Publish a model version as a trainer does."""
    world.store.put("versions", MODEL, {"model": MODEL, "version": version})


def versions(world):
    """Return the model versions that the engines have loaded."""
    return [world.targets[name].models[MODEL] for name in ("e1", "e2")]


async def test_engines_load_the_published_version(world):
    """Guards against a published version that is never loaded."""
    await world.add_gateway("g1")
    publish_version(world, 2)
    await eventually(lambda: versions(world) == [2, 2])


async def test_only_one_process_gives_orders(world):
    """Guards against two processes that give orders."""
    gateways = [await world.add_gateway(name) for name in ("g1", "g2", "g3")]
    await eventually(lambda: any(gateway.duty.token for gateway in gateways))
    publish_version(world, 2)
    await eventually(lambda: versions(world) == [2, 2])
    assert (
        len({order["holder"] for name in ("e1", "e2") for order in world.targets[name].orders}) == 1
    )
    assert sum(gateway.duty.token is not None for gateway in gateways) == 1


async def test_successor_gives_orders_with_a_higher_token_after_the_lease(world):
    """Guards against a coordinator that orders too early, or whose orders engines reject."""
    gateways = [await world.add_gateway(name, lease_s=0.5) for name in ("g1", "g2")]
    await eventually(lambda: any(gateway.duty.token for gateway in gateways))
    publish_version(world, 2)
    await eventually(lambda: versions(world) == [2, 2])
    holder = next(gateway for gateway in gateways if gateway.duty.token)
    await world.kill_gateway(holder.settings.host)
    publish_version(world, 3)
    await eventually(lambda: versions(world) == [3, 3], 10.0)
    orders = [order for name in ("e1", "e2") for order in world.targets[name].orders]
    tokens = {order["holder"]: order["fence"] for order in orders}
    assert (
        tokens[next(name for name in tokens if name != holder.settings.host)]
        > tokens[holder.settings.host]
    )


async def test_late_order_does_not_restore_an_older_version(world):
    """Guards against an older order that is executed after a newer one."""
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token)
    for name in ("e1", "e2"):
        world.targets[name].faults.late_orders = 1
    publish_version(world, 2)
    await asyncio.sleep(0.2)
    publish_version(world, 3)
    await eventually(lambda: versions(world) == [3, 3], 10.0)
    await asyncio.sleep(2.5)
    assert versions(world) == [3, 3]


async def test_replaced_coordinator_gives_no_more_orders(world):
    """Guards against two coordinators that give orders in alternation."""
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token)
    world.store.put("turmericreach", "duty", {"holder": "other", "incarnation": "x"})
    assert await gateway.duty.verified_token() is None


async def test_coordinator_rejected_by_an_engine_releases_the_duty(world):
    """Guards against orders that are repeated with a fencing token that is too low."""
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token)
    for name in ("e1", "e2"):
        world.targets[name].highest_fencing_token = 10**9
    publish_version(world, 2)
    await eventually(lambda: gateway.duty.token is None)


async def test_older_version_is_never_ordered(world):
    """Guards against a downgrade of engines when an older object is stored again."""
    gateway = await world.add_gateway("g1")
    publish_version(world, 3)
    await eventually(lambda: versions(world) == [3, 3])
    publish_version(world, 2)
    await asyncio.sleep(0.3)
    assert gateway.converger.requested_versions[MODEL] == 3
    assert versions(world) == [3, 3]


async def test_retirement_of_a_host_is_confirmed(world):
    """Guards against a retirement that stays pending although the host holds no data."""
    await world.add_gateway("g1")
    world.store.put("retirements", "store-1", {"durationS": 10})

    def done():
        status = world.store.objects["retirements", "store-1"]["status"]
        return status == {"state": "completed"}

    await eventually(done)


async def test_version_is_loaded_although_the_watch_of_the_coordinator_has_stalled(world):
    """Guards against engines that keep old weights while a stalled watch waits for its end.

    Only the coordinator watches the requested versions, so no other process can tell that its watch
    has missed a change (soak, seed 2).
    """
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token is not None)
    await asyncio.sleep(0.5)
    world.store.faults.stalled_watches = 100
    world.store.compact()
    await asyncio.sleep(0.3)
    world.store.faults.stalled_watches = 0
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await eventually(
        lambda: all(world.targets[name].models[MODEL] == 2 for name in ("e1", "e2")), 10.0
    )
