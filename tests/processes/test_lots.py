"""Tests of lots on real processes under crashes, pauses, stops and weight swaps."""

import asyncio
import signal

import pytest

from tests.builders.deployment import TrainerRecord, running, small_lot

pytestmark = pytest.mark.timeout(60)


async def coordinator(deployment, lot="lot-1"):
    for url in deployment.layout.urls:
        status, reply = await deployment.call("GET", f"{url}/v1/lots/{lot}")
        if status == 200:
            return reply["coordinator"]
    raise AssertionError("no gateway knows the lot")


async def finish(trainer, task):
    async with asyncio.timeout(40.0):
        await task
    trainer.assert_exactly_once()


async def test_kill_of_engine_agent_and_coordinator_in_the_middle_of_a_lot(tmp_path):
    """Guards against lost, duplicate or mislabelled samples after crashes during a lot."""
    async with running(tmp_path) as deployment:
        trainer = TrainerRecord(deployment.layout.urls, small_lot(groups=8))
        task = asyncio.ensure_future(trainer.run())
        await trainer.wait_for(4)
        await deployment.group.kill("palette-1")
        await deployment.group.kill("agent-b")
        await deployment.restart("palette-1")
        await deployment.restart("agent-b")
        await trainer.wait_for(len(trainer.samples) + 4)
        await deployment.group.kill(await coordinator(deployment))
        await finish(trainer, task)


async def test_pause_of_agent_and_coordinator_in_the_middle_of_a_lot(tmp_path):
    """Guards against duplicate samples when paused processes resume after a takeover."""
    async with running(tmp_path) as deployment:
        trainer = TrainerRecord(deployment.layout.urls, small_lot())
        task = asyncio.ensure_future(trainer.run())
        await trainer.wait_for(4)
        holder = await coordinator(deployment)
        deployment.signal("agent-a", signal.SIGSTOP)
        deployment.signal(holder, signal.SIGSTOP)
        await asyncio.sleep(4.0)
        deployment.signal(holder, signal.SIGCONT)
        deployment.signal("agent-a", signal.SIGCONT)
        await finish(trainer, task)


async def test_the_platform_is_down_for_a_whole_lot_and_ports_get_garbage(tmp_path):
    """Guards against a lot that needs the object API, and daemons that end on invalid input."""
    async with running(tmp_path, lost_answers=1) as deployment:
        assert deployment.revision.generation == 1
        await deployment.set_faults("objects", down=True)
        for daemon in deployment.layout.daemons:
            for garbage in (b"", b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 4096):
                _, writer = await asyncio.open_connection("127.0.0.1", daemon.rpc_port)
                writer.write(garbage)
                writer.close()
        trainer = TrainerRecord(deployment.layout.urls, small_lot(groups=6))
        await finish(trainer, asyncio.ensure_future(trainer.run()))
        for daemon in deployment.layout.daemons:
            assert deployment.group.running[daemon.name].returncode is None


async def test_versions_announced_in_a_lot_with_a_failed_and_a_wrong_swap(tmp_path):
    """Guards against stale or mislabelled samples when weight swaps fail during a lot."""
    async with running(tmp_path) as deployment:
        trainer = TrainerRecord(deployment.layout.urls, small_lot(groups=20))
        task = asyncio.ensure_future(trainer.run())
        await trainer.wait_for(4)
        await deployment.set_faults("palette-1", fail_swaps=1)
        await deployment.set_faults("palette-2", wrong_swap=1)
        # Unpulled samples of version 0 stay at the coordinator until they are stale for version 2.
        trainer.pulling.clear()
        for version in (1, 2):
            await deployment.announce(version)
            await asyncio.sleep(1.5)
        trainer.version = 2
        trainer.pulling.set()
        await finish(trainer, task)

        async def converged():
            _, targets = await deployment.call("GET", f"{deployment.layout.urls[0]}/v1/targets")
            return all(t["version"] == 2 for t in targets if t["target"].startswith("palette"))

        await deployment.wait_until(converged)


async def test_a_rolling_restart_under_load_loses_nothing(tmp_path):
    """Guards against failed lookups and lost samples while daemons restart one by one."""
    async with running(tmp_path) as deployment:
        trainer = TrainerRecord(deployment.layout.urls, small_lot(groups=40))
        task = asyncio.ensure_future(trainer.run())
        await trainer.wait_for(2)
        verdicts = []

        async def lookups():
            number = 0
            while not task.done():
                number += 1
                for url in list(open_urls):
                    call = deployment.call("GET", f"{url}/services/ordering/catalogue/{number}")
                    verdicts.append((await call)[0])
                await asyncio.sleep(0.02)

        open_urls = list(deployment.layout.urls)
        load = asyncio.ensure_future(lookups())
        for name in ("agent-a", "gateway-1"):
            if name == "gateway-1":
                # A load balancer stops sending when the health check fails, before the port closes.
                open_urls.remove(deployment.layout.urls[0])
            assert await deployment.group.terminate(name) == 0
            await deployment.restart(name)
        await finish(trainer, task)
        await load
        assert set(verdicts) == {200}
