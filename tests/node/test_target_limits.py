"""Limits that targets name for the requests of all processes together."""

import asyncio

import pytest

from tests.builders.fleet_world import eventually, item, submission

# The bound of the rule: requests in some 4 s, counted from 3 s after the limit was first named.
WINDOW_S = 4.0
CONTACT_S = 3.0
RUN_S = 8.5
LIMIT_PER_S = 2.0


def most_arrivals(target, from_s):
    """Return the most arrivals at a target in any window that begins after a loop time."""
    times = [at for at in target.arrival_times if at >= from_s]
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


def allowed(per_s):
    """Return the requests that a limit allows in a window."""
    return 1.5 * per_s * WINDOW_S + 5


async def call_steadily(world, gateway, interval_s, statuses):
    """Send a request at a fixed interval and collect the statuses, until cancelled."""
    number = 0
    async with asyncio.TaskGroup() as calls:
        while True:
            number += 1
            attempt = f"{gateway.settings.host}-{number}"

            async def call(attempt=attempt):
                status, headers, _ = await world.call(
                    gateway, "POST", "/lookup/1", attempt=attempt, X_Deadline_Ms="800"
                )
                statuses.append((status, headers.get("retry-after")))

            calls.create_task(call())
            await asyncio.sleep(interval_s)


@pytest.fixture
async def gateways(world):
    return [await world.add_gateway(f"g{number}") for number in range(3)]


async def run_calls(world, gateways, seconds, statuses):
    """Send requests to all gateways for a time."""
    tasks = [
        asyncio.create_task(call_steadily(world, gateway, 0.1, statuses)) for gateway in gateways
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_limit_of_a_target_holds_for_all_gateways_together(world, gateways):
    """Guards against targets that get more requests than the limit that they have named."""
    began = asyncio.get_running_loop().time()
    for name in ("p1", "p2"):
        world.targets[name].faults.limit_per_s = LIMIT_PER_S
    statuses = []
    await run_calls(world, gateways, RUN_S, statuses)
    for name in ("p1", "p2"):
        found = most_arrivals(world.targets[name], began + CONTACT_S)
        assert 0.6 * LIMIT_PER_S * WINDOW_S <= found <= allowed(LIMIT_PER_S)
    rejected = [retry_after for status, retry_after in statuses if status == 503]
    assert rejected and all(float(value) > 0 for value in rejected)
    assert {status for status, _ in statuses} <= {200, 503}


async def test_limit_of_an_engine_holds_for_items(world, gateways):
    """Guards against items, their retries and their moves that go past the limit of an engine."""
    for name in ("e1", "e2"):
        world.targets[name].faults.limit_per_s = LIMIT_PER_S
    first = [item(f"first-{n}") for n in range(4)]
    assert await world.submit(gateways[0], "first", submission(first)) == 202
    await asyncio.sleep(CONTACT_S)
    began = asyncio.get_running_loop().time()
    for number, gateway in enumerate(gateways):
        items = [item(f"i{number}-{n}", group=f"g{number}-{n // 4}") for n in range(16)]
        assert await world.submit(gateway, f"lot{number}", submission(items)) == 202
    await asyncio.sleep(WINDOW_S + 0.5)
    for name in ("e1", "e2"):
        found = most_arrivals(world.targets[name], began)
        assert 0.6 * LIMIT_PER_S * WINDOW_S <= found <= allowed(LIMIT_PER_S)


async def test_target_is_used_as_before_once_it_names_no_limit(world, gateways):
    """Guards against a limit that is kept after the target has stopped naming it."""
    for name in ("p1", "p2"):
        world.targets[name].faults.limit_per_s = LIMIT_PER_S
    await run_calls(world, gateways, 1.5, [])
    for name in ("p1", "p2"):
        world.targets[name].faults.limit_per_s = None
    await run_calls(world, gateways, 1.5, [])
    statuses = []
    await run_calls(world, gateways, 1.0, statuses)
    assert {status for status, _ in statuses} == {200}
    await eventually(lambda: all(not gateway.peers.pings for gateway in gateways))


async def test_gateway_without_requests_learns_a_limit_from_the_others(world, gateways):
    """Guards against a gateway that goes past a limit which only others have been told."""
    world.targets["p1"].faults.limit_per_s = LIMIT_PER_S
    observer, *others = [gateway for gateway in gateways if gateway.duty.token is None] + [
        gateway for gateway in gateways if gateway.duty.token is not None
    ]
    while observer.directory.limits.per_s("p1") is None:
        await world.call(observer, "POST", "/lookup/1")
    for gateway in others:
        await eventually(
            lambda gateway=gateway: gateway.directory.limits.per_s("p1") == LIMIT_PER_S, CONTACT_S
        )


async def test_limit_holds_when_the_process_that_grants_permits_is_killed(world, gateways):
    """Guards against gateways that send without a limit while no process grants permits."""
    began = asyncio.get_running_loop().time()
    for name in ("p1", "p2"):
        world.targets[name].faults.limit_per_s = LIMIT_PER_S
    await run_calls(world, gateways, CONTACT_S, [])
    hub = gateways[0].peers.hub
    remaining = [gateway for gateway in gateways if gateway.settings.host != hub]
    await world.kill_gateway(hub)
    await run_calls(world, remaining, RUN_S - CONTACT_S, [])
    assert {gateway.peers.hub for gateway in remaining} != {hub}
    for name in ("p1", "p2"):
        found = most_arrivals(world.targets[name], began + CONTACT_S)
        assert found <= allowed(LIMIT_PER_S)
