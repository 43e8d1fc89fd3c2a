"""Client connections that carry one request at a time."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator

import attrs
import httptools

from turmericreach.http1.headers import Headers, encode_headers
from turmericreach.http1.sockets import detect_silence
from turmericreach.verdicts import TurmericreachError

__all__ = ["ClientConnection", "ConnectFailed", "ResponseHead", "ResponseIncomplete", "connect"]

# A reader that lags behind by this many bytes pauses its connection.
READ_AHEAD_BYTES = 1 << 18
# Closing well before the server does keeps requests off connections that are about to close.
IDLE_MARGIN_S = 0.5
DEFAULT_IDLE_S = 4.0


class ConnectFailed(TurmericreachError):
    """No connection was made, so nothing was sent."""


class ResponseIncomplete(TurmericreachError):
    """The connection ended, or sent what is no response, before a response was complete."""


@attrs.frozen
class ResponseHead:
    """Status and header fields of a response."""

    status: int
    headers: Headers


class ClientConnection(asyncio.Protocol):
    """One connection to a server.

    Attributes
    ----------
    address : str
        ``ip:port`` of the server.
    reusable : bool
        Whether another request may be sent: the last response was clean and complete.
    idle_since : float
        Loop time at which the last response ended.
    requests : int
        Requests sent so far.
    """

    def __init__(self, address: str):
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.reusable = True
        self.idle_since = self.loop.time()
        self.idle_limit_s = DEFAULT_IDLE_S
        self.requests = 0
        self.on_idle_end = None
        self.reset_exchange()

    def reset_exchange(self) -> None:
        """Forget the former request and its response."""
        self.parser = httptools.HttpResponseParser(self)
        self.active = False
        self.echo: tuple[str, str] | None = None
        self.foreign = False
        self.head: ResponseHead | None = None
        self.head_waiter: asyncio.Future | None = None
        self.fields: list[tuple[str, str]] = []
        self.until_close = False
        self.complete = False
        self.failure: ResponseIncomplete | None = None
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.chunk_waiter: asyncio.Future | None = None

    # Transport callbacks

    def connection_made(self, transport) -> None:
        """Set the socket's options."""
        self.transport = transport
        detect_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; bytes beyond it end the connection."""
        if not self.active or self.complete:
            self.reusable = False
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"bytes that are no response: {error}")
            return
        if self.failure is None and self.buffered > READ_AHEAD_BYTES:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """End a response that has no length of its own."""
        if self.active and not self.complete and self.until_close:
            self.finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the response that is not complete."""
        self.closed = True
        self.reusable = False
        if self.active and not self.complete:
            self.fail("connection lost")
        if self.on_idle_end is not None:
            self.on_idle_end(self)

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start to collect the fields of a response."""
        if self.complete:
            self.reusable = False
            return
        self.fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Publish the head, unless it is interim or belongs to another request."""
        if self.complete:
            return
        status = self.parser.get_status_code()
        if status < 200:
            return
        headers = Headers(self.fields)
        self.foreign = self.is_foreign(headers)
        if self.foreign:
            return
        framed = headers.get("content-length") is not None
        self.until_close = not framed and "chunked" not in headers.tokens("transfer-encoding")
        if self.until_close or "close" in headers.tokens("connection"):
            self.reusable = False
        self.note_keep_alive(headers)
        self.head = ResponseHead(status, headers)
        if self.head_waiter is not None and not self.head_waiter.done():
            self.head_waiter.set_result(None)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body for the reader."""
        if self.head is None or self.complete or self.foreign:
            return
        self.chunks.append(body)
        self.buffered += len(body)
        self.wake_reader()

    def on_message_complete(self) -> None:
        """End the response; skip interim ones and those of other requests."""
        if self.complete:
            return
        if self.foreign:
            self.foreign = False
            return
        if self.head is None:
            return
        self.finish()

    # Exchange

    async def request(
        self,
        method: str,
        target: str,
        fields: list[tuple[str, str]],
        body: bytes = b"",
        echo: tuple[str, str] | None = None,
    ) -> ResponseHead:
        """Send a request and return the head of its response.

        Parameters
        ----------
        method, target : str
            Request line.
        fields : list of tuple of str
            Header fields without the length of the body.
        body : bytes
            The whole body.
        echo : tuple of str, optional
            Field and value that the response repeats; a response with another value belongs to
            another request and is skipped.

        Raises
        ------
        ResponseIncomplete
            If the connection ends first. The request may have run.
        """
        if self.closed:
            raise ResponseIncomplete("connection lost")
        self.reset_exchange()
        self.active = True
        self.reusable = True
        self.requests += 1
        self.echo = echo
        head = [*fields]
        if body or method in ("POST", "PUT", "PATCH"):
            head.append(("Content-Length", str(len(body))))
        self.transport.write(encode_headers(f"{method} {target} HTTP/1.1", head) + body)
        self.head_waiter = self.loop.create_future()
        await self.head_waiter
        if self.head is None:
            raise self.failure or ResponseIncomplete("connection lost")
        if self.transport.get_write_buffer_size() > 0:
            # The answer came before the body was sent; the rest must not follow on a kept one.
            self.reusable = False
        return self.head

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        ResponseIncomplete
            If the connection ends before the body does.
        """
        while True:
            while self.chunks:
                chunk = self.chunks.popleft()
                self.buffered -= len(chunk)
                if self.buffered <= READ_AHEAD_BYTES and not self.closed:
                    self.transport.resume_reading()
                yield chunk
            if self.complete:
                return
            if self.failure is not None:
                raise self.failure
            self.chunk_waiter = self.loop.create_future()
            await self.chunk_waiter

    async def read_body(self) -> bytes:
        """Return the whole body."""
        parts = []
        async for chunk in self.body_chunks():
            parts.append(chunk)
        return b"".join(parts)

    def is_foreign(self, headers: Headers) -> bool:
        """Return whether a response repeats another value than the request's."""
        if self.echo is None:
            return False
        name, value = self.echo
        repeated = headers.get(name)
        return repeated is not None and repeated != value

    def note_keep_alive(self, headers: Headers) -> None:
        """Keep the idle time that the server announces."""
        for token in headers.tokens("keep-alive"):
            name, _, value = token.partition("=")
            if name != "timeout" or not value.isdigit():
                continue
            self.idle_limit_s = max(float(value) - IDLE_MARGIN_S, 0.0)

    def finish(self) -> None:
        """Mark the response as complete."""
        self.complete = True
        self.idle_since = self.loop.time()
        self.wake_reader()

    def fail(self, reason: str) -> None:
        """Fail the response and end the connection."""
        self.failure = ResponseIncomplete(reason)
        self.reusable = False
        if self.head_waiter is not None and not self.head_waiter.done():
            self.head_waiter.set_result(None)
        self.wake_reader()
        self.close()

    def wake_reader(self) -> None:
        """Let the reader of the body go on."""
        if self.chunk_waiter is not None and not self.chunk_waiter.done():
            self.chunk_waiter.set_result(None)

    def close(self) -> None:
        """End the connection at once; the server learns that the request is abandoned."""
        self.reusable = False
        if self.transport is not None and not self.closed:
            self.transport.abort()


async def connect(address: str, timeout_s: float) -> ClientConnection:
    """Open a connection.

    Raises
    ------
    ConnectFailed
        If there is none within `timeout_s` seconds.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(address), host, int(port)
            )
    except (OSError, TimeoutError, ValueError) as error:
        raise ConnectFailed(f"{address}: {error or 'timed out'}") from error
    return connection
