"""The gateway program as a separate process: start, signals, kill and log."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys

import pytest

from tests.builders.fleet_world import PROGRAM, GatewayProcess, eventually, item, submission
from tests.builders.loopback import LOOPBACK
from turmericreach.node.main import EXIT_LISTEN_FAILED


@pytest.fixture
async def programs(world, tmp_path):
    started = [GatewayProcess(world, name, tmp_path) for name in ("g1", "g2")]
    for program in started:
        await program.start()
    yield started
    for program in started:
        await program.end()


async def test_requests_are_served_through_a_graceful_stop(world, programs):
    """Guards against responses that are interrupted by a graceful stop."""
    for name in ("p1", "p2"):
        world.targets[name].work_s = 0.5
    tasks = [
        asyncio.create_task(
            world.call(programs[0].caller_address, "POST", "/lookup/1", attempt=f"a{number}")
        )
        for number in range(6)
    ]
    await asyncio.sleep(0.2)
    programs[0].signal(signal.SIGTERM)
    assert [(await task)[0] for task in tasks] == [200] * 6
    assert not await programs[0].is_ready()
    async with asyncio.timeout(7):
        assert await programs[0].process.wait() == 0
    names = [event["event"] for event in programs[0].events()]
    assert names[0] == "node_started"
    assert names[-1] == "node_stopped"


async def test_lot_survives_sigkill_of_its_owner(world, programs):
    """Guards against the loss of a lot with the process that accepted it."""
    for name in ("e1", "e2"):
        world.targets[name].event_s = 0.1
    document = submission([item(f"i{number}") for number in range(4)])
    assert await world.submit(programs[0].caller_address, "lot1", document) == 202
    programs[0].signal(signal.SIGKILL)
    results = await world.read_all(programs[1].caller_address, "lot1", 4, timeout_s=12.0)
    assert sorted(result["id"] for result in results) == ["i0", "i1", "i2", "i3"]


async def test_lots_survive_sigkill_of_all_processes(world, programs):
    """Guards against the loss of lots whose state is only in memory."""
    for name in ("e1", "e2"):
        world.targets[name].event_s = 0.05
    document = submission([item(f"i{number}") for number in range(4)])
    assert await world.submit(programs[0].caller_address, "lot1", document) == 202
    for program in programs:
        program.signal(signal.SIGKILL)
        await program.process.wait()
    for program in programs:
        await program.start()
    assert len(await world.read_all(programs[1].caller_address, "lot1", 4, timeout_s=12.0)) == 4


async def test_owner_that_resumes_after_a_freeze_changes_nothing(world, programs):
    """Guards against a former owner that adds results after SIGCONT."""
    for name in ("e1", "e2"):
        world.targets[name].event_s = 0.1
    document = submission([item(f"i{number}") for number in range(4)])
    await world.submit(programs[0].caller_address, "lot1", document)
    await asyncio.sleep(0.2)
    programs[0].signal(signal.SIGSTOP)
    results = await world.read_all(programs[1].caller_address, "lot1", 4, timeout_s=12.0)
    programs[0].signal(signal.SIGCONT)
    await asyncio.sleep(1.0)
    assert await world.read_all(programs[0].caller_address, "lot1", 4) == results


async def test_log_lines_are_json_with_the_request_id(world, programs):
    """Guards against log events that cannot be found by the id of a request."""
    await world.call(programs[0].caller_address, "POST", "/lookup/1", attempt="find-me")
    await eventually(
        lambda: (
            {"request_tried", "request_ended"}
            <= {
                event["event"]
                for event in programs[0].events()
                if event["fields"].get("request") == "find-me"
            }
        )
    )


def run_program(*arguments, **environment):
    """Run the program until it exits, with the given environment variables."""
    return subprocess.run(
        [sys.executable, str(PROGRAM), *arguments],
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (None, "TURMERICREACH_NODE_FILE"),
        ("{", "no JSON"),
        ({"node": 5}, "node"),
        ({"platform": {}}, "platform.address"),
        ({"portRange": [1]}, "portRange"),
        ({"bounds": {"graceS": "long"}}, "bounds.graceS"),
    ],
)
async def test_invalid_settings_end_the_program_with_one_line_of_error(
    world, tmp_path, change, named
):
    """Guards against a program that starts with invalid settings."""
    document = GatewayProcess(world, "g1", tmp_path).document()
    path = tmp_path / "settings.json"
    environment = {"TURMERICREACH_NODE_FILE": str(path)}
    if change is None:
        environment = {"TURMERICREACH_NODE_FILE": ""}
    elif isinstance(change, str):
        path.write_text(change)
    else:
        path.write_text(json.dumps({**document, **change}))
    ended = await asyncio.to_thread(run_program, "gateway", **environment)
    assert ended.returncode == 2
    assert named in ended.stderr
    assert len(ended.stderr.strip().splitlines()) == 1


def test_unknown_program_name_is_rejected():
    """Guards against a deploy file with an unknown program name that goes unnoticed."""
    assert run_program("other").returncode == 2


def test_standby_ends_on_sigterm():
    """Guards against a program that ignores SIGTERM."""
    process = subprocess.Popen([sys.executable, str(PROGRAM), "standby"])
    try:
        with pytest.raises(subprocess.TimeoutExpired):
            process.wait(timeout=0.5)
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=5) == 0
    finally:
        process.kill()
        process.wait()


async def test_program_retries_a_port_that_is_in_use(world, tmp_path):
    """Guards against a start that fails because an outgoing connection briefly uses the port.

    In tests/coordination/test_relay.py the program exited with the traceback "address already in
    use", and the test waited for it until its timeout.
    """
    program = GatewayProcess(world, "g1", tmp_path)
    with socket.socket() as holder:
        holder.bind((LOOPBACK, program.ports[0]))
        await program.launch()
        await eventually(lambda: "address_in_use" in [e["event"] for e in program.events()])
    await eventually(program.is_ready)
    await program.end()


async def test_program_exits_with_a_log_event_if_a_port_stays_in_use(world, tmp_path):
    """Guards against an exit that no JSON log line explains."""
    program = GatewayProcess(world, "g1", tmp_path)
    with socket.socket() as holder:
        holder.bind((LOOPBACK, program.ports[0]))
        holder.listen()
        await program.launch()
        async with asyncio.timeout(8):
            assert await program.process.wait() == EXIT_LISTEN_FAILED
    last = program.events()[-1]
    assert last["event"] == "node_not_listening"
    assert last["fields"]["address"] == f"{LOOPBACK}:{program.ports[0]}"
    assert "Traceback" not in program.log_file.read_text()


def handles_hangup(program, kind):
    """Return whether a program ignores (``SigIgn``) or catches (``SigCgt``) SIGHUP."""
    with open(f"/proc/{program.process.pid}/status") as status:
        for line in status:
            if line.startswith(f"{kind}:"):
                return bool(int(line.split()[1], 16) & 1 << (signal.SIGHUP - 1))
    raise AssertionError("the process has ended")


async def test_reload_during_the_start_does_not_end_the_program(world, tmp_path):
    """Guards against SIGHUP before its handler is installed, which ends a program by default.

    Found by reading in the second review. Until the interpreter runs, nothing can ignore it.
    """
    program = GatewayProcess(world, "g3", tmp_path)
    await program.launch()
    try:
        async with asyncio.timeout(5):
            while not handles_hangup(program, "SigIgn"):
                assert not handles_hangup(program, "SigCgt")
                await asyncio.sleep(0.005)
        while not handles_hangup(program, "SigCgt"):
            program.signal(signal.SIGHUP)
            await asyncio.sleep(0.01)
        await eventually(program.is_ready, timeout_s=15.0)
    finally:
        await program.end()
