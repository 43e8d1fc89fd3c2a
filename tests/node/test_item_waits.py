"""Reports of items that wait although an engine has a free slot."""

import json

import pytest

from tests.builders.fleet_world import MODEL, eventually, item, submission
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


def waits_of(logged, subject):
    """Return the reports of an item as `explain` shows them."""
    timeline = build_timeline(logged, subject)
    return [line for line in timeline if line.event == "item_waits"]
