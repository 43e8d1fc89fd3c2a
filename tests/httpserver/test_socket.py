"""Tests of the listening socket of the HTTP server."""

import asyncio
import socket

from turmericreach.httpserver.server import bind_socket


async def test_accepted_connections_send_small_writes_at_once():
    """Guards against responses that wait 40 ms for the caller's delayed acknowledgement."""
    listener = bind_socket("127.0.0.1", 0)
    flags = asyncio.get_running_loop().create_future()

    def serve(reader, writer):
        accepted = writer.get_extra_info("socket")
        flags.set_result(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        writer.close()

    server = await asyncio.start_server(serve, sock=listener)
    _, writer = await asyncio.open_connection(*listener.getsockname())
    assert await asyncio.wait_for(flags, 5) != 0
    writer.close()
    server.close()
