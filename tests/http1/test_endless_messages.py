"""Tests of messages that never end: each must end the exchange within a bounded size."""

import asyncio

import pytest

from tests.builders.rawserver import RawServer
from turmericreach.batches.event_stream import EventParser
from turmericreach.http1 import (
    ConnectionPool,
    HttpServer,
    ResponseIncomplete,
    ResponseLimits,
    ServerLimits,
)

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = ResponseLimits(head_bytes=65_536, body_bytes=1 << 20, skipped_bytes=1 << 20)
# Largest number of bytes that the kernel's buffers of both ends hold beyond what is read.
SOCKET_BUFFERS = 16 << 20
ENDLESS_RESPONSES = {
    "header fields": (HEAD, b"X-Field: value\r\n" * 1000),
    "one field value": (HEAD + b"X-Field: ", b"v" * 65_536),
    "one field name": (HEAD, b"n" * 65_536),
    "reason phrase": (b"HTTP/1.1 200 ", b"O" * 65_536),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "responses to other requests": (
        b"",
        b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno" * 1000,
    ),
    "body of a response to another request": (
        HEAD + b"X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65_536 + b"\r\n",
    ),
    "chunked body": (CHUNKED, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
    "body that ends with the connection": (HEAD + b"\r\n", b"x" * 65_536),
    "announced body": (HEAD + b"Content-Length: 9999999999\r\n\r\n", b"x" * 65_536),
    "chunk extension": (CHUNKED + b"1;x=", b"e" * 65_536),
    "trailer fields": (CHUNKED + b"0\r\n", b"X-Field: value\r\n" * 1000),
    "trailer value": (CHUNKED + b"0\r\nX-Field: ", b"v" * 65_536),
}


@pytest.fixture
async def pool():
    made = ConnectionPool(1.0, limits=LIMITS)
    yield made
    made.close()


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
async def test_endless_response_ends_within_its_limit(pool, name):
    """Guards against a gateway that runs out of memory or waits until the deadline."""
    answer, repeated = ENDLESS_RESPONSES[name]
    async with RawServer(answer) as server:
        server.repeated = repeated
        address = server.url.removeprefix("http://")
        async with asyncio.timeout(5):
            with pytest.raises(ResponseIncomplete, match="exceed"):
                await pool.fetch(address, "GET", "/", [("Host", "h")], echo=("X-Id", "mine"))
            await server.connection_lost.wait()
        assert pool.idle.get(address, []) == []
        assert pool.buffers.held_bytes == 0
        assert server.sent < SOCKET_BUFFERS


async def test_other_responses_survive_many_endless_ones():
    """Guards against endless targets that together exhaust the memory of a gateway."""
    limits = ResponseLimits(body_bytes=64 << 20, total_bytes=4 << 20)
    pool = ConnectionPool(1.0, max_idle=32, limits=limits)
    good_answer = HEAD + b"Connection: close\r\nContent-Length: 10000\r\n\r\n" + b"x" * 10_000
    async with RawServer(CHUNKED) as endless, RawServer(good_answer) as good:
        endless.repeated = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        calls = [
            pool.fetch(endless.url.removeprefix("http://"), "GET", "/", [("Host", "h")])
            for _ in range(30)
        ]
        tasks = [asyncio.ensure_future(call) for call in calls]
        async with asyncio.timeout(20):
            for _ in range(10):
                address = good.url.removeprefix("http://")
                _, body = await pool.fetch(address, "GET", "/", [("Host", "h")])
                assert len(body) == 10_000
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                assert isinstance(result, ResponseIncomplete)
        assert pool.buffers.peak_bytes <= limits.total_bytes
    pool.close()


def test_endless_event_is_rejected():
    """Guards against buffering an event that never ends."""
    parser = EventParser(max_event_bytes=65_536)
    parser.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(ResponseIncomplete, match="exceed"):
        for _ in range(100):
            parser.feed(b"data: " + b"x" * 4096 + b"\n")
    assert len(parser.rest) <= 65_536 + 8192


@pytest.mark.parametrize("idle", [b"\n\n", b": keep\n\n", b":\r\n\r\n"])
def test_comments_without_end_are_rejected(idle):
    """Guards against a stream that occupies the loop with what is no event."""
    parser = EventParser()
    for number in range(1, 4):
        parser.feed(idle * 5000)
        parser.feed(b"id: %d\ndata: x\n\n" % number)
    with pytest.raises(ResponseIncomplete, match="exceed"):
        for _ in range(100):
            parser.feed(idle * 1000)


def test_blank_lines_without_end_are_parsed_in_linear_time():
    """Guards against a loop that is blocked by copying the buffer at each blank line."""
    parser = EventParser(max_event_bytes=1 << 20)
    assert parser.feed(b"\n" * (1 << 20)) == []
    assert parser.rest == b""


async def send_endless(server, head, repeated):
    """Send a head and then repeated bytes until the server closes; return the response."""
    port = await server.start("127.0.0.1:0")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    received = b""
    writer.write(head)
    try:
        async with asyncio.timeout(5):
            while not received:
                writer.write(repeated)
                await writer.drain()
                try:
                    async with asyncio.timeout(0.001):
                        received = await reader.read(65_536)
                        break
                except TimeoutError:
                    continue
    except ConnectionError:
        received = received or b"closed"
    writer.close()
    await server.stop()
    return received


@pytest.mark.parametrize(
    ("head", "repeated"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: ", b"v" * 4096),
        (b"GET /", b"u" * 4096),
        (b"GET / HTTP/1.1\r\nHost: h\r\n", b"X-Field: value\r\n" * 100),
        (b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"e" * 4096),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
            b"v" * 4096,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1000\r\n" + b"x" * 4096 + b"\r\n",
        ),
    ],
)
async def test_endless_request_is_rejected(head, repeated):
    """Guards against a caller that fills the memory of a gateway with one request."""
    handled = []
    limits = ServerLimits(header_bytes=16_384, body_bytes=65_536, header_timeout_s=4.5)
    server = HttpServer(lambda request, responder: handled.append(request), limits)
    received = await send_endless(server, head, repeated)
    assert received.startswith((b"HTTP/1.1 4", b"closed"))
    assert handled == []


