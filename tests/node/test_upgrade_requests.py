"""Requests that ask for an upgrade to another protocol first."""

import asyncio

import pytest

from tests.builders.fleet_world import HOST

UPGRADE = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"
PLAIN = ""


def request(path, attempt, body=b"", fields=UPGRADE, chunked=False):
    """Return the bytes of a request."""
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n{fields}{framing}"
    if chunked:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return f"{head}\r\n\r\n".encode() + body


async def answers_to(gateway, pieces, count):
    """Send pieces over one connection and return what answers the requests in them."""
    host, _, port = gateway.settings.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b""
    async with asyncio.timeout(5):
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.02)
        while received.count(b" answers ") < count:
            data = await reader.read(65_536)
            assert data, received
            received += data
    writer.close()
    return received


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [1, 7, 10_000])
async def test_request_is_served_as_if_it_asked_for_no_upgrade(world, chunked, size):
    """Guards against a request that is run and whose connection is closed without an answer.

    Third review: clients that ask for h2c first lost 10 of 10 requests, 2 of which had been run.
    """
    gateway = await world.add_gateway("g1")
    body = b"x" * 5000
    sent = request("/lookup/1", "a1", body, UPGRADE, chunked) + request("/order/2", "a2")
    sent += request("/lookup/3", "a3", b"y", PLAIN)
    if size == 1:
        head, _, rest = sent.partition(b"\r\n\r\n")
        pieces = [bytes([byte]) for byte in head[:8]] + [head[8:], b"\r\n", b"\r\n", rest]
    else:
        step = max(len(sent) // size, 1)
        pieces = [sent[start : start + step] for start in range(0, len(sent), step)]
        if size == 10_000:
            pieces = [sent]
    received = await answers_to(gateway, pieces, 3)
    assert received.count(b"HTTP/1.1 200") == 3
    arrivals = [arrival for target in world.targets.values() for arrival in target.arrivals]
    bodies = {arrival.headers.get("x-attempt-id"): arrival.body for arrival in arrivals}
    assert bodies == {"a1": body, "a2": b"", "a3": b"y"}
    for arrival in arrivals:
        assert arrival.headers.get("upgrade") is None


async def test_connect_is_rejected_and_not_run(world):
    """Guards against a request that is queued although it asks for a tunnel."""
    gateway = await world.add_gateway("g1")
    host, _, port = gateway.settings.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"CONNECT {HOST}:1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    async with asyncio.timeout(5):
        assert (await reader.readline()).split()[1] == b"501"
    writer.close()
    assert not any(target.arrivals for target in world.targets.values())
