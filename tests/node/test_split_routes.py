"""Lots and requests on routes that are split over two services."""

import collections

import pytest

from tests.builders.fleet_world import MODEL, configuration, eventually, item, route, submission

ENGINE = {"slots": 8, "kvCapacityTokens": 9000, "models": [{"name": MODEL}], "stride": 10}


def split(version, weights, kind="rollout", prefix="/rollout/"):
    """Return a configuration with a route that is split by weights over named services."""
    divided = route("split", prefix, kind, "", dueMs=5000, queueTtlS=30)
    del divided["service"]
    divided["split"] = [{"service": name, "weight": weight} for name, weight in weights.items()]
    document = configuration(
        version, [route("score", "/score/", "safe", "portal", maxAttempts=3), divided]
    )
    document["services"].append(
        {"name": "others", "healthPath": "/health", "maxConns": 100, "engine": ENGINE}
    )
    return document


@pytest.fixture
async def two_services(world):
    """Return a deployment with an engine of a second service."""
    await world.add_target("o1", "others", models={MODEL: 1}, slots=64, event_s=0.02)
    for name in ("e1", "e2"):
        world.targets[name].slots, world.targets[name].event_s = 32, 0.02
        world.store.put("servers", name, world.targets[name].entry())
    return world


def counts(world):
    """Return the number of items that ran at each service."""
    found = collections.Counter()
    for target in world.targets.values():
        found[target.service] += len({run[0] for run in target.runs})
    return found


async def run_lot(world, count=64):
    """Run a lot to its end at a new gateway."""
    gateway = await world.add_gateway("g1")
    items = [item(f"i{number}", f"g{number // 4}") for number in range(count)]
    assert await world.submit(gateway, "lot1", submission(items)) == 202
    results = await world.read_all(gateway, "lot1", count)
    assert {result["state"] for result in results} == {"completed"}


async def test_items_follow_the_weights(two_services):
    """Guards against a split route whose first service gets all items."""
    two_services.store.put("config", "main", split(2, {"engines": 3, "others": 1}))
    await run_lot(two_services)
    assert 6 <= counts(two_services)["others"] <= 28


async def test_service_without_weight_gets_no_items(two_services):
    """Guards against items at a service that the operator has set to zero."""
    two_services.store.put("config", "main", split(2, {"engines": 0, "others": 1}))
    await run_lot(two_services)
    assert counts(two_services)["engines"] == 0


@pytest.mark.parametrize("gone", ["engines", "others"])
async def test_items_go_to_the_service_that_can_run_them(two_services, gone):
    """Guards against items that wait for a service without targets beside idle engines."""
    two_services.store.put("config", "main", split(2, {"engines": 1, "others": 1}))
    for target in list(two_services.targets.values()):
        if target.service == gone:
            two_services.store.put("servers", target.id, target.entry("draining"))
    await run_lot(two_services, 16)
    assert counts(two_services)[gone] == 0


async def test_items_do_not_wait_long_for_a_full_service(two_services):
    """Guards against items that wait for the service of their weight beside idle engines."""
    for name in ("e1", "e2"):
        two_services.targets[name].slots, two_services.targets[name].event_s = 1, 1.0
        two_services.store.put("servers", name, two_services.targets[name].entry())
    two_services.store.put("config", "main", split(2, {"engines": 100, "others": 1}))
    await run_lot(two_services, 24)
    assert counts(two_services)["others"] >= 8


async def test_requests_reach_the_service_that_has_targets(two_services):
    """Guards against rejections by the service that a split draws while another one is idle."""
    document = split(2, {"nobody": 3, "portal": 1}, "safe", "/lookup/")
    document["services"].append({"name": "nobody", "healthPath": "/health", "maxConns": 100})
    two_services.store.put("config", "main", document)
    gateway = await two_services.add_gateway("g1")
    await eventually(lambda: gateway.configuration.version() == 2)
    for number in range(20):
        status, _, _ = await two_services.call(gateway, "POST", "/lookup/1", attempt=f"a{number}")
        assert status == 200
