"""Tests of HTTP/1.1 clients and servers with valid and malformed messages."""

import asyncio

import pytest

from tests.builders.fleet_world import eventually
from turmericreach.http1 import (
    ConnectFailed,
    ConnectionPool,
    Headers,
    HttpServer,
    ResponseIncomplete,
    ServerLimits,
    query_value,
)


@pytest.fixture
async def pool():
    made = ConnectionPool(1.0)
    yield made
    made.close()


async def raw_server(response, then_close=False):
    """Start a server that sends fixed bytes after each read; return it and its address."""

    async def handle(reader, writer):
        while await reader.read(65536):
            writer.write(response)
            await writer.drain()
            if then_close:
                writer.close()
                return

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


async def exchange(pool, address, echo=None):
    """Make a request and return the head and the body of its response."""
    async with asyncio.timeout(2):
        return await pool.fetch(address, "GET", "/x", [("Host", "h")], echo=echo)


async def test_connection_is_reused_after_a_response_with_length(pool):
    """Guards against opening a connection for each request."""
    server, address = await raw_server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    for _ in range(3):
        head, body = await exchange(pool, address)
        assert (head.status, body) == (200, b"ok")
    assert pool.opened == 1
    server.close()


async def test_response_that_ends_with_the_connection_is_complete(pool):
    """Guards against losing responses without a length."""
    server, address = await raw_server(b"HTTP/1.1 200 OK\r\n\r\nall of it", then_close=True)
    assert (await exchange(pool, address))[1] == b"all of it"
    server.close()


async def test_truncated_response_is_incomplete(pool):
    """Guards against forwarding a truncated body as complete."""
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
    server, address = await raw_server(response, then_close=True)
    with pytest.raises(ResponseIncomplete):
        await exchange(pool, address)
    server.close()


async def test_truncated_chunked_response_is_incomplete(pool):
    """Guards against taking an interrupted stream for a complete one."""
    response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    server, address = await raw_server(response, then_close=True)
    with pytest.raises(ResponseIncomplete):
        await exchange(pool, address)
    server.close()


async def test_invalid_response_is_incomplete(pool):
    """Guards against an internal error on bytes that are not HTTP."""
    server, address = await raw_server(b"\x00\x01 nonsense\r\n\r\n")
    with pytest.raises(ResponseIncomplete):
        await exchange(pool, address)
    server.close()


async def test_extra_response_is_not_taken_for_the_next_one(pool):
    """Guards against returning a response to the wrong request."""
    one = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    server, address = await raw_server(one + one.replace(b"ok", b"no"))
    assert (await exchange(pool, address))[1] == b"ok"
    assert (await exchange(pool, address))[1] == b"ok"
    assert pool.opened == 2
    server.close()


async def test_response_to_another_attempt_is_skipped(pool):
    """Guards against taking a late response for that of the next request."""
    form = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 2\r\n\r\n%b"
    server, address = await raw_server(form % (b"other", b"no") + form % (b"mine", b"ok"))
    assert (await exchange(pool, address, echo=("X-Id", "mine")))[1] == b"ok"
    server.close()


async def test_interim_responses_are_skipped(pool):
    """Guards against taking 100 Continue for the final response."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    server, address = await raw_server(interim + b"HTTP/1.1 204 No Content\r\n\r\n")
    assert (await exchange(pool, address))[0].status == 204
    server.close()


async def test_refused_connection_is_distinguished_from_a_lost_one(pool):
    """Guards against an unknown outcome for a request that was never sent."""
    server, address = await raw_server(b"")
    server.close()
    await server.wait_closed()
    with pytest.raises(ConnectFailed):
        await exchange(pool, address)


class Echo:
    """A server whose responses repeat the requests."""

    def __init__(self, limits=None):
        self.requests = []
        self.server = HttpServer(self.handle, limits)
        self.release = asyncio.Event()
        self.release.set()

    async def handle(self, request, responder):
        self.requests.append(request)
        await self.release.wait()
        responder.send(200, [("X-Path", request.target)], request.body)

    async def send_raw(self, *parts, pause_s=0.0):
        """Send bytes and return all bytes received."""
        port = await self.server.start("127.0.0.1:0")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        received = b""
        try:
            async with asyncio.timeout(1.0):
                while data := await reader.read(65536):
                    received += data
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        await self.server.stop()
        return received


async def test_chunked_request_body_is_decoded():
    """Guards against taking chunk framing for a part of the body."""
    echo = Echo()
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert (await echo.send_raw(head + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")).endswith(b"\r\n\r\nabc")


async def test_pipelined_requests_get_responses_in_order():
    """Guards against responses in the wrong order."""
    echo = Echo()
    one = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
    received = await echo.send_raw(b"".join(one % number for number in range(3)))
    assert [received.index(b"X-Path: /%d" % n) for n in range(3)] == sorted(
        received.index(b"X-Path: /%d" % n) for n in range(3)
    )


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 5000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
    ],
)
async def test_invalid_requests_are_rejected_and_not_handled(sent, status):
    """Guards against handling oversized, malformed and smuggled requests."""
    echo = Echo(ServerLimits(header_bytes=4096, body_bytes=1000))
    received = await echo.send_raw(sent)
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert echo.requests == []


async def test_slow_request_head_times_out():
    """Guards against connections held open by an incomplete request."""
    echo = Echo(ServerLimits(header_timeout_s=0.1))
    assert (await echo.send_raw(b"GET / HT")).startswith(b"HTTP/1.1 408 ")


async def test_disconnect_is_detected_while_the_request_is_handled():
    """Guards against work for a caller that has disconnected."""
    echo = Echo()
    echo.release.clear()
    port = await echo.server.start("127.0.0.1:0")
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    await asyncio.sleep(0.05)
    writer.close()
    async with asyncio.timeout(1):
        await echo.requests[0].disconnected.wait()
    echo.release.set()
    await echo.server.stop()


async def test_closing_server_asks_clients_to_close_connections():
    """Guards against callers that reuse a connection to a process that is stopping."""
    echo = Echo()
    echo.server.closing = True
    received = await echo.send_raw(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"Connection: close" in received


def test_hop_by_hop_fields_are_not_forwarded():
    """Guards against forwarding fields that apply to a single connection."""
    headers = Headers([("Connection", "x-mine"), ("X-Mine", "1"), ("Keep-Alive", "5"), ("A", "b")])
    assert headers.end_to_end() == [("A", "b")]


def test_numbers_and_queries():
    """Guards against accepting malformed or negative numbers."""
    assert Headers([("A", "nan")]).number("a") is None
    assert Headers([("A", "-1")]).number("a") is None
    assert Headers([("A", "1.5")]).number("a") == 1.5
    assert query_value("a=1&b=%2F", "b") == "/"


async def test_bytes_received_before_the_connection_is_lost_can_be_read(pool):
    """Guards against discarding events that arrived together with the loss of the connection."""
    sent = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    server, address = await raw_server(sent, then_close=True)
    connection = await pool.acquire(address)
    await connection.request("GET", "/x", [("Host", "h")])
    await eventually(lambda: connection.closed)
    received = []
    with pytest.raises(ResponseIncomplete):
        async for chunk in connection.body_chunks():
            received.append(chunk)
    assert received == [b"half"]
    server.close()
