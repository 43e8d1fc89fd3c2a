"""A gateway process among servers that send bytes without end.

The checks do not depend on the speed of the machine: the process lives, its peak memory stays
within its settings, and ordinary requests are answered meanwhile.
"""

import asyncio

import pytest

from tests.builders.crowds import CrowdGateway
from tests.builders.endless_server import RESPONSES, EndlessServer
from tests.builders.fleet_world import FleetWorld, configuration, item, route, submission

pytestmark = pytest.mark.timeout(120)
MEMORY_MB = 160
MAX_FDS = 4100
TARGETS = 30
REQUESTS = 120
ITEMS = 40
DURATION_S = 3.0
ANSWER_WAIT_S = 20.0
# Responses that are also sent slowly, so that many are held at the same time.
SLOW = ["many_fields", "interim_fields", "announced_body", "trailers", "comments"]


def faulty_configuration():
    """Return a configuration whose services are faulty, except for one."""
    routes = [
        route("lookup", "/lookup/", "safe", "portal"),
        route("once", "/once/", "unsafe", "faulty"),
        route("safe", "/safe/", "safe", "faulty", maxAttempts=3),
        route("chat", "/chat/", "streaming", "faulty", resumable=True),
        route("rollout", "/rollout/", "rollout", "engines", dueMs=5000, queueTtlS=30),
        route("score", "/score/", "safe", "faulty", maxAttempts=3),
    ]
    made = configuration(routes=routes)
    made["services"].append({"name": "faulty", "healthPath": "/health", "maxConns": 100})
    return made


@pytest.fixture
async def world():
    fleet = FleetWorld()
    await fleet.start(faulty_configuration())
    await fleet.add_target("p1", "portal", slots=64)
    yield fleet
    await fleet.stop()


@pytest.fixture
async def gateway(world, tmp_path):
    made = CrowdGateway(world, tmp_path, MEMORY_MB, MAX_FDS)
    yield made
    await made.end()


async def send(world, gateway, path, number):
    """Send a request to a faulty service and return its status, 0 without a whole response."""
    try:
        async with asyncio.timeout(ANSWER_WAIT_S):
            status, _, _ = await world.call(
                gateway.caller_address, "POST", f"{path}{number}", b"x", attempt=f"r{number}"
            )
    except Exception:
        return 0
    return status


async def count_answers(gateway, seconds):
    """Send ordinary requests for some seconds, and return how many are answered with 200."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    answered = 0
    while loop.time() < end_at:
        answered += await gateway.answers()
        await asyncio.sleep(0.1)
    return answered


@pytest.mark.parametrize(
    ("response", "slow"), [*((name, False) for name in RESPONSES), *((name, True) for name in SLOW)]
)
async def test_endless_responses_leave_room_for_ordinary_requests(world, gateway, response, slow):
    """Guards against a gateway that keeps endless responses until its memory is used up.

    Reported by other operators (LOST). Requests, streams, items, scorer calls, reports, pings of
    another gateway and origins of streams read from such servers at the same time.
    """
    server = await EndlessServer(response, slow).start()
    for number in range(TARGETS):
        world.store.put("servers", f"f{number}", server.entry("faulty"))
        world.store.put("servers", f"e{number}", server.entry("engines"))
    peer = {"address": server.address, "incarnation": "endless", "cores": 1.0}
    world.store.put("turmericreach", "host.endless", peer)
    await gateway.start()
    await world.submit(
        gateway.caller_address, "lot1", submission([item(f"i{n}") for n in range(ITEMS)])
    )
    world.store.put("versions", "m0", {"model": "m0", "version": 2})
    paths = ["/once/", "/safe/", "/chat/"]
    tasks = [
        asyncio.create_task(send(world, gateway, paths[number % 3], number))
        for number in range(REQUESTS)
    ]
    answered = await count_answers(gateway, DURATION_S)
    statuses = await asyncio.gather(*tasks)
    peak_mb = gateway.peak_mb()
    alive = gateway.process.returncode is None
    server.stop()
    assert alive
    assert server.requests > REQUESTS / 3
    assert peak_mb < MEMORY_MB
    assert answered > 0
    if response != "after_the_response":
        assert 200 not in statuses
    assert await gateway.answers()


@pytest.mark.parametrize("response", ["many_fields", "chunked_body", "one_field"])
async def test_endless_responses_of_the_store_leave_room_for_ordinary_requests(
    world, gateway, response
):
    """Guards against a gateway that keeps endless responses of the store."""
    await gateway.start()
    world.store.faults.endless = RESPONSES[response][1]
    answered = await count_answers(gateway, DURATION_S)
    world.store.faults.endless = b""
    assert gateway.process.returncode is None
    assert gateway.peak_mb() < MEMORY_MB
    assert answered > 0
