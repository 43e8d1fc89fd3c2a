"""Lots of more models than there are engines, and of models whose lots go to different services."""

import asyncio
import json

import pytest

from tests.builders.fleet_world import (
    FleetWorld,
    configuration,
    eventually,
    item,
    route,
    submission,
)
from turmericreach.coordination.names import DIVISION_NAME, OWN_KIND

MODELS = ("m0", "m1", "m2")


def engine_service(name, models):
    """Return a service of engines that have some models."""
    engine = {"slots": 8, "kvCapacityTokens": 9000, "stride": 10}
    engine["models"] = [{"name": model} for model in models]
    return {"name": name, "healthPath": "/health", "maxConns": 100, "engine": engine}


def routed(version, service_by_prefix, models=MODELS):
    """Return a configuration with a route of lots for each path prefix."""
    routes = [route("score", "/score/", "safe", "portal", maxAttempts=3)]
    for prefix, service in service_by_prefix.items():
        terms = {"dueMs": 5000, "queueTtlS": 60}
        routes.append(route(f"lots{prefix}", prefix, "rollout", service, **terms))
    document = configuration(version, routes)
    document["services"] = [document["services"][0]]
    document["services"] += [engine_service(name, models) for name in {*service_by_prefix.values()}]
    return document


def lot_of(model, count=8, min_version=2, prefix="/rollout/"):
    """Return a lot of a model."""
    items = []
    for number in range(count):
        value = item(f"{model}i{number}")
        value["headers"]["X-Model"] = model
        value["path"] = f"{prefix}{model}i{number}"
        items.append(value)
    return {**submission(items, min_version=min_version), "model": model}


@pytest.fixture
async def world():
    fleet = FleetWorld()
    await fleet.start(routed(1, {"/rollout/": "engines"}))
    await fleet.add_target("p1", "portal")
    yield fleet
    await fleet.stop()


def name_version(world, model, version):
    """Name a version of a model as its trainer does."""
    world.store.put("versions", model, {"model": model, "version": version})


async def add_engine(world, name, service="engines", **options):
    """Add an engine with version 1 of all models."""
    models = dict.fromkeys(MODELS, 1)
    return await world.add_target(name, service, models=models, event_s=0.02, **options)


@pytest.mark.parametrize("working", MODELS)
async def test_model_gets_an_engine_when_its_own_is_lost(world, working):
    """Guards against idle models that keep all engines while another one has none.

    Review 11: one of four engines is lost, and 24 of 24 items of its model are at no engine, beside
    three idle engines with an older version.
    """
    for number in range(3):
        await add_engine(world, f"e{number}")
    gateway = await world.add_gateway("g1")
    for model in MODELS:
        name_version(world, model, 2)
        lot = f"first{model}"
        assert await world.submit(gateway, lot, lot_of(model)) == 202
        await world.read_all(gateway, lot, 8)
        await world.call(gateway, "DELETE", f"/api/lots/{lot}")
        name_version(world, model, 3)
    await eventually(lambda: len(set(gateway.converger.assigned.values())) == 3)
    own = next(name for name, model in gateway.converger.assigned.items() if model == working)
    await world.targets[own].stop()
    world.store.remove("servers", own)
    assert await world.submit(gateway, "second", lot_of(working, min_version=3)) == 202
    assert await world.read_all(gateway, "second", 8)


@pytest.mark.parametrize("engines", [1, 2])
async def test_models_take_turns_while_all_have_work(world, engines):
    """Guards against a model that waits for ever while others have work without end."""
    for number in range(engines):
        await add_engine(world, f"e{number}", slots=2)
    gateways = [await world.add_gateway(name) for name in ("g1", "g2")]
    for model in MODELS:
        name_version(world, model, 2)
    for step in range(3):
        for number, model in enumerate(MODELS):
            document = lot_of(f"{model}", 12)
            for value in document["items"]:
                value["id"] = f"s{step}{value['id']}"
                value.pop("scorer")
            gateway = gateways[number % 2]
            assert await world.submit(gateway, f"lot{step}{model}", document) == 202
    async with asyncio.timeout(30):
        for model in MODELS:
            await world.read_all(gateways[0], f"lot0{model}", 12, 30.0)
    orders = [order for target in world.targets.values() for order in target.orders]
    assert len(orders) <= engines * len(MODELS)


@pytest.mark.parametrize("services", [("first", "second"), ("second", "first")])
async def test_engines_serve_the_models_whose_lots_reach_them(world, services):
    """Guards against an engine that is kept for a model whose lots go to another service.

    Two services of one engine each, two models and a route to each service: with the names one way
    round each engine was given the other service's model, and no item was ever run.
    """
    prefixes = {f"/{model}/": service for model, service in zip(MODELS, services, strict=False)}
    world.store.put("config", "main", routed(2, prefixes, MODELS[:2]))
    await add_engine(world, "e1", "first")
    await add_engine(world, "e2", "second")
    gateway = await world.add_gateway("g1")
    for model in MODELS[:2]:
        name_version(world, model, 3)
        document = lot_of(model, min_version=3, prefix=f"/{model}/")
        body = json.dumps(document).encode()
        lot = f"lot{model}"
        status, _, _ = await world.call(gateway, "POST", f"/{model}/{lot}", body, attempt=lot)
        assert status == 202
    for model in MODELS[:2]:
        await world.read_all(gateway, f"lot{model}", 8)


@pytest.mark.parametrize("spec", [b'"x"', b'{"engines": 5}', b'{"engines": {"e0": 1}}'])
async def test_new_coordinator_replaces_a_division_that_it_cannot_read(world, spec):
    """Guards against a coordinator that sends no orders, since another writer has changed one."""
    await add_engine(world, "e0")
    gateways = [await world.add_gateway(name) for name in ("g1", "g2")]
    await eventually(lambda: any(gateway.duty.token for gateway in gateways))
    holder = next(gateway for gateway in gateways if gateway.duty.token)
    await eventually(lambda: holder.converger.division is not None)
    await world.kill_gateway(holder.settings.host)
    world.store.put_raw(OWN_KIND, DIVISION_NAME, spec)
    name_version(world, "m1", 2)
    assert await world.submit(next(iter(world.gateways.values())), "lot", lot_of("m1")) == 202
    await eventually(lambda: world.targets["e0"].models["m1"] == 2, 12.0)
