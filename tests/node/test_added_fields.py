"""Header fields that a peer tries to add to the requests of others."""

import asyncio

import pytest

from tests.builders.fleet_world import HOST, item, submission
from turmericreach.http1.headers import HeaderError, encode_headers

ODD_VALUES = ["a\r\nX-Not-Executed: 1", "a\nb", "a\rb", "a\0b", "\u4e2d", "\u2028"]


@pytest.mark.parametrize("value", ODD_VALUES)
def test_value_that_would_add_a_field_is_not_encoded(value):
    """Guards against fields that a value of a peer adds to a message."""
    for fields in ([("X-Field", value)], [(value, "x")]):
        with pytest.raises(HeaderError):
            encode_headers("GET / HTTP/1.1", fields)


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("key", ["id", "host"])
async def test_scorer_adds_no_fields_to_its_request(world, key, value):
    """Guards against requests that a trainer makes up in the name of a scorer."""
    gateway = await world.add_gateway("g1")
    odd = item("i1")
    # The part before the colon selects the route of the scorer.
    odd["scorer"][key] = f"{HOST}:80{value}" if key == "host" else value
    assert await world.submit(gateway, "lot1", submission([odd])) == 400


async def test_trailers_of_a_request_add_no_fields(world):
    """Guards against fields that come after the body and were not checked with the head."""
    gateway = await world.add_gateway("g1")
    host, _, port = gateway.settings.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\n"
    trailers = "X-Model: m0\r\nX-Attempt-Id: a2\r\nAuthorization: x\r\n"
    request = f"{head}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n{trailers}\r\n"
    writer.write(request.encode())
    async with asyncio.timeout(5):
        await reader.readuntil(b"answers a1")
    writer.close()
    arrivals = [arrival for target in world.targets.values() for arrival in target.arrivals]
    (arrival,) = arrivals
    assert arrival.headers.values("x-attempt-id") == ["a1"]
    assert arrival.headers.get("x-model") is None
    assert arrival.headers.get("authorization") is None