async def test_request_body_that_never_ends_in_time_is_rejected():
    """Guards against connections held open by a body that is sent a byte at a time."""
    limits = ServerLimits(body_timeout_s=0.3)
    server = HttpServer(lambda request, responder: None, limits)
    port = await server.start("127.0.0.1:0")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
    async with asyncio.timeout(3):
        for _ in range(4):
            writer.write(b"x")
            await asyncio.sleep(0.05)
        assert (await reader.read(100)).startswith(b"HTTP/1.1 408 ")
    writer.close()
    await server.stop()


async def test_request_over_the_memory_for_all_bodies_is_rejected():
    """Guards against many callers that together fill the memory of a gateway."""
    server = HttpServer(lambda request, responder: None, ServerLimits(total_body_bytes=100_000))
    port = await server.start("127.0.0.1:0")
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"
    callers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
    for _, writer in callers:
        writer.write(head + b"x" * 60_000)
        await asyncio.sleep(0.05)
    async with asyncio.timeout(2):
        assert (await callers[1][0].read(100)).startswith(b"HTTP/1.1 503 ")
    assert server.body_bytes == 60_000
    for _, writer in callers:
        writer.close()
    await asyncio.sleep(0.05)
    assert server.body_bytes == 0
    await server.stop()


@pytest.mark.parametrize("size", [3900, 4000, 4030])
async def test_head_near_its_limit_is_accepted_in_pieces(size):
    """Guards against rejecting a proper head because it arrives in several reads."""
    handled = []

    async def handle(request, responder):
        handled.append(request)
        responder.send(200)

    server = HttpServer(handle, ServerLimits(header_bytes=4096))
    port = await server.start("127.0.0.1:0")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    field = b"X: " + b"v" * size + b"\r\n"
    for part in (b"POST / HTTP/1.1\r\nHost: h\r\n", field, b"Transfer-Encoding: chunked\r\n"):
        writer.write(part)
        await asyncio.sleep(0.02)
    writer.write(b"\r\n" + b"1\r\nx\r\n" * 10)
    await asyncio.sleep(0.02)
    writer.write(b"0\r\n\r\n")
    async with asyncio.timeout(2):
        assert (await reader.read(100)).startswith(b"HTTP/1.1 200 ")
    assert handled[0].body == b"x" * 10
    writer.close()
    await server.stop()
