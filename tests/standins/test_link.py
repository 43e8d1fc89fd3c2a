"""Tests the stand-in of a network link."""

import asyncio
import contextlib
import time

from turmericreach_standins.link import DelayedLink, LinkSettings


async def serve_echo(reader, writer):
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()


async def test_link_delays_each_direction_and_keeps_the_order():
    """Guards against a link that loses, reorders or does not delay bytes."""
    server = await asyncio.start_server(serve_echo, "127.0.0.1", 0)
    link = DelayedLink("127.0.0.1", LinkSettings(server.sockets[0].getsockname()[1], 50.0))
    port = await link.start(0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    started = time.monotonic()
    for number in range(10):
        writer.write(b"%d," % number)
        await asyncio.sleep(0.001)
    response = await reader.readexactly(20)
    assert response == b"0,1,2,3,4,5,6,7,8,9,"
    assert time.monotonic() - started >= 0.1
    writer.close()
    await link.stop()
    server.close()


async def test_link_refuses_when_the_target_is_down():
    """Guards against a link that keeps the connection open when the target refuses it."""
    link = DelayedLink("127.0.0.1", LinkSettings(1, 1.0))
    port = await link.start(0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    with contextlib.suppress(ConnectionResetError):
        assert await reader.read() == b""
    writer.close()
    await link.stop()
