"""Tests that sessions send each request once and return no incomplete response."""

import asyncio

import aiohttp
import pytest

from tests.builders.rawserver import RawServer
from turmericreach.httpclient import ResponseTooLarge, open_session, read_response

METHODS = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH"]


@pytest.mark.parametrize("reused", [False, True])
@pytest.mark.parametrize("method", METHODS)
async def test_request_arrives_once(method, reused):
    """Guards against the library's own retry when a server closes after reading a request."""
    async with RawServer() as server, open_session() as session:
        server.empty_responses_first = int(reused)
        for _ in range(server.empty_responses_first):
            async with session.request(method, server.url) as response:
                await response.read()
        with pytest.raises(aiohttp.ClientError):
            async with session.request(method, server.url, allow_redirects=False):
                pass
        await asyncio.sleep(0.05)
        assert server.arrivals == 1 + reused
        assert server.connections == 1


async def test_fresh_session_opens_a_connection_for_each_request():
    """Guards against a request on a reused connection, which the server may be closing."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    async with RawServer(answer) as server, open_session(reuse=False) as session:
        server.keep_open = True
        for _ in range(2):
            async with session.post(server.url) as response:
                await response.read()
        assert server.connections == 2


async def test_no_cookie_and_no_offered_coding():
    """Guards against state between requests, and against responses that nobody decompresses."""
    answer = b"HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\nContent-Length: 0\r\n\r\n"
    async with RawServer(answer) as server, open_session(reuse=False) as session:
        for _ in range(2):
            async with session.get(server.url) as response:
                await response.read()
        assert b"cookie" not in server.received.lower()
        assert b"accept-encoding" not in server.received.lower()


ANSWERS = {
    "declared": (b"Content-Length: 5\r\n\r\nhello", b"hello"),
    "chunked": (b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", b"hello"),
    "declared, cut off": (b"Content-Length: 6\r\n\r\nhello", aiohttp.ClientError),
    "chunked, cut off": (
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        aiohttp.ClientError,
    ),
    "undeclared": (b"\r\nhello", aiohttp.ClientError),
    "too large": (b"Content-Length: 11\r\n\r\nhello world", ResponseTooLarge),
    "chunked, too large": (
        b"Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n",
        ResponseTooLarge,
    ),
}


@pytest.mark.parametrize("case", ANSWERS)
async def test_read_answer(case):
    """Guards against returning a body that is truncated or too large."""
    rest, expected = ANSWERS[case]
    async with (
        RawServer(b"HTTP/1.1 200 OK\r\n" + rest) as server,
        open_session() as session,
        session.get(server.url) as response,
    ):
        if isinstance(expected, bytes):
            assert await read_response(response, 10) == expected
            return
        with pytest.raises(expected):
            await read_response(response, 10)


@pytest.mark.parametrize(
    "line", ["HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 101 Other"]
)
async def test_status_that_is_none_of_http_is_an_error(line):
    """Guards against a caller that takes status 000 for an answer."""
    answer = f"{line}\r\nContent-Length: 2\r\n\r\nno".encode()
    async with RawServer(answer) as server, open_session() as session:
        with pytest.raises(aiohttp.ClientError):
            async with session.post(server.url, allow_redirects=False):
                pass
        assert server.arrivals == 1
