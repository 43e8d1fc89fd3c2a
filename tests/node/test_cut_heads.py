"""Responses of targets that are cut anywhere: none may look complete to a caller."""

import asyncio

import pytest

from tests.builders.fleet_world import FleetWorld, configuration, eventually, route
from tests.builders.scripted_target import ScriptedTarget, chunk, head

BODY = b"the whole body of a response"
WHOLE = {
    "length": head(X_Attempt_Id="a1", Content_Length=len(BODY)) + BODY,
    "chunks": head(X_Attempt_Id="a1", Transfer_Encoding="chunked") + chunk(BODY) + chunk(b""),
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Server-Stamp: s\r\n"
    b"X-Attempt-Id: a1\r\n\r\n%b" % (len(BODY), BODY),
}
NEXT_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Attempt-Id: a1\r\n\r\n"


@pytest.fixture
async def world():
    fleet = FleetWorld()
    routes = [
        route("once", "/once/", "unsafe", "portal"),
        route("safe", "/safe/", "safe", "portal", maxAttempts=3),
    ]
    await fleet.start(configuration(routes=routes))
    yield fleet
    await fleet.stop()


async def start(world):
    """Start a scripted target and a gateway; return both."""
    target = await ScriptedTarget("p1", "portal").start(world.store)
    gateway = await world.add_gateway("g1")
    await eventually(lambda: len(gateway.directory.targets) == 1)
    return gateway, target


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("name", WHOLE)
async def test_cut_response_is_never_a_success(world, name, reset):
    """Guards against a 200 with an empty or short body after a head that was cut."""
    gateway, target = await start(world)
    target.reset = reset
    whole = WHOLE[name]
    for cut in range(len(whole)):
        target.script = [whole[:cut]]
        gateway.directory.targets["p1"].suspected_until = 0.0
        status, _, body = await world.call(gateway, "POST", "/once/1", attempt="a1")
        assert status in (502, 503), (cut, body)


async def test_head_that_goes_on_with_another_head_is_no_success(world):
    """Guards against a response made of the heads of two responses, with the body of neither."""
    gateway, target = await start(world)
    whole = WHOLE["length"]
    for cut in range(1, len(whole) - len(BODY)):
        target.script = [whole[:cut] + NEXT_HEAD]
        gateway.directory.targets["p1"].suspected_until = 0.0
        status, headers, _ = await world.call(gateway, "POST", "/once/1", attempt="a1")
        assert status in (502, 503), (cut, headers.fields)


async def test_cut_response_of_a_safe_request_is_followed_by_another_attempt(world):
    """Guards against a failure that the caller gets though another attempt would succeed."""
    gateway, target = await start(world)
    target.script = [WHOLE["length"][:30], WHOLE["chunks"]]
    async with asyncio.timeout(5):
        status, _, body = await world.call(gateway, "POST", "/safe/1", attempt="a1")
    assert (status, body) == (200, BODY)


@pytest.mark.parametrize("parts", [(14,), (20, 24), (8, 16, 24, 32)])
async def test_reason_phrase_that_goes_on_with_another_head_is_no_success(world, parts):
    """Guards against the status of one response with the body of another, however it arrives."""
    gateway, target = await start(world)
    other = head(500, X_Attempt_Id="a1", Content_Length=2) + b"no"
    data = b"HTTP/1.1 200 " + other
    cuts = (0, *parts, len(data))
    target.script = [[data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]]
    status, _, _ = await world.call(gateway, "POST", "/once/1", attempt="a1")
    assert status in (502, 503)
