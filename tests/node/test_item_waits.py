"""Reports of items that wait although an engine has a free slot."""

import json

import pytest

from tests.builders.fleet_world import (
    MODEL,
    configuration,
    eventually,
    item,
    route,
    submission,
)
from turmericreach.telemetry.log import EVENT_LOG
from turmericreach.telemetry.timeline import build_timeline


@pytest.fixture
def logged(monkeypatch):
    """Return the lines that are logged from now on."""
    lines = []

    def record(event, fields):
        entry = {"time": 1.0, "event": event.name, "message": event.name, "fields": fields}
        lines.append(json.dumps(entry, default=str))

    monkeypatch.setattr(EVENT_LOG, "listeners", [*EVENT_LOG.listeners, record])
    return lines


async def test_item_that_waits_beside_free_slots_is_reported_once(world, logged):
    """Guards against accepted work that waits beside idle engines without a trace of the reason."""
    gateway = await world.add_gateway("g1")
    assert await world.submit(gateway, "lot1", submission([item("i1")], min_version=3)) == 202
    lines = await eventually(lambda: waits_of(logged, "i1"))
    assert lines[0].fields["reason"] == "version too old"
    metric = 'turmericreach_node_item_waits{reason="version_too_old"} 1'
    status, _, body = await world.call(
        f"{gateway.settings.ip}:{gateway.settings.metrics_port}", "GET", "/metrics"
    )
    assert status == 200
    assert metric in body.decode().splitlines()
    world.store.put("versions", MODEL, {"model": MODEL, "version": 3})
    await world.read_all(gateway, "lot1", 1)
    assert len(waits_of(logged, "i1")) == 1


async def test_wait_for_a_removed_route_is_reported(world, logged):
    """Guards against items that are given up without a line that says what they waited for."""
    for name in ("e1", "e2"):
        world.targets[name].slots, world.targets[name].event_s = 1, 0.1
        world.store.put("servers", name, world.targets[name].entry())
    gateway = await world.add_gateway("g1")
    items = [item(f"i{number}") for number in range(12)]
    assert await world.submit(gateway, "lot1", submission(items)) == 202
    routes = [route("score", "/score/", "safe", "portal", maxAttempts=3)]
    world.store.put("config", "main", configuration(2, routes))
    lines = await eventually(lambda: waits_of(logged, "lot1"))
    assert {line.fields["reason"] for line in lines} == {"no route"}


def waits_of(logged, subject):
    """Return the reports of an item as `explain` shows them."""
    timeline = build_timeline(logged, subject)
    return [line for line in timeline if line.event == "item_waits"]
