"""Tests the command line, the graceful stop and the crash of stand-ins as processes."""

import asyncio
import contextlib
import signal
import sys
import types

import pytest

from tests.standins.calls import call, get_running_count, read_raw, send, wait_until


@contextlib.asynccontextmanager
async def run_standin(*arguments):
    """Run a stand-in as a process; yield the process and the address that it serves at."""
    command = [sys.executable, "-m", "turmericreach_standins", *arguments, "--port", "0"]
    child = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
    try:
        line = await asyncio.wait_for(child.stdout.readline(), 20)
        host, _, port = line.decode().split()[-1].rpartition(":")
        yield child, types.SimpleNamespace(host=host, port=int(port))
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()


async def test_sigterm_lets_a_request_end():
    """Guards against a graceful stop that interrupts a request."""
    async with run_standin("service", "--latency-ms", "600", "--seed", "4") as (child, server):
        running = asyncio.ensure_future(call(server, "POST", "/orders", b"x"))
        await wait_until(get_running_count, server)
        child.send_signal(signal.SIGTERM)
        assert (await running)[0] == 200
        assert await asyncio.wait_for(child.wait(), 10) == 0


async def test_crash_fault_ends_the_process_at_once():
    """Guards against a crash that still completes open responses."""
    async with run_standin("engine", "--slots", "2", "--fencing", "ignore") as (child, server):
        assert (await call(server, "GET", "/v1/load"))[2]["slots"] == 2
        body = {"prompt": "p", "max_tokens": 10_000, "ignore_eos": True, "stream": True}
        reader, writer = await send(server, "POST", "/v1/completions", body)
        await reader.readline()
        assert await read_raw(server, "POST", "/standin/faults", {"crash": True}) == b""
        assert await asyncio.wait_for(child.wait(), 10) == 70
        writer.close()


@pytest.mark.parametrize("program", ["objects", "weightstore"])
async def test_other_programs_start_and_stop(program):
    """Guards against programs that do not start, or wait for open watches when they stop."""
    async with run_standin(program) as (child, server):
        assert (await call(server, "GET", "/standin/faults"))[2] == {}
        _, writer = await send(server, "GET", "/watch/lots?since=0&timeout_s=60")
        await asyncio.sleep(0.1)
        child.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(child.wait(), 3) == 0
        writer.close()
