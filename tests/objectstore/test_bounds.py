"""Tests of responses of the object API that are truncated, endless or no longer awaited."""

import asyncio
import contextlib

import pytest

from tests.builders.rawserver import RawServer
from turmericreach.objectstore import HttpObjectStore, ObjectStoreError, ResultUnknown, Unavailable

ETAG = b'HTTP/1.1 200 OK\r\nETag: "3"\r\n'
TRUNCATED = {
    "declared": ETAG + b"Content-Length: 100\r\n\r\npartial",
    "chunked": ETAG + b"Transfer-Encoding: chunked\r\n\r\n64\r\npartial",
    "undeclared": ETAG + b"\r\npartial",
}


@contextlib.asynccontextmanager
async def serving(answer, **options):
    """A raw server and a client of it."""
    async with RawServer(answer) as server:
        client = HttpObjectStore(server.url, "", 1.0, **options)
        yield server, client
        await client.close()


@pytest.mark.parametrize("kind", TRUNCATED)
async def test_truncated_answer_is_not_a_value(kind):
    """Guards against a truncated value that is taken for the complete one."""
    async with serving(TRUNCATED[kind]) as (server, client):
        with pytest.raises(Unavailable):
            await client.get("k", "n")
        with pytest.raises(ResultUnknown):
            await client.put("k", "n", b"1")
        with pytest.raises(ResultUnknown):
            await client.delete("k", "n")
        assert server.arrivals == 3


@pytest.mark.parametrize("call", ["get", "put", "list", "watch", "hosts"])
async def test_answer_of_unbounded_size_ends(call):
    """Guards against unbounded memory use caused by a faulty server."""
    arguments = {
        "get": "kn",
        "put": ("k", "n", b""),
        "list": "k",
        "watch": ("k", 0, 5),
        "hosts": (),
    }
    endless = ETAG + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    async with serving(endless, max_listing_bytes=4 * 1024 * 1024) as (server, client):
        server.repeated = chunk
        with pytest.raises(ResultUnknown if call == "put" else Unavailable, match="larger than"):
            await getattr(client, call)(*arguments[call])
        await asyncio.wait_for(server.connection_lost.wait(), 1.0)
        assert server.sent < 16 * 1024 * 1024


async def test_cancelled_call_closes_its_connection():
    """Guards against a call that keeps reading after it was cancelled."""
    async with serving(ETAG + b"Content-Length: 100\r\n\r\n") as (server, client):
        server.keep_open = True
        call = asyncio.create_task(client.get("k", "n"))
        await asyncio.wait_for(server.arrived.wait(), 1.0)
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        await asyncio.wait_for(server.connection_lost.wait(), 1.0)


async def test_redirect_is_not_followed_and_cookies_are_not_kept():
    """Guards against a write that a redirect sends a second time."""
    head = b"HTTP/1.1 307 T\r\nLocation: /objects/k/o\r\nSet-Cookie: a=b\r\n"
    answer = head + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
    async with serving(answer) as (server, client):
        for _ in range(2):
            with pytest.raises(ObjectStoreError):
                await client.put("k", "n", b"1")
        assert server.arrivals == 2
        assert b"cookie" not in server.received.lower()
