"""Requests as passed to the handler of a server, and the writer of their responses."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus
from typing import Protocol

from turmericreach.http1.headers import Headers, encode_headers, split_target

__all__ = ["Request", "Responder", "reason"]


class Request:
    """A completely received request.

    Attributes
    ----------
    method, target : str
        Method and target of the request line, as received.
    path, query : str
        Path and query string of the target.
    headers : Headers
        Header fields.
    body : bytes
        The body, without chunk framing.
    received_at : float
        Loop time at which the request was complete.
    keep_alive : bool
        Whether the connection may stay open after the response.
    disconnected : asyncio.Event
        Set when the client has closed the connection.
    held_bytes : int
        Memory that the request occupies.
    """

    def __init__(self, method: str, target: str, headers: Headers, body: bytes, now: float):
        self.method = method
        self.target = target
        self.path, self.query = split_target(target)
        self.headers = headers
        self.body = body
        self.received_at = now
        self.keep_alive = True
        self.disconnected = asyncio.Event()
        self.held_bytes = 0


class ResponseSink(Protocol):
    """Connection to which a response is written."""

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closed."""

    async def drain(self) -> None:
        """Wait until the send buffer has room."""

    def abort(self) -> None:
        """Close the connection at once."""

    def is_closing(self) -> bool:
        """Return whether responses ask the client to close the connection."""


class Responder:
    """Writes the response to one request.

    Attributes
    ----------
    started : bool
        Whether the head of the response was sent.
    finished : bool
        Whether the response is complete.
    """

    def __init__(self, connection: ResponseSink, request: Request):
        self.connection = connection
        self.request = request
        self.started = False
        self.finished = False

    def send(self, status: int, fields: Iterable[tuple[str, str]] = (), body: bytes = b"") -> None:
        """Send a complete response; the body is left out for a HEAD request."""
        fields = [*fields, ("Content-Length", str(len(body)))]
        self.write_head(status, fields)
        if self.request.method != "HEAD":
            self.connection.write(body)
        self.finished = True

    def start(self, status: int, fields: Iterable[tuple[str, str]]) -> None:
        """Send the head of a response whose body follows in chunks."""
        self.write_head(status, [*fields, ("Transfer-Encoding", "chunked")])

    async def write(self, data: bytes) -> None:
        """Send a part of the body as a chunk, and wait until the send buffer has room."""
        if not data:
            return
        self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.connection.drain()

    def finish(self) -> None:
        """Complete a response whose body was sent in chunks."""
        self.connection.write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Close the connection, so that the client sees an incomplete response."""
        self.connection.abort()

    def write_head(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Send the status line and the header fields."""
        self.started = True
        if self.connection.is_closing() or not self.request.keep_alive:
            self.request.keep_alive = False
            fields.append(("Connection", "close"))
        self.connection.write(encode_headers(f"HTTP/1.1 {status} {reason(status)}", fields))


def reason(status: int) -> str:
    """Return the reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
