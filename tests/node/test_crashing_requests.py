"""Requests that end each target that begins to run them."""

import asyncio

import pytest

from tests.builders.fleet_world import eventually

CONTACT_S = 3.0
RESTART_S = 0.3
# The bound of the rule: arrivals at targets later than 3 s after the third target has ended.
ALLOWED_RETRIES = 3
CRASHES_TO_BAN = 3
CRASH_BODY = b"divide by zero"


@pytest.fixture
async def gateways(world):
    return [await world.add_gateway(f"g{number}") for number in range(3)]


@pytest.fixture
async def restarts(world):
    """Start targets that have ended again, each under a new id."""
    task = asyncio.create_task(restart_targets(world))
    yield
    task.cancel()


async def restart_targets(world):
    """Start each target again some time after it has ended, until cancelled."""
    restarted = 0
    started = dict.fromkeys(("p1", "p2"), 0)
    while True:
        await asyncio.sleep(0.02)
        for name in ("p1", "p2"):
            target = world.targets[name]
            if target.crashes == started[name]:
                continue
            started[name] = target.crashes
            await asyncio.sleep(RESTART_S)
            world.store.remove("servers", target.id)
            restarted += 1
            await target.restart(f"{name}-{restarted}")
            world.store.put("servers", target.id, target.entry())


def crashes(world):
    """Return how often targets have ended."""
    return world.targets["p1"].crashes + world.targets["p2"].crashes


def arrivals(world, body):
    """Return the times at which requests with a body reached a target."""
    found = []
    for name in ("p1", "p2"):
        target = world.targets[name]
        for request, at in zip(target.arrivals, target.arrival_times, strict=True):
            if request.body == body:
                found.append(at)
    return sorted(found)


async def call(world, gateway, number, body, path="/lookup/1"):
    """Send a request under an id of its own."""
    attempt = f"{gateway.settings.host}-{path}-{number}"
    status, headers, _ = await world.call(
        gateway, "POST", path, body, attempt=attempt, X_Deadline_Ms="800"
    )
    return status, headers.get("retry-after")


@pytest.mark.parametrize("path", ["/lookup/1", "/order/1"])
async def test_request_that_has_ended_three_targets_reaches_none_at_any_gateway(
    world, gateways, restarts, path
):
    """Guards against a request that ends target after target, since it comes again elsewhere."""
    for name in ("p1", "p2"):
        world.targets[name].faults.crash_body = CRASH_BODY
    loop = asyncio.get_running_loop()
    third_at = None
    number = 0
    answers = []
    while third_at is None or loop.time() < third_at + CONTACT_S + 3.0:
        gateway = gateways[number % len(gateways)]
        number += 1
        answers.append(await call(world, gateway, number, CRASH_BODY, path))
        if third_at is None and crashes(world) >= CRASHES_TO_BAN:
            third_at = loop.time()
        await asyncio.sleep(0.1)
    late = [at for at in arrivals(world, CRASH_BODY) if at > third_at + CONTACT_S]
    assert len(late) <= ALLOWED_RETRIES
    assert answers[-3:] == [(502, None)] * 3
    for number, gateway in enumerate(gateways):
        status, _ = await call(world, gateway, f"good-{number}", b"good")
        assert status == 200


async def test_requests_beside_the_one_that_ends_targets_are_still_served(
    world, gateways, restarts
):
    """Guards against a ban of requests that only lost their connection when a target ended."""
    for name in ("p1", "p2"):
        world.targets[name].faults.crash_body = CRASH_BODY
        world.targets[name].work_s = 0.05
    for number in range(12):
        gateway = gateways[number % len(gateways)]
        await asyncio.gather(
            call(world, gateway, f"good-{number}", b"good"),
            call(world, gateway, f"crash-{number}", CRASH_BODY),
            return_exceptions=True,
        )
        await asyncio.sleep(0.2)
    await asyncio.sleep(RESTART_S + 0.3)
    for number, gateway in enumerate(gateways):
        status, _ = await call(world, gateway, f"late-{number}", b"good")
        assert status == 200


async def test_rejection_lasts_when_all_gateways_end_together(world, gateways):
    """Guards against three more ended targets after each restart of all gateways."""
    for gateway in gateways:
        for target in ("a", "b", "c"):
            gateway.shared.crashes.record_crash("f" * 32, target, asyncio.get_running_loop().time())
    await eventually(lambda: "crashing." + "f" * 32 in world.store.names("turmericreach"))
    for gateway in gateways:
        await world.kill_gateway(gateway.settings.host)
    started = await world.add_gateway("g9")
    now = asyncio.get_running_loop().time()
    await eventually(lambda: started.shared.crashes.is_rejected("f" * 32, now), 2.0)
