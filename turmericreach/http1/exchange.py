"""A request as a server's handler gets it, and the response that it writes."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus
from typing import Protocol

from turmericreach.http1.headers import Headers, encode_headers, split_target

__all__ = ["Request", "Responder", "reason"]


class Request:
    """A request that has been read whole.

    Attributes
    ----------
    method, target : str
        Request line as it was sent.
    path, query : str
        Parts of the target.
    headers : Headers
        Header fields.
    body : bytes
        The body without its framing.
    received_at : float
        Loop time at which the last byte was read.
    disconnected : asyncio.Event
        Set when the client has closed the connection.
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


class ResponseSink(Protocol):
    """The connection that a response is written to."""

    def write(self, data: bytes) -> None:
        """Send bytes unless the client has left."""

    async def drain(self) -> None:
        """Wait until the client has read enough."""

    def abort(self) -> None:
        """End the connection at once."""

    def is_closing(self) -> bool:
        """Return whether the client is asked to close the connection."""


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: ResponseSink, request: Request):
        self.connection = connection
        self.request = request
        self.started = False
        self.finished = False

    def send(self, status: int, fields: Iterable[tuple[str, str]] = (), body: bytes = b"") -> None:
        """Send a whole response."""
        fields = [*fields, ("Content-Length", str(len(body)))]
        self.write_head(status, fields)
        if self.request.method != "HEAD":
            self.connection.write(body)
        self.finished = True

    def start(self, status: int, fields: Iterable[tuple[str, str]]) -> None:
        """Send the head of a response whose body follows in chunks."""
        self.write_head(status, [*fields, ("Transfer-Encoding", "chunked")])

    async def write(self, data: bytes) -> None:
        """Send a part of the body, as fast as the client takes it."""
        if not data:
            return
        self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.connection.drain()

    def finish(self) -> None:
        """End a response that was sent in chunks."""
        self.connection.write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""
        self.connection.abort()

    def write_head(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Send the status line and the header fields."""
        self.started = True
        if self.connection.is_closing() or not self.request.keep_alive:
            self.request.keep_alive = False
            fields.append(("Connection", "close"))
        self.connection.write(encode_headers(f"HTTP/1.1 {status} {reason(status)}", fields))


def reason(status: int) -> str:
    """Return the reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
