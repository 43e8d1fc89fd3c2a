"""The HTTP page with metrics."""

import asyncio
import re

import attrs

from tests.builders.fleet_world import eventually, item, submission
from tests.builders.loopback import free_port
from turmericreach.node.gateway import Gateway
from turmericreach.telemetry.metrics import MetricType
from turmericreach.telemetry.node_metrics import NODE_METRICS


async def start_with_metrics(world):
    """Start a gateway that serves metrics; return it and the address of its page."""
    settings = attrs.evolve(world.settings("g1"), metrics_port=free_port())
    gateway = Gateway(settings)
    world.gateways["g1"] = gateway
    world.tasks["g1"] = asyncio.get_running_loop().create_task(gateway.run())
    await eventually(gateway.is_ready)
    return gateway, f"{settings.ip}:{settings.metrics_port}"


async def page_of(world, address):
    """Return the text of the metrics page at an address."""
    head, body = await world.pool.fetch(address, "GET", "/metrics", [("Host", "m")])
    assert head.status == 200
    return body.decode()


async def test_requests_and_lots_are_counted(world):
    """Guards against counters that do not match the log events."""
    gateway, address = await start_with_metrics(world)
    for number in range(3):
        await world.call(gateway, "POST", "/lookup/1", attempt=f"a{number}")
    await world.submit(gateway, "lot1", submission([item("i1"), item("i2")]))
    await world.read_all(gateway, "lot1", 2)
    page = await page_of(world, address)
    assert 'turmericreach_node_requests{route="lookup",status="200"} 3' in page
    assert 'turmericreach_node_item_runs{outcome="whole"} 2' in page
    assert "turmericreach_node_results 2" in page
    assert re.search(r'node_request_time_seconds\{route="lookup",quantile="0.99"\} 0\.', page)
    assert 'turmericreach_node_request_time_seconds_count{route="lookup"} 3' in page
    assert "turmericreach_node_configuration 1" in page
    assert re.search(r'node_store_calls\{purpose="list"\} \d', page)


async def test_every_gauge_is_on_the_page_from_the_start(world):
    """Guards against alerts on a time series that does not exist yet."""
    _, address = await start_with_metrics(world)
    page = await page_of(world, address)
    for metric in NODE_METRICS:
        if metric.type is MetricType.GAUGE:
            assert f"turmericreach_{metric.name}" in page, metric.name


async def test_process_runs_without_metrics_if_the_port_is_in_use(world):
    """Guards against a process that fails to start because of its metrics port."""
    _, address = await start_with_metrics(world)
    port = int(address.rpartition(":")[2])
    other = Gateway(attrs.evolve(world.settings("g2"), metrics_port=port))
    await other.serve_metrics()
    await other.close()
