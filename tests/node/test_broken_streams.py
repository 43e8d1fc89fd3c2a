"""Streams of callers whose targets break off and are followed by other bytes."""

import pytest

from tests.builders.callers import StreamCaller
from tests.builders.fleet_world import FleetWorld, configuration, eventually, route
from tests.builders.scripted_target import ScriptedTarget, chunk, event, head, stream_head

ERROR = b"Internal error\n\n"
# What the second target of a stream sends: an error in any form, or events that do not follow.
OTHER_BYTES = {
    "an error": head(500, Content_Length=len(ERROR)) + ERROR,
    "an error without a stamp": head(500, "", Content_Length=len(ERROR)) + ERROR,
    "an error as success": head(200, Content_Length=len(ERROR)) + ERROR,
    "a success without a stamp": head(200, "", Content_Length=len(ERROR)) + ERROR,
    "another success": head(204) + b"",
    "an error of another type": head(Content_Type="text/html", Content_Length=16) + ERROR,
    "an error in a stream": stream_head() + chunk(ERROR) + chunk(b""),
    "an error event": stream_head() + chunk(b"event: error\ndata: no\n\n") + chunk(b""),
    "an event that was sent": stream_head() + chunk(event(2) + event(3)) + chunk(b""),
    "the first events again": stream_head() + chunk(event(1) + event(2)) + chunk(b""),
    "an event after a gap": stream_head() + chunk(event(4) + event(5)) + chunk(b""),
    "half a head": b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nContent-Le",
    "no response": b"",
}
# What the first target sends in the middle of its stream, after two events.
SPLICED = {
    "a head between two events": head(500, Content_Length=16) + ERROR,
    "a head in an event": b"id: 3\ndata: par" + head(500, Content_Length=16) + ERROR,
    "a head without fields in an event": b"id: 3\ndata: par" + head(500, "") + ERROR,
    "a head in an id": b"id: 3" + head(200, Content_Length=16) + ERROR,
    "a text": ERROR,
    "half an event": b"id: 3\ndata: par",
}


@pytest.fixture
async def world():
    fleet = FleetWorld()
    routes = [
        route("chat", "/chat/", "streaming", "engines", resumable=True, maxAttempts=3),
        route("once", "/once/", "streaming", "engines"),
    ]
    await fleet.start(configuration(routes=routes))
    yield fleet
    await fleet.stop()


async def start(world, *scripts):
    """Start scripted targets one for each script, and a gateway; return the gateway."""
    targets = []
    for number, script in enumerate(scripts):
        targets.append(await ScriptedTarget(f"e{number}", "engines", [script]).start(world.store))
    gateway = await world.add_gateway("g1")
    await eventually(lambda: len(gateway.directory.targets) == len(scripts))
    return gateway, targets


async def read_stream(world, gateway, prefix="/chat/"):
    """Request a stream and return status, ids of events, and whether it ended as complete."""
    caller = StreamCaller(world, "s")
    caller.prefix = prefix
    status = await caller.open(gateway)
    if status == 200:
        await caller.read()
    caller.close()
    return status, caller


@pytest.mark.parametrize("name", OTHER_BYTES)
async def test_bytes_of_the_next_target_are_no_part_of_a_stream(world, name):
    """Guards against the text of an error in a caller's stream, and a stream that seems whole."""
    begun = stream_head() + chunk(event(1) + event(2))
    other = OTHER_BYTES[name]
    gateway, targets = await start(world, begun)
    targets[0].script += [other, other]
    status, caller = await read_stream(world, gateway)
    assert status == 200
    assert caller.event_ids == [1, 2]
    assert caller.event_data == ["x1", "x2"]
    assert not caller.complete
    assert b"Last-Event-Id: 2" in targets[0].requests[1]


@pytest.mark.parametrize("prefix", ["/chat/", "/once/"])
@pytest.mark.parametrize("name", SPLICED)
async def test_bytes_in_the_middle_of_a_stream_end_it(world, name, prefix):
    """Guards against the head or the text of another response in a caller's stream."""
    begun = stream_head() + chunk(event(1) + event(2) + SPLICED[name]) + chunk(b"")
    gateway, _ = await start(world, begun)
    status, caller = await read_stream(world, gateway, prefix)
    assert status == 200
    assert caller.event_ids == [1, 2]
    assert caller.event_data == ["x1", "x2"]
    assert not caller.complete


async def test_stream_goes_on_after_other_bytes(world):
    """Guards against a stream that is given up though another target could continue it."""
    begun = stream_head() + chunk(event(1) + event(2) + ERROR)
    rest = stream_head() + chunk(event(3) + event(4)) + chunk(b"")
    gateway, targets = await start(world, begun)
    targets[0].script.append(rest)
    status, caller = await read_stream(world, gateway)
    assert status == 200
    assert caller.event_ids == [1, 2, 3, 4]
    assert caller.complete


async def test_text_that_mentions_a_status_line_is_part_of_a_stream(world):
    """Guards against a stream that is given up for what its text is about."""
    data = event(1, "HTTP/1.1 200 OK says the server: ") + event(2)
    gateway, _ = await start(world, stream_head() + chunk(b": hello\n\n" + data) + chunk(b""))
    status, caller = await read_stream(world, gateway)
    assert (status, caller.complete) == (200, True)
    assert [number for number in caller.event_ids if number is not None] == [1, 2]


async def test_stream_without_events_is_no_success(world):
    """Guards against an empty stream that ends as if it were whole."""
    gateway, _ = await start(world, stream_head() + chunk(b""))
    status, _ = await read_stream(world, gateway, "/once/")
    assert status == 502
