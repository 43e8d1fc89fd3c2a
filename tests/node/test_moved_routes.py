"""Lots whose route changes after their acceptance."""

import asyncio

import pytest

from tests.builders.fleet_world import MODEL, configuration, eventually, item, route, submission

ENGINE = {"slots": 8, "kvCapacityTokens": 9000, "models": [{"name": MODEL}], "stride": 10}


def routed(version, service, **fields):
    """Return a configuration that routes lots to a service, or not at all if it is None."""
    routes = [route("score", "/score/", "safe", "portal", maxAttempts=3)]
    if service is not None:
        terms = {"dueMs": 5000, "queueTtlS": 30, **fields}
        routes.append(route("rollout", "/rollout/", "rollout", service, **terms))
    document = configuration(version, routes)
    document["services"].append(
        {"name": "others", "healthPath": "/health", "maxConns": 100, "engine": ENGINE}
    )
    return document


@pytest.fixture
async def moved(world):
    """Return a deployment with a second service of engines, and slow engines in the first one."""
    world.store.put("config", "main", routed(1, "engines"))
    for name in ("e1", "e2"):
        world.targets[name].slots = 2
        world.targets[name].event_s = 0.1
        world.store.put("servers", name, world.targets[name].entry())
    await world.add_target("o1", "others", models={MODEL: 1}, slots=2, event_s=0.1)
    return world


def names(count=16):
    """Return names of items."""
    return [f"i{number}" for number in range(count)]


def runs_at(world, *targets):
    """Return the items that ran at some targets, in the order of their starts."""
    return [run[0] for name in targets for run in world.targets[name].runs]


async def accepted(world, gateway, count=16, **fields):
    """Submit a lot and wait until its first items run."""
    items = [item(name) for name in names(count)]
    assert await world.submit(gateway, "lot1", submission(items, **fields)) == 202
    await eventually(lambda: runs_at(world, "e1", "e2"))


async def test_waiting_items_follow_the_route_of_their_lot(moved):
    """Guards against items that wait for the service of a route that has moved.

    Review 13: the engines of the old service left, and 8 of 24 items were at no engine until the
    end of their lifetime, beside two idle engines of the new service.
    """
    gateway = await moved.add_gateway("g1")
    await accepted(moved, gateway)
    moved.store.put("config", "main", routed(2, "others"))
    await eventually(lambda: gateway.configuration.version() == 2)
    begun = set(runs_at(moved, "e1", "e2"))
    for name in ("e1", "e2"):
        moved.store.put("servers", name, moved.targets[name].entry("draining"))
    await moved.read_all(gateway, "lot1", 16)
    assert set(runs_at(moved, "e1", "e2")) == begun
    assert set(names()) - begun <= set(runs_at(moved, "o1"))


async def test_items_follow_a_route_there_and_back(moved):
    """Guards against items that stay with the first of two changes within a moment."""
    gateway = await moved.add_gateway("g1")
    await accepted(moved, gateway)
    moved.store.put("config", "main", routed(2, "others"))
    moved.store.put("config", "main", routed(3, "engines"))
    await eventually(lambda: gateway.configuration.version() == 3)
    at_other = len(runs_at(moved, "o1"))
    await moved.read_all(gateway, "lot1", 16)
    assert len(runs_at(moved, "o1")) == at_other


async def test_successor_of_an_owner_uses_the_present_route_and_the_promised_lifetime(moved):
    """Guards against a takeover that shortens the lifetime that was promised with the 202."""
    gateways = {name: await moved.add_gateway(name) for name in ("g1", "g2")}
    await accepted(moved, gateways["g1"])
    owner = next(name for name, gateway in gateways.items() if gateway.scheduler.runs)
    successor = next(name for name in gateways if name != owner)
    moved.store.put("config", "main", routed(2, "others", queueTtlS=1, dueMs=1000))
    await moved.kill_gateway(owner)
    results = await moved.read_all(gateways[successor], "lot1", 16, 20.0)
    assert {result["state"] for result in results} == {"completed"}
    assert runs_at(moved, "o1")


async def test_items_of_a_removed_route_are_abandoned_unless_it_returns(moved):
    """Guards against items that nobody may run and that no result ever lists."""
    gateway = await moved.add_gateway("g1")
    await accepted(moved, gateway)
    moved.store.put("config", "main", routed(2, None))
    await eventually(lambda: gateway.configuration.version() == 2)
    begun = set(runs_at(moved, "e1", "e2"))
    results = await moved.read_all(gateway, "lot1", 16, 20.0)
    states = {result["id"]: result["state"] for result in results}
    assert {states[name] for name in names() if name not in begun} == {"abandoned"}, begun
    assert set(runs_at(moved, "e1", "e2")) == begun


async def test_items_wait_while_their_route_is_missing_for_a_moment(moved):
    """Guards against items that are given up although the next configuration has their route."""
    gateway = await moved.add_gateway("g1")
    await accepted(moved, gateway)
    moved.store.put("config", "main", routed(2, None))
    await eventually(lambda: gateway.configuration.version() == 2)
    moved.store.put("config", "main", routed(3, "others"))
    results = await moved.read_all(gateway, "lot1", 16)
    assert {result["state"] for result in results} == {"completed"}


async def test_item_leaves_a_silent_engine_that_its_route_has_left(moved):
    """Guards against an item that stays for seconds at an engine that has lost it."""
    for name in ("e1", "e2"):
        moved.targets[name].faults.silent = True
    gateway = await moved.add_gateway("g1")
    await accepted(moved, gateway, 1)
    moved.store.put("config", "main", routed(2, "others"))
    assert await moved.read_all(gateway, "lot1", 1, 3.0)


async def test_scorer_calls_that_wait_follow_their_route(moved):
    """Guards against scorer calls to the service that the route had before they waited."""
    moved.overload_control = True
    scorers = [moved.targets[name] for name in ("p1", "p2")]
    for scorer in scorers:
        scorer.slots, scorer.work_s = 1, 0.4
        moved.store.put("servers", scorer.id, scorer.entry())
    await moved.add_target("q1", "judges")
    for name in ("e1", "e2"):
        moved.targets[name].slots, moved.targets[name].event_s = 8, 0.0
        moved.store.put("servers", name, moved.targets[name].entry())
    gateway = await moved.add_gateway("g1")
    items = [item(name) for name in names()]
    assert await moved.submit(gateway, "lot1", submission(items)) == 202
    await eventually(lambda: any(scorer.runs for scorer in scorers))
    document = routed(2, "engines")
    document["routes"][0]["service"] = "judges"
    document["services"].append({"name": "judges", "healthPath": "/health", "maxConns": 100})
    moved.store.put("config", "main", document)
    await eventually(lambda: gateway.configuration.version() == 2)
    begun = sum(len(scorer.arrivals) for scorer in scorers)
    await moved.read_all(gateway, "lot1", 16)
    assert sum(len(scorer.arrivals) for scorer in scorers) <= begun
    assert moved.targets["q1"].runs


async def test_item_whose_scorer_has_no_route_is_abandoned_at_the_end_of_its_lifetime(moved):
    """Guards against an item that is never listed, since its scorer was removed."""
    document = routed(2, "engines", queueTtlS=3)
    del document["routes"][0]
    moved.store.put("config", "main", document)
    gateway = await moved.add_gateway("g1")
    began = asyncio.get_running_loop().time()
    assert await moved.submit(gateway, "lot1", submission([item("i0")])) == 202
    [result] = await moved.read_all(gateway, "lot1", 1, 6.0)
    assert result["state"] == "abandoned"
    assert asyncio.get_running_loop().time() - began >= 3.0
