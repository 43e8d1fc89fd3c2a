"""Connection of one client to a server."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol

from turmericreach.http1.exchange import Request, Responder, reason
from turmericreach.http1.headers import Headers, encode_headers
from turmericreach.http1.limits import ServerLimits
from turmericreach.http1.memory_budget import CONNECTION_BYTES, REQUEST_BYTES
from turmericreach.http1.progress import SLOW_READER_TIMEOUT_S, Progress
from turmericreach.http1.request_parser import RequestParser
from turmericreach.http1.response_writer import ResponseWriter
from turmericreach.http1.server_bounds import ServerBounds
from turmericreach.http1.sockets import set_socket_options
from turmericreach.telemetry import events, log_event

__all__ = ["Handler", "ServerConnection"]

# Requests queued per connection, and memory of these; while the queue is full, parsing stops and
# reading from the connection pauses.
MAX_QUEUED_REQUESTS = 8
MAX_QUEUED_BYTES = 262_144
# Smaller changes of the memory that a connection holds are not reported to the budget, so that a
# usual request costs no update of it. The cost of a connection includes about as much.
UNREPORTED_BYTES = 4096
REASON_BY_STATUS = {408: "slow", 413: "size", 431: "size", 503: "memory"}

Handler = Callable[[Request, Responder], Awaitable[None]]


class ConnectionOwner(Protocol):
    """Server to which a connection belongs."""

    handler: Handler
    limits: ServerLimits
    bounds: ServerBounds
    name: str
    connections: set["ServerConnection"]
    closing: bool
    active: int


class ServerConnection(asyncio.Protocol):
    """Connection of one client, whose requests are handled in order of arrival.

    Attributes
    ----------
    parser : RequestParser
        Collects the request being received.
    queued : deque of Request
        Received requests that have not been handled.
    queued_bytes : int
        Memory that the queued requests occupy.
    current : Request or None
        Request being handled.
    handler_task : asyncio.Task or None
        Task that handles the requests.
    reported_bytes : int
        Memory that was last reported to the budget.
    is_paused : bool
        Whether reading is paused since the queue is full.
    rejected : bool
        Whether the client sent an invalid request; further bytes are ignored.
    timer : asyncio.TimerHandle or None
        Timeout of the request being received, of an unread response or of the idle connection.
    writer : ResponseWriter
        Writes the responses.
    progress : Progress
        Progress of the body being received.
    """

    def __init__(self, server: ConnectionOwner):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = RequestParser(self)
        self.queued: deque[Request] = deque()
        self.queued_bytes = 0
        self.current: Request | None = None
        self.handler_task: asyncio.Task | None = None
        self.reported_bytes = 0
        self.is_paused = False
        self.rejected = False
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None
        self.writer: ResponseWriter | None = None
        self.progress = Progress()

    # Transport callbacks

    def connection_made(self, transport) -> None:
        """Register the connection and start its idle timeout, or close it if there is no room."""
        self.transport = transport
        self.writer = ResponseWriter(transport)
        if not self.server.bounds.connections.add(self.server.name, self):
            self.evict("connections")
            return
        set_socket_options(transport)
        self.server.connections.add(self)
        self.set_timer(self.server.limits.idle_timeout_s)
        self.update_held()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as far as the queue has room."""
        if self.rejected or self.closed:
            return
        if not self.parser.in_message and self.current is None:
            self.set_timer(self.server.limits.header_timeout_s)
        self.parser.add(data)
        self.parse()

    def eof_received(self) -> bool:
        """Close the connection when the client has closed its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the handlers that the client has disconnected."""
        self.closed = True
        self.stop_timer()
        self.server.connections.discard(self)
        self.server.bounds.connections.remove(self.server.name, self)
        self.writer.can_write.set()
        self.parser.discard()
        for request in self.queued:
            request.disconnected.set()
        self.queued.clear()
        self.queued_bytes = 0
        if self.current is not None:
            self.current.disconnected.set()
        self.update_held()

    def pause_writing(self) -> None:
        """Make writers wait until the send buffer has room."""
        self.writer.can_write.clear()

    def resume_writing(self) -> None:
        """Wake the waiting writers."""
        self.writer.can_write.set()
        self.update_held()

    # Receipt of requests

    def parse(self) -> None:
        """Parse the received piece while the queue has room, and pause reading if it has none."""
        while self.parser.has_pending() and self.has_room():
            self.parser.parse_next()
        if self.closed or self.rejected:
            return
        self.update_held()
        has_to_pause = self.parser.has_pending() or not self.has_room()
        if has_to_pause == self.is_paused:
            return
        self.is_paused = has_to_pause
        if has_to_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def has_room(self) -> bool:
        """Return whether another request may be queued."""
        return len(self.queued) < MAX_QUEUED_REQUESTS and self.queued_bytes < MAX_QUEUED_BYTES

    def current_limits(self) -> ServerLimits:
        """Return the limits in force."""
        return self.server.limits

    def message_begun(self) -> None:
        """Note that the client has read the responses before its next request."""
        if self.current is None and not self.queued and not self.closed:
            self.writer.count_sent(-self.writer.sent_bytes)

    def head_received(self, headers: Headers) -> None:
        """Send 100 Continue if requested, and wait for the body."""
        if "expect" in headers.first and "100-continue" in headers.tokens("expect"):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.progress.restart(0)
        self.set_timer(self.server.limits.body_timeout_s)

    def request_received(self, parser: RequestParser) -> None:
        """Queue a complete request and start its handling."""
        request = Request(
            parser.parser.get_method().decode("latin-1"),
            parser.url.decode("latin-1"),
            parser.headers,
            bytes(parser.body),
            self.loop.time(),
        )
        request.keep_alive = parser.parser.should_keep_alive()
        request.held_bytes = REQUEST_BYTES + parser.head_cost() + len(request.body)
        self.stop_timer()
        self.queued.append(request)
        self.queued_bytes += request.held_bytes
        if self.handler_task is None or self.handler_task.done():
            self.handler_task = self.loop.create_task(self.handle_queued())

    # Handling

    async def handle_queued(self) -> None:
        """Handle the queued requests one after another.

        Other connections get a turn between two requests of one. The next request is not handled
        while the responses before it fill the send buffer.
        """
        while self.queued and not self.closed:
            if not self.writer.can_write.is_set():
                await self.drain()
                continue
            request = self.queued.popleft()
            self.queued_bytes -= request.held_bytes
            self.current = request
            if self.is_paused:
                # Reading goes on if there is room now, so that a disconnect is noticed.
                self.parse()
            responder = Responder(self, request)
            await self.handle(request, responder)
            self.current = None
            if self.closed:
                self.update_held()
                return
            if not responder.finished:
                self.abort()
                return
            if not request.keep_alive:
                self.close_after_responses()
                return
            self.server.bounds.connections.touch(self.server.name, self)
            if self.reported_bytes > CONNECTION_BYTES:
                self.update_held()
            if self.queued:
                await self.server.bounds.turns.wait()
        if self.closed:
            return
        if self.server.closing and not self.parser.in_message:
            self.close_after_responses()
        elif self.timer is None:
            self.wait_for_request()

    def wait_for_request(self) -> None:
        """Start the timeout of the next request, of which a part may have arrived."""
        limits = self.server.limits
        self.writer.restart_progress()
        in_message = self.parser.in_message
        self.set_timer(limits.header_timeout_s if in_message else limits.idle_timeout_s)

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

    # Responses

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closed."""
        if self.closed:
            return
        self.writer.write(data)
        if self.writer.unsent_bytes():
            self.update_held()

    async def drain(self) -> None:
        """Wait until the send buffer has room, and close the connection of a client that stops."""
        if not self.writer.can_write.is_set() and not await self.writer.drain():
            self.close_unread()

    def close_unread(self) -> None:
        """Close the connection of a client that reads nothing of its responses."""
        self.server.bounds.rejections.count("slow")
        self.abort()

    def is_closing(self) -> bool:
        """Return whether responses ask the client to close the connection."""
        has_more = bool(self.queued) or self.parser.has_pending()
        return self.server.closing and not has_more

    def close_after_responses(self) -> None:
        """Close the connection once the client has read what was sent."""
        self.parser.discard()
        self.rejected = True
        self.update_held()
        self.transport.close()
        if not self.closed and self.writer.unsent_bytes():
            self.writer.restart_progress()
            self.set_timer(SLOW_READER_TIMEOUT_S)

    def abort(self) -> None:
        """Close the connection at once."""
        if not self.closed:
            self.transport.abort()

    def reject(self, status: int) -> None:
        """Respond to an invalid request with an error status and close the connection.

        While an earlier request has no response, the client would take this response for that
        request's, so the connection is closed without one.
        """
        if self.rejected:
            return
        self.rejected = True
        self.stop_timer()
        self.parser.discard()
        self.server.bounds.rejections.count(REASON_BY_STATUS.get(status, "invalid"))
        if self.current is not None or self.queued:
            self.abort()
            return
        fields = [("Content-Length", "0"), ("Connection", "close")]
        if status == 503:
            fields += self.server.bounds.busy_fields
        self.write(encode_headers(f"HTTP/1.1 {status} {reason(status)}", fields))
        if not self.closed:
            self.close_after_responses()

    # Budgets

    def update_held(self) -> None:
        """Report the memory that the connection holds to the budget of the process."""
        held = 0 if self.current is None else self.current.held_bytes
        if not self.closed:
            held += CONNECTION_BYTES + self.parser.held_bytes() + self.queued_bytes
            held += self.writer.unsent_bytes()
        if held and abs(held - self.reported_bytes) < UNREPORTED_BYTES:
            return
        self.reported_bytes = held
        self.server.bounds.memory.update(self, held)

    def is_unused(self) -> bool:
        """Return whether no complete request is queued or being handled."""
        return self.current is None and not self.queued

    def is_idle(self) -> bool:
        """Return whether only an incomplete request or an unread response is held."""
        return not self.closed and (self.is_unused() or not self.writer.can_write.is_set())

    def is_pipelining(self) -> bool:
        """Return whether more is held than the request that is being handled."""
        return not self.closed and bool(self.queued or self.parser.held_bytes())

    def evict(self, reason: str) -> None:
        """Reject the request that is being received, or close the connection."""
        self.reported_bytes = 0
        in_first = self.parser.in_message and self.is_unused() and not self.rejected
        if in_first and reason == "memory":
            self.reject(503)
            return
        self.server.bounds.rejections.count(reason)
        self.abort()

    # Timeouts

    def set_timer(self, delay_s: float) -> None:
        """Start a timeout, replacing the present one."""
        self.stop_timer()
        self.timer = self.loop.call_later(delay_s, self.on_timeout, delay_s)

    def stop_timer(self) -> None:
        """Cancel the present timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_timeout(self, delay_s: float) -> None:
        """Reject a request that arrives too slowly, or close an idle connection.

        Bodies and responses are cut off by their progress, so that a client that is slow but steady
        can complete its request.
        """
        self.timer = None
        if self.closed:
            return
        if self.is_paused:
            # The rest may have arrived; the next request is handled first.
            self.set_timer(delay_s)
        elif self.parser.in_message and not self.rejected:
            is_body = self.parser.head_complete
            if is_body and self.progress.is_made(self.parser.framing.received, delay_s):
                self.set_timer(delay_s)
            else:
                self.reject(408)
        elif self.writer.unsent_bytes():
            if self.writer.is_read(delay_s):
                self.set_timer(delay_s)
            else:
                self.close_unread()
        else:
            self.transport.close()
