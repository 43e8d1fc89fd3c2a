"""Server connections that hand whole requests to a handler."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import attrs
import httptools

from turmericreach.http1.exchange import Request, Responder, reason
from turmericreach.http1.headers import Headers, encode_headers
from turmericreach.http1.sockets import detect_silence
from turmericreach.telemetry import events, log_event

__all__ = ["HttpServer", "ServerLimits"]

# Requests read ahead on one connection; more wait in the kernel's buffer.
MAX_PIPELINED = 8
# A client that takes no bytes for this long is cut off.
SLOW_READER_TIMEOUT_S = 30.0


@attrs.frozen
class ServerLimits:
    """What a client may send, and how long it may take.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest request head and body.
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its head.
    idle_timeout_s : float
        Longest pause between requests of one connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 32 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


Handler = Callable[[Request, Responder], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """One connection of a client; its requests are handled in their order."""

    def __init__(self, server: "HttpServer"):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[Request] = deque()
        self.current: Request | None = None
        self.worker: asyncio.Task | None = None
        self.refused = False
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.in_message = False
        self.url = b""
        self.fields: list[tuple[str, str]] = []
        self.head_bytes = 0
        self.body = bytearray()

    # Transport callbacks

    def connection_made(self, transport) -> None:
        """Register the connection and wait for its first request."""
        self.transport = transport
        detect_silence(transport)
        self.server.connections.add(self)
        self.set_timer(self.server.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        if self.refused or self.closed:
            return
        if not self.in_message and self.current is None:
            self.set_timer(self.server.limits.header_timeout_s)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(501)
        except httptools.HttpParserError:
            self.refuse(400)
        if len(self.waiting) >= MAX_PIPELINED and not self.closed:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat the end of the client's stream as its leaving."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the handlers that the client has left."""
        self.closed = True
        self.stop_timer()
        self.server.connections.discard(self)
        self.can_write.set()
        for request in self.waiting:
            request.disconnected.set()
        if self.current is not None:
            self.current.disconnected.set()

    def pause_writing(self) -> None:
        """Hold writers until the client has read."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self.can_write.set()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start to collect a request."""
        self.in_message = True
        self.url = b""
        self.fields = []
        self.head_bytes = 0
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.url += url
        self.count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self.count_head(len(name) + len(value) + 4)
        if not self.refused:
            self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the length that a request announces."""
        if self.refused:
            return
        headers = Headers(self.fields)
        length = headers.get("content-length")
        announced = int(length) if length is not None and length.isdigit() else 0
        if announced > self.server.limits.body_bytes:
            self.refuse(413)
            return
        if headers.get("host") is None:
            self.refuse(400)
            return
        if "100-continue" in headers.tokens("expect"):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.stop_timer()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.refused:
            return
        self.body += body
        if len(self.body) > self.server.limits.body_bytes:
            self.refuse(413)

    def on_message_complete(self) -> None:
        """Hand over a request that is complete."""
        self.in_message = False
        if self.refused:
            return
        request = Request(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            Headers(self.fields),
            bytes(self.body),
            self.loop.time(),
        )
        self.body = bytearray()
        request.keep_alive = self.parser.should_keep_alive()
        self.stop_timer()
        self.waiting.append(request)
        if self.worker is None or self.worker.done():
            self.worker = self.loop.create_task(self.handle_waiting())

    # Handling

    async def handle_waiting(self) -> None:
        """Handle the requests that were read, one after another."""
        while self.waiting and not self.closed:
            request = self.waiting.popleft()
            self.current = request
            responder = Responder(self, request)
            await self.handle(request, responder)
            self.current = None
            if self.closed:
                return
            if not responder.finished:
                self.abort()
                return
            if not request.keep_alive:
                self.transport.close()
                return
            self.transport.resume_reading()
        if not self.closed and not self.in_message:
            if self.server.closing:
                self.transport.close()
                return
            self.set_timer(self.server.limits.idle_timeout_s)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Run the handler; an unexpected error ends the request with 500."""
        self.server.active += 1
        try:
            await self.server.handler(request, responder)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log_event(
                events.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where=request.path
            )
            if not responder.started and not self.closed:
                responder.send(500)
        finally:
            self.server.active -= 1

    def write(self, data: bytes) -> None:
        """Send bytes unless the client has left."""
        if not self.closed:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the client has read enough; cut off one that does not read."""
        if self.can_write.is_set():
            return
        try:
            async with asyncio.timeout(SLOW_READER_TIMEOUT_S):
                await self.can_write.wait()
        except TimeoutError:
            self.abort()

    def is_closing(self) -> bool:
        """Return whether answers ask the client to close the connection."""
        return self.server.closing

    def abort(self) -> None:
        """End the connection at once."""
        if not self.closed:
            self.transport.abort()

    def count_head(self, size: int) -> None:
        """Refuse a head that is over the limit."""
        self.head_bytes += size
        if self.head_bytes > self.server.limits.header_bytes and not self.refused:
            self.refuse(431)

    def refuse(self, status: int) -> None:
        """Answer bytes that are no acceptable request and close the connection.

        While an earlier request is unanswered the answer would be taken for that request's, so
        the connection is closed without one.
        """
        self.refused = True
        self.stop_timer()
        if self.current is not None or self.waiting:
            self.abort()
            return
        fields = [("Content-Length", "0"), ("Connection", "close")]
        self.write(encode_headers(f"HTTP/1.1 {status} {reason(status)}", fields))
        if not self.closed:
            self.transport.close()

    def set_timer(self, delay_s: float) -> None:
        """Close the connection unless something arrives in time."""
        self.stop_timer()
        self.timer = self.loop.call_later(delay_s, self.time_out)

    def stop_timer(self) -> None:
        """Stop the timer of the head or of the pause between requests."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def time_out(self) -> None:
        """End a connection that sends nothing, or a head too slowly."""
        if self.in_message:
            self.refuse(408)
        elif not self.closed:
            self.transport.close()


class HttpServer:
    """Listens at an address.

    Attributes
    ----------
    handler : callable
        Called with each request and its responder.
    limits : ServerLimits
        May be replaced while the server runs.
    closing : bool
        Whether answers ask the client to close its connection.
    active : int
        Requests being handled.
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None):
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self.active = 0
        self.server: asyncio.Server | None = None

    async def start(self, address: str) -> int:
        """Listen at ``ip:port`` and return the port."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=1024, reuse_address=True
        )
        return self.server.sockets[0].getsockname()[1]

    def close_idle(self) -> None:
        """Ask for the end of connections, and close those without a request."""
        self.closing = True
        for connection in list(self.connections):
            if connection.current is None and not connection.waiting and not connection.in_message:
                connection.transport.close()

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()
