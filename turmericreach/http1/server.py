"""Server that passes completely received requests to a handler."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import attrs
import httptools

from turmericreach.http1.exchange import Request, Responder, reason
from turmericreach.http1.headers import Headers, encode_headers
from turmericreach.http1.limits import FramingCount
from turmericreach.http1.numbers import read_number
from turmericreach.http1.sockets import (
    LARGE_MESSAGE_BYTES,
    allow_slow_reader,
    set_socket_options,
)
from turmericreach.telemetry import events, log_event

__all__ = ["HttpServer", "ServerLimits"]

# Requests queued per connection; while the queue is full, reading from the connection pauses.
MAX_QUEUED_REQUESTS = 8
# The connection of a client that leaves the send buffer full for this long is closed.
SLOW_READER_TIMEOUT_S = 30.0


@attrs.frozen
class ServerLimits:
    """Limits on the size and duration of requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest size of the head and of the body of a request, in bytes.
    total_body_bytes : int
        Largest total size of the request bodies that are being received, in bytes.
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its head.
    body_timeout_s : float
        Longest time from the end of the head to the end of the body.
    idle_timeout_s : float
        Longest time without a request on an open connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 32 << 20
    total_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 15.0


Handler = Callable[[Request, Responder], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """Connection of one client, whose requests are handled in order of arrival.

    Attributes
    ----------
    queued : deque of Request
        Received requests that have not been handled.
    current : Request or None
        Request being handled.
    handler_task : asyncio.Task or None
        Task that handles the requests.
    rejected : bool
        Whether the client sent an invalid request; further bytes are ignored.
    timer : asyncio.TimerHandle or None
        Timeout of the request being received or of the idle connection.
    can_write : asyncio.Event
        Set while the send buffer has room.
    in_message : bool
        Whether a request has been received in part.
    head_complete : bool
        Whether the head of the request being received is complete.
    sent_bytes : int
        Bytes of responses that were sent since the last request that no other one preceded.
    head_bytes : int
        Size of the request target and the complete header fields received so far.
    framing : FramingCount
        Bytes of the request being received, from the first read after its begin on.
    """

    def __init__(self, server: "HttpServer"):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queued: deque[Request] = deque()
        self.current: Request | None = None
        self.handler_task: asyncio.Task | None = None
        self.rejected = False
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.in_message = False
        self.sent_bytes = 0
        self.url = b""
        self.fields: list[tuple[str, str]] = []
        self.head_complete = False
        self.head_bytes = 0
        self.framing = FramingCount()
        self.body = bytearray()

    # Transport callbacks

    def connection_made(self, transport) -> None:
        """Register the connection and start its idle timeout."""
        self.transport = transport
        set_socket_options(transport)
        self.server.connections.add(self)
        self.set_timer(self.server.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reject invalid requests."""
        if self.rejected or self.closed:
            return
        if not self.in_message and self.current is None:
            self.set_timer(self.server.limits.header_timeout_s)
        if self.in_message:
            self.framing.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(501)
        except httptools.HttpParserError:
            self.reject(400)
        if self.in_message and self.framing.exceeds(self.max_framing_bytes()):
            self.reject(431)
        if len(self.queued) >= MAX_QUEUED_REQUESTS and not self.closed:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Close the connection when the client has closed its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the handlers that the client has disconnected."""
        self.closed = True
        self.stop_timer()
        self.server.connections.discard(self)
        self.can_write.set()
        self.discard_body()
        for request in self.queued:
            request.disconnected.set()
        if self.current is not None:
            self.current.disconnected.set()

    def pause_writing(self) -> None:
        """Make writers wait until the send buffer has room."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """Wake the waiting writers."""
        self.can_write.set()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start to collect a request."""
        self.in_message = True
        if self.current is None and not self.queued and not self.closed:
            self.count_sent(-self.sent_bytes)
        self.url = b""
        self.fields = []
        self.head_complete = False
        self.head_bytes = 0
        self.framing = FramingCount()
        self.discard_body()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.url += url
        self.count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self.count_head_bytes(len(name) + len(value) + 4)
        # Trailers belong to the framing of the body and add no fields to the request.
        if not self.rejected and not self.head_complete:
            self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the announced length and the host field, and send 100 Continue if requested."""
        if self.rejected:
            return
        self.head_complete = True
        headers = Headers(self.fields)
        announced = read_number(headers.get("content-length")) or 0
        if announced > self.server.limits.body_bytes:
            self.reject(413)
            return
        if headers.get("host") is None:
            self.reject(400)
            return
        if "100-continue" in headers.tokens("expect"):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.set_timer(self.server.limits.body_timeout_s)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.rejected:
            return
        self.framing.body += len(body)
        self.body += body
        self.server.body_bytes += len(body)
        if len(self.body) > self.server.limits.body_bytes:
            self.reject(413)
        elif self.server.body_bytes > self.server.limits.total_body_bytes:
            self.reject(503)

    def discard_body(self) -> None:
        """Release the body of the request being received."""
        self.server.body_bytes -= len(self.body)
        self.body = bytearray()

    def on_message_complete(self) -> None:
        """Queue the complete request and start its handling."""
        self.in_message = False
        if self.rejected:
            return
        request = Request(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            Headers(self.fields),
            bytes(self.body),
            self.loop.time(),
        )
        self.discard_body()
        request.keep_alive = self.parser.should_keep_alive()
        self.stop_timer()
        self.queued.append(request)
        if self.handler_task is None or self.handler_task.done():
            self.handler_task = self.loop.create_task(self.handle_queued())

    # Handling

    async def handle_queued(self) -> None:
        """Handle the queued requests one after another."""
        while self.queued and not self.closed:
            request = self.queued.popleft()
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
        """Run the handler; respond with 500 on an unexpected error if nothing was sent yet."""
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
        """Send bytes unless the connection is closed."""
        if self.closed:
            return
        self.count_sent(len(data))
        self.transport.write(data)

    def count_sent(self, size: int) -> None:
        """Count bytes that are sent, and let the client read a large response slowly.

        A client that sends another request has read the responses before.
        """
        was_large = self.sent_bytes >= LARGE_MESSAGE_BYTES
        self.sent_bytes += size
        is_large = self.sent_bytes >= LARGE_MESSAGE_BYTES
        if is_large != was_large:
            allow_slow_reader(self.transport, is_large)

    async def drain(self) -> None:
        """Wait until the send buffer has room, and close the connection if that takes too long."""
        if self.can_write.is_set():
            return
        try:
            async with asyncio.timeout(SLOW_READER_TIMEOUT_S):
                await self.can_write.wait()
        except TimeoutError:
            self.abort()

    def is_closing(self) -> bool:
        """Return whether responses ask the client to close the connection."""
        return self.server.closing

    def abort(self) -> None:
        """Close the connection at once."""
        if not self.closed:
            self.transport.abort()

    def count_head_bytes(self, size: int) -> None:
        """Count bytes of the request head, and reject a head over the limit."""
        self.head_bytes += size
        if self.head_bytes > self.server.limits.header_bytes and not self.rejected:
            self.reject(431)

    def max_framing_bytes(self) -> int:
        """Return the limit on the bytes of a request outside its body.

        Complete fields are held to `ServerLimits.header_bytes` one by one. This limit bounds an
        incomplete field, and leaves room for the request line, chunk sizes and trailers.
        """
        return 2 * self.server.limits.header_bytes

    def reject(self, status: int) -> None:
        """Respond to an invalid request with an error status and close the connection.

        While an earlier request has no response, the client would take this response for that
        request's, so the connection is closed without one.
        """
        if self.rejected:
            return
        self.rejected = True
        self.stop_timer()
        self.discard_body()
        if self.current is not None or self.queued:
            self.abort()
            return
        fields = [("Content-Length", "0"), ("Connection", "close")]
        self.write(encode_headers(f"HTTP/1.1 {status} {reason(status)}", fields))
        if not self.closed:
            self.transport.close()

    def set_timer(self, delay_s: float) -> None:
        """Start a timeout, replacing the present one."""
        self.stop_timer()
        self.timer = self.loop.call_later(delay_s, self.on_timeout)

    def stop_timer(self) -> None:
        """Cancel the timeout of the request being received or of the idle connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_timeout(self) -> None:
        """Reject a request that arrives too slowly, or close an idle connection."""
        if self.in_message:
            self.reject(408)
        elif not self.closed:
            self.transport.close()


class HttpServer:
    """HTTP server that listens at one address.

    Attributes
    ----------
    handler : callable
        Coroutine function that is called with each request and its responder.
    limits : ServerLimits
        Limits of requests; may be replaced while the server runs.
    connections : set of ServerConnection
        Open connections.
    closing : bool
        Whether responses ask the client to close its connection.
    active : int
        Number of requests being handled.
    body_bytes : int
        Total size of the request bodies that are being received.
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None):
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self.active = 0
        self.body_bytes = 0
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
        """Close idle connections, and let further responses ask for the end of their connection."""
        self.closing = True
        for connection in list(self.connections):
            if connection.current is None and not connection.queued and not connection.in_message:
                connection.transport.close()

    async def stop(self) -> None:
        """Stop listening and close all connections at once."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()
