"""Connections of a server that is about to close."""

import asyncio

from tests.builders.loopback import LOOPBACK
from turmericreach.http1 import HttpServer

REQUESTS = 20


async def test_pipelined_requests_are_answered_while_the_server_closes():
    """Guards against requests that were read and are dropped behind the first response."""
    release = asyncio.Event()

    async def handle(request, responder):
        await release.wait()
        responder.send(200, body=request.path.encode())

    server = HttpServer(handle)
    port = await server.start(f"{LOOPBACK}:0")
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    for number in range(REQUESTS):
        writer.write(f"GET /{number} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    # Half a request must neither be answered nor keep the connection open.
    writer.write(b"GET /half HTTP/1.1\r\nHo")
    await writer.drain()
    await asyncio.sleep(0.05)
    server.close_idle()
    server.stop_listening()
    release.set()
    async with asyncio.timeout(2):
        responses = await reader.read()
    writer.close()
    await server.stop()
    assert responses.count(b"HTTP/1.1 200") == REQUESTS
    assert f"/{REQUESTS - 1}".encode() in responses
    assert responses.count(b"Connection: close") == 1
    assert b"408" not in responses


async def test_connection_without_a_request_is_closed_and_no_new_one_is_accepted():
    """Guards against a listener that stays open while the process ends."""

    async def handle(request, responder):
        responder.send(200)

    server = HttpServer(handle)
    port = await server.start(f"{LOOPBACK}:0")
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    await asyncio.sleep(0.05)
    server.stop_listening()
    server.close_idle()
    async with asyncio.timeout(2):
        assert await reader.read() == b""
    writer.close()
    try:
        await asyncio.open_connection(LOOPBACK, port)
    except ConnectionRefusedError:
        refused = True
    else:
        refused = False
    await server.stop()
    assert refused
