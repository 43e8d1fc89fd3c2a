"""Tests that orders run at most once under crashes, and that leaving targets get no new work."""

import asyncio

import pytest

from tests.builders.deployment import running

pytestmark = pytest.mark.timeout(60)
ORDERS = 30


async def place_order(deployment, number, keyed):
    """Place an order; a keyed one is submitted up to three times, at alternating gateways."""
    key = f"key-{number}" if keyed else ""
    for attempt in range(3 if keyed else 1):
        verdict = await deployment.order((number + attempt) % 2, f"{number}.{attempt}", key)
        if verdict == "answered":
            break
    return f"order-{number}.{attempt}", verdict


@pytest.mark.parametrize("victim", ["agent-a", "gateway-1"])
async def test_orders_under_a_kill_run_at_most_once(tmp_path, victim):
    """Guards against an order that runs twice, or is reported NOT_RUN although it ran."""
    async with running(tmp_path) as deployment:
        for name in ("ordering-1", "ordering-2"):
            await deployment.set_faults(name, latency_ms=300)
        tasks = []
        for number in range(ORDERS):
            if number == ORDERS // 2:
                await deployment.group.kill(victim)
                await deployment.restart(victim)
            tasks.append(asyncio.ensure_future(place_order(deployment, number, number % 2 == 0)))
            await asyncio.sleep(0.03)
        results = await asyncio.gather(*tasks)
        ran = await deployment.executions()
        assert all(count == 1 for count in ran.values())
        for number in range(ORDERS):
            assert sum(name.startswith(f"order-{number}.") for name in ran) <= 1
        for request_id, verdict in results:
            if verdict == "not_run":
                assert request_id not in ran
        assert sum(verdict == "answered" for _, verdict in results) >= ORDERS // 2


async def test_a_drained_and_a_leaving_target_get_no_new_work(tmp_path):
    """Guards against new work at a leaving target, and a stop that interrupts an order."""
    async with running(tmp_path) as deployment:
        url = deployment.layout.urls[0]
        status, _ = await deployment.call(
            "POST", f"{url}/v1/targets/ordering-1/drain", b'{"drain": true}'
        )
        assert status == 200
        await asyncio.sleep(3.0)
        record = f"http://127.0.0.1:{deployment.port_of('ordering-1')}/standin/record"
        before = (await deployment.call("GET", record))[1]["total"]
        for number in range(40):
            assert await deployment.order(number % 2, number) == "answered"
        assert (await deployment.call("GET", record))[1]["total"] == before
        await deployment.set_faults("ordering-2", latency_ms=3000)
        slow = asyncio.ensure_future(deployment.order(1, "slow", deadline_ms=9000))
        await asyncio.sleep(0.3)
        stopping = asyncio.ensure_future(deployment.group.terminate("agent-b"))
        await asyncio.sleep(3.0)
        ran = (await deployment.executions()).keys()
        verdict = await deployment.order(0, "late")
        assert verdict == "not_run"
        assert (await deployment.executions()).keys() == ran
        assert await slow == "answered"
        assert await stopping == 0
