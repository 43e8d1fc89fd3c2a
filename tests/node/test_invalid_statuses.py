"""Responses whose status line has no status of HTTP: a fault of the target, never an answer."""

import asyncio

import pytest

from tests.builders.fleet_world import (
    FleetWorld,
    GatewayProcess,
    configuration,
    eventually,
    item,
    route,
    submission,
)
from tests.builders.scripted_target import ScriptedTarget, chunk, event, head, stream_head

INVALID = [
    b"HTTP/1.1 000 Zero",
    b"HTTP/1.1 000",
    b"HTTP/1.0 000 Zero",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 600 High",
    b"HTTP/1.1 999 High",
    b"HTTP/1.1 20 Two",
    b"HTTP/1.1 2000 Four",
    b"HTTP/1.1 2x0 Letters",
    b"HTTP/1.1 -20 Negative",
    b"HTTP/2.0 200 Other",
    b"HTTP/0.9 200 Other",
    b"HTTP/1.1 101 Switching",
    b"HTTP/1.1 101 Switching\r\nUpgrade: other\r\nConnection: upgrade",
    b"HTTP/1.1 199 Interim",
]
# Interim responses that no final one follows.
WITHOUT_FINAL = [b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"]
FIELDS = b"\r\nX-Server-Stamp: s1\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nno"
# Parts that keep the connection open for 1.5 s.
STAYS_OPEN = [b""] * 300
WHOLE = head(X_Attempt_Id="a1", Content_Length=2) + b"ok"


@pytest.fixture
async def world():
    fleet = FleetWorld()
    routes = [
        route("once", "/once/", "unsafe", "portal"),
        route("safe", "/safe/", "safe", "portal", maxAttempts=3),
        route("chat", "/chat/", "streaming", "portal", resumable=True),
        route("rollout", "/rollout/", "rollout", "engines", dueMs=5000, queueTtlS=30),
        route("score", "/score/", "safe", "portal", maxAttempts=4),
    ]
    await fleet.start(configuration(routes=routes))
    yield fleet
    await fleet.stop()


@pytest.fixture
async def program(world, tmp_path):
    made = GatewayProcess(world, "g1", tmp_path)
    yield made
    await made.end()


async def start(world, program, service="portal"):
    """Start a scripted target and a gateway process."""
    target = await ScriptedTarget("p1", service).start(world.store)
    await program.start()
    return target


async def call(world, program, target, script, path):
    """Send one request, to which the target responds with a script."""
    target.script = script
    async with asyncio.timeout(6):
        return await world.call(program.caller_address, "POST", path, attempt="a1")


async def test_invalid_status_is_never_the_answer_to_a_request(world, program):
    """Guards against a caller that gets status 000, and against one that waits for more.

    Reported by operators of similar systems (MIXED). The target may have run the request.
    """
    target = await start(world, program)
    loop = asyncio.get_running_loop()
    for line in INVALID:
        began = loop.time()
        status, _, body = await call(
            world, program, target, [[line + FIELDS, *STAYS_OPEN]], "/once/1"
        )
        assert (status, body) == (502, b""), line
        assert loop.time() - began < 1.0, line
    for data in WITHOUT_FINAL:
        status, _, body = await call(world, program, target, [data], "/once/1")
        assert (status, body) == (502, b""), data
    assert len(target.requests) == len(INVALID) + len(WITHOUT_FINAL)

    def logged():
        return [
            event["fields"]["outcome"]
            for event in program.events()
            if event["event"] == "request_tried"
        ]

    # The program writes its log in the background.
    await eventually(lambda: len(logged()) == len(target.requests))
    outcomes = logged()
    assert all(outcome.startswith("no whole answer: ") for outcome in outcomes)
    assert sum("000" in outcome for outcome in outcomes) == 3
    assert "unexpected_error" not in [event["event"] for event in program.events()]


async def test_safe_request_is_sent_again_after_an_invalid_status(world, program):
    """Guards against a failure that the caller gets though another attempt would succeed."""
    target = await start(world, program)
    for line in (INVALID[0], INVALID[4], INVALID[12]):
        status, _, body = await call(world, program, target, [line + FIELDS, WHOLE], "/safe/1")
        assert (status, body) == (200, b"ok"), line


@pytest.mark.parametrize("line", [INVALID[0], INVALID[4], INVALID[12]])
async def test_stream_with_an_invalid_status_is_requested_again(world, program, line):
    """Guards against a stream that is forwarded with status 000."""
    target = await start(world, program)
    events = stream_head(X_Attempt_Id="a1") + chunk(event(1)) + chunk(b"")
    broken = line + stream_head(X_Attempt_Id="a1").removeprefix(b"HTTP/1.1 200 Status")
    script = [broken + chunk(event(1)) + chunk(b""), events]
    status, _, body = await call(world, program, target, script, "/chat/1")
    assert (status, body) == (200, event(1))


@pytest.mark.parametrize("line", [INVALID[0], INVALID[4], INVALID[12]])
async def test_items_and_scores_survive_invalid_statuses(world, program, line):
    """Guards against status 000 as the result of an item, or as its score."""
    engine = await ScriptedTarget("e1", "engines").start(world.store)
    scorer = await ScriptedTarget("p1", "portal").start(world.store)
    events = stream_head(X_Attempt_Id="i1") + chunk(event(1)) + chunk(b"")
    engine.script = [line + FIELDS.replace(b"a1", b"i1"), events]
    scored = head(stamp="good", X_Attempt_Id="si1", Content_Length=2) + b"ok"
    scorer.script = [line + FIELDS.replace(b"a1", b"si1"), scored]
    await program.start()
    assert await world.submit(program.caller_address, "lot1", submission([item("i1")])) == 202
    [result] = await world.read_all(program.caller_address, "lot1", 1, timeout_s=15.0)
    assert (result["state"], result["text"], result["score"]) == ("completed", "x1", "good")


async def test_store_that_answers_with_invalid_statuses_is_asked_again(world):
    """Guards against a write that a status 600 makes certain, or a read that it ends."""
    gateway = await world.add_gateway("g1")
    world.store.faults.write_status = 600
    submitted = asyncio.create_task(world.submit(gateway, "lot1", submission([item("i1")])))
    await eventually(lambda: world.store.names("turmericreach-lots") == ["lot1"])
    world.store.faults.write_status = None
    assert await submitted == 202
