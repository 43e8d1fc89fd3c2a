"""Guards against a graceful stop that interrupts requests without counting them."""

import asyncio

import pytest

from turmericreach.httpserver import HttpServer, bind_socket
from turmericreach.settings import LimitSettings


async def app(scope, receive, send):
    """Respond after the number of seconds in the path."""
    if scope["type"] == "lifespan":
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})
            if message["type"] == "lifespan.shutdown":
                return
    await asyncio.sleep(float(scope["path"].strip("/")))
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"whole"})


@pytest.mark.parametrize(("seconds", "abandoned"), [("0.3", 0), ("30", 1)])
async def test_requests_in_flight_end_or_are_counted(seconds, abandoned):
    """Guards against a stop that interrupts a request or does not count an abandoned one."""
    listener = bind_socket("127.0.0.1", 0)
    server = HttpServer(app, listener, LimitSettings(), 1.0)
    port = listener.getsockname()[1]
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET /{seconds} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    await asyncio.sleep(0.1)
    assert await server.stop() == abandoned
    answer = await reader.read()
    assert (b"whole" in answer) is (abandoned == 0)
    writer.close()
