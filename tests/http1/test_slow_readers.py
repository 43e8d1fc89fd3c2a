"""Peers that live and read slowly, and responses without a body."""

import asyncio
import socket

import pytest

from tests.builders.loopback import LOOPBACK
from turmericreach.http1 import ConnectionPool, HttpServer

# Longer than the time after which the kernel takes a peer that acknowledges nothing for lost.
PAUSE_S = 5.0
BODY = b"x" * 3_000_000


@pytest.fixture
async def pool():
    made = ConnectionPool(1.0)
    yield made
    made.close()


def small_window_socket():
    """Return a socket whose receive buffer is small."""
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    made.setblocking(False)
    return made


@pytest.mark.parametrize("in_chunks", [False, True])
async def test_client_that_reads_slowly_gets_the_whole_response(in_chunks):
    """Guards against an answer that is cut since a living client reads nothing for seconds."""

    async def respond(request, responder):
        if not in_chunks:
            responder.send(200, body=BODY)
            return
        responder.start(200, [])
        for start in range(0, len(BODY), 10_000):
            await responder.write(BODY[start : start + 10_000])
        responder.finish()

    server = HttpServer(respond)
    port = await server.start(f"{LOOPBACK}:0")
    sock = small_window_socket()
    await asyncio.get_running_loop().sock_connect(sock, (LOOPBACK, port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    await asyncio.sleep(PAUSE_S)
    received = 0
    async with asyncio.timeout(20):
        while data := await reader.read(65_536):
            received += len(data)
    assert received > len(BODY)
    writer.close()
    await server.stop()


async def test_server_that_reads_a_body_slowly_gets_it_whole(pool):
    """Guards against a request that is cut since a living target reads nothing for seconds."""

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Content-Length: 3000000" in head
        await asyncio.sleep(PAUSE_S)
        assert await reader.readexactly(len(BODY)) == BODY
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    listener = small_window_socket()
    listener.bind((LOOPBACK, 0))
    server = await asyncio.start_server(serve, sock=listener, limit=4096)
    address = f"{LOOPBACK}:{listener.getsockname()[1]}"
    async with asyncio.timeout(20):
        _, body = await pool.fetch(address, "POST", "/", [("Host", "h")], BODY)
    assert body == b"ok"
    server.close()


async def test_lost_client_is_detected_soon_after_a_large_response(pool):
    """Guards against connections of lost clients that stay for as long as slow readers may take."""

    async def respond(request, responder):
        responder.send(200, body=b"x" * (100_000 if request.path == "/large" else 10))

    server = HttpServer(respond)
    address = f"{LOOPBACK}:{await server.start(f'{LOOPBACK}:0')}"
    timeouts = []
    for path in ("/small", "/large", "/small"):
        await pool.fetch(address, "GET", path, [("Host", "h")])
        (connection,) = server.connections
        sock = connection.transport.get_extra_info("socket")
        timeouts.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
    assert timeouts == [2000, 30_000, 2000]
    await server.stop()


async def test_response_to_head_is_complete_without_its_body(pool):
    """Guards against a wait for a body that never comes."""

    async def respond(request, responder):
        responder.send(200, body=b"a body that is left out")

    server = HttpServer(respond)
    address = f"{LOOPBACK}:{await server.start(f'{LOOPBACK}:0')}"
    async with asyncio.timeout(2):
        for _ in range(2):
            head, body = await pool.fetch(address, "HEAD", "/", [("Host", "h")])
            assert (head.status, head.headers.get("content-length"), body) == (200, "23", b"")
    await server.stop()
