"""Client connections, which carry one request at a time."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator

import httptools

from turmericreach.http1.body_sender import SENT_AT_ONCE_BYTES, BodySender
from turmericreach.http1.carried_ids import CarriedIds
from turmericreach.http1.headers import Headers, encode_headers
from turmericreach.http1.limits import BufferBudget, FramingCount, ResponseLimits
from turmericreach.http1.numbers import read_number
from turmericreach.http1.response_fields import ResponseFields
from turmericreach.http1.responses import ConnectFailed, ResponseHead, ResponseIncomplete
from turmericreach.http1.sockets import (
    LARGE_MESSAGE_BYTES,
    allow_slow_reader,
    set_socket_options,
)
from turmericreach.http1.status import is_interim, status_problem

__all__ = ["ClientConnection", "connect"]

# Reading from the connection pauses while more than this many bytes of a body are unread.
MAX_BUFFERED_BYTES = 1 << 16
# Idle connections are closed this long before the server would close them, so that no request is
# sent on a connection that the server is closing.
IDLE_MARGIN_S = 0.5
# Memory of a head that is not counted, so that a usual response costs no update of the budget.
UNCOUNTED_HEAD_BYTES = 8192
# Framing allowed for each byte of a body. Each chunk costs processor time, so a body in chunks of
# one byte, which need five bytes of framing, must be short.
FRAMING_PER_BODY_BYTE = 2
# Longest idle time for servers that announce none.
DEFAULT_MAX_IDLE_S = 4.0


class ClientConnection(asyncio.Protocol):
    """One connection to a server.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    limits : ResponseLimits, optional
        Limits on the size of a response.
    buffers : BufferBudget, optional
        Memory shared with other connections; by default this connection has its own.

    Attributes
    ----------
    address : str
        ``ip:port`` of the server.
    reusable : bool
        Whether another request may be sent after the present one. It may not if the server closes
        the connection or has sent unexpected bytes.
    idle_since : float
        Loop time at which the last response was complete.
    max_idle_s : float
        Idle time after which the connection must not be reused.
    requests : int
        Number of requests sent.
    on_idle_closed : callable or None
        Called with the connection when it is closed while it is idle in a pool.
    active : bool
        Whether a request has been sent.
    sends_large_body : bool
        Whether the server may read the body of the present request slowly.
    method : str
        Method of the present request.
    echo : tuple of str or None
        Header field and value that identify the response to the present request. The value is empty
        for a request without an id, whose response names none.
    carried : CarriedIds
        What identifies the responses to the newest requests.
    mismatched : bool
        Whether the response being received belongs to another request and is skipped.
    head : ResponseHead or None
        Head of the response, once received.
    until_close : bool
        Whether the body ends with the connection, for lack of a length.
    complete : bool
        Whether the whole response has been received.
    failure : ResponseIncomplete or None
        Reason why the response cannot be completed.
    chunks : deque of bytes
        Received parts of the body that have not been read.
    pieces : list of bytes
        Parts of the body that arrived together and are not in `chunks` yet.
    fields : ResponseFields
        Fields of the response that is being received.
    head_held : int
        Memory of the fields that counts against the shared memory.
    buffered : int
        Total size of `chunks` in bytes.
    held : int
        Bytes of the body that count against the shared memory: those of `chunks`, and those that
        `read_body` has collected.
    framing : FramingCount
        Bytes of the present response.
    skipped : int
        Bytes of bodies of responses to other requests.
    verified_run : str
        Run of a target's process that the other end was found to be, empty if it was not checked.
    """

    def __init__(
        self,
        address: str,
        limits: ResponseLimits | None = None,
        buffers: BufferBudget | None = None,
    ):
        self.address = address
        self.limits = limits or ResponseLimits()
        self.buffers = buffers or BufferBudget(self.limits.total_bytes)
        self.held = 0
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.reusable = True
        self.idle_since = self.loop.time()
        self.max_idle_s = DEFAULT_MAX_IDLE_S
        self.requests = 0
        self.on_idle_closed = None
        self.verified_run = ""
        self.sends_large_body = False
        self.body_sender = BodySender()
        self.carried = CarriedIds()
        self.reset_exchange()

    def reset_exchange(self) -> None:
        """Reset the state of the previous request and its response."""
        self.parser = httptools.HttpResponseParser(self)
        self.active = False
        self.method = ""
        self.echo: tuple[str, str] | None = None
        self.mismatched = False
        self.head: ResponseHead | None = None
        self.head_waiter: asyncio.Future | None = None
        self.fields = ResponseFields()
        self.head_held = 0
        self.until_close = False
        self.complete = False
        self.failure: ResponseIncomplete | None = None
        self.framing = FramingCount(FRAMING_PER_BODY_BYTE)
        self.skipped = 0
        self.release_buffers()
        self.chunk_waiter: asyncio.Future | None = None

    # Transport callbacks

    def connection_made(self, transport) -> None:
        """Store the transport and set the options of its socket."""
        self.transport = transport
        self.buffers.connections += 1
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; close the connection if there are bytes beyond it."""
        if not self.active or self.complete:
            self.reusable = False
            self.close()
            return
        self.framing.received += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.failure is None:
                self.fail(f"invalid response: {error}")
            return
        self.add_chunk()
        if not self.complete and self.framing.exceeds(self.limits.head_bytes):
            self.exceed(f"bytes outside the body exceed {self.limits.head_bytes}")
        if self.failure is None and self.buffered > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Complete a response without a length, whose body ends with the connection."""
        if self.active and not self.complete and self.until_close:
            self.finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail an incomplete response, and report a closed idle connection to the pool."""
        self.closed = True
        self.reusable = False
        self.buffers.connections -= 1
        if self.active and not self.complete:
            self.fail("connection lost")
        if self.on_idle_closed is not None:
            self.on_idle_closed(self)

    def pause_writing(self) -> None:
        """Make the sender of a body wait until the send buffer has room."""
        self.body_sender.pause()

    def resume_writing(self) -> None:
        """Wake the sender of a body."""
        self.body_sender.resume()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start to collect the header fields of a response."""
        if self.complete:
            self.reusable = False
            return
        self.fields.restart()

    def on_status(self, reason: bytes) -> None:
        """Check the reason phrase of a response, which may arrive in parts."""
        if self.failure is not None:
            return
        problem = self.fields.add_reason(reason)
        if problem:
            self.fail(problem)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field or a trailer, and count the memory of a large head."""
        if self.failure is not None:
            return
        problem = self.fields.add(name, value)
        if problem:
            self.exceed(problem)
            return
        uncounted = self.fields.cost - self.head_held
        if uncounted > UNCOUNTED_HEAD_BYTES:
            self.head_held += uncounted
            self.buffers.hold(self, uncounted)

    def on_headers_complete(self) -> None:
        """Publish the head, unless the response is interim or belongs to another request."""
        if self.complete or self.failure is not None:
            return
        status = self.parser.get_status_code()
        problem = status_problem(status, self.parser.get_http_version())
        if problem:
            self.fail(problem)
            return
        headers = Headers(self.fields.fields)
        if is_interim(status):
            self.check_interim(status, headers)
            return
        self.mismatched = self.carried.is_mismatched(self.echo, headers)
        if self.mismatched:
            return
        framed = headers.get("content-length") is not None
        self.until_close = not framed and "chunked" not in headers.tokens("transfer-encoding")
        if self.until_close or "close" in headers.tokens("connection"):
            self.reusable = False
        self.apply_keep_alive(headers)
        self.head = ResponseHead(status, headers)
        if self.method == "HEAD":
            # The parser does not know that no body follows, so the connection is not used again.
            self.reusable = False
            self.finish()
        if self.head_waiter is not None and not self.head_waiter.done():
            self.head_waiter.set_result(None)

    def check_interim(self, status: int, headers: Headers) -> None:
        """Fail an interim response that announces a body, since it cannot have one."""
        for name in ("content-length", "transfer-encoding"):
            if headers.get(name) is not None:
                self.fail(f"interim response {status} with a body")
                return

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body for the reader."""
        self.framing.body += len(body)
        if self.mismatched:
            self.skip_body(len(body))
            return
        if self.head is None or self.complete or self.failure is not None:
            return
        self.pieces.append(body)

    def add_chunk(self) -> None:
        """Give the reader the parts of the body that arrived together, as one.

        Small chunks of a body that are kept one by one would occupy many times their size.
        """
        if not self.pieces:
            return
        chunk = b"".join(self.pieces)
        self.pieces = []
        self.chunks.append(chunk)
        self.buffered += len(chunk)
        self.buffers.hold(self, len(chunk))
        self.wake_reader()

    def skip_body(self, size: int) -> None:
        """Count bytes of a response to another request, and fail if there are too many."""
        self.skipped += size
        if self.skipped > self.limits.skipped_bytes and self.failure is None:
            self.exceed(f"responses to other requests exceed {self.limits.skipped_bytes} bytes")

    def on_message_complete(self) -> None:
        """Complete the response, unless it is interim or belongs to another request."""
        if self.complete:
            return
        if self.mismatched:
            self.mismatched = False
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
            Header fields, except for the length of the body.
        body : bytes
            The complete body.
        echo : tuple of str, optional
            Header field and value that the response repeats, with an empty value for a request
            without an id. A response with another value belongs to another request and is skipped.

        Raises
        ------
        ResponseIncomplete
            If the connection is lost before the head is received. The request may have run.
        HeaderError
            If a field cannot be sent; nothing was sent.
        """
        if self.closed:
            raise ResponseIncomplete("connection lost")
        lines = [*fields]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(("Content-Length", str(len(body))))
        head = encode_headers(f"{method} {target} HTTP/1.1", lines)
        self.reset_exchange()
        self.active = True
        self.reusable = True
        self.requests += 1
        self.echo = echo
        self.carried.record(echo)
        self.method = method
        sends_large_body = len(body) >= LARGE_MESSAGE_BYTES
        if sends_large_body != self.sends_large_body:
            self.sends_large_body = sends_large_body
            allow_slow_reader(self.transport, sends_large_body)
        self.head_waiter = self.loop.create_future()
        if len(body) <= SENT_AT_ONCE_BYTES:
            self.transport.write(head + body)
        else:
            self.transport.write(head)
            if not await self.body_sender.send(self.transport, body, self.head_waiter):
                # The next request on this connection would be taken for the rest of the body.
                self.reusable = False
        await self.head_waiter
        if self.head is None:
            raise self.failure or ResponseIncomplete("connection lost")
        if self.transport.get_write_buffer_size() > 0:
            # The response came before the whole request body was sent. The rest of the body would
            # precede the next request on this connection.
            self.reusable = False
        return self.head

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        ResponseIncomplete
            If the connection is lost before the body is complete.
        """
        async for chunk in self.take_chunks():
            self.buffers.release(self, len(chunk))
            yield chunk

    async def take_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, without releasing the memory that it counts for."""
        while True:
            while self.chunks:
                chunk = self.chunks.popleft()
                self.buffered -= len(chunk)
                if self.buffered <= MAX_BUFFERED_BYTES and not self.closed:
                    self.transport.resume_reading()
                yield chunk
            if self.complete:
                return
            if self.failure is not None:
                raise self.failure
            self.chunk_waiter = self.loop.create_future()
            await self.chunk_waiter

    async def read_body(self) -> bytes:
        """Return the complete body.

        Raises
        ------
        ResponseIncomplete
            If the connection is lost before the body is complete, or the body is too large.
        """
        parts, size = [], 0
        async for chunk in self.take_chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > self.limits.body_bytes and self.failure is None:
                self.exceed(f"the body exceeds {self.limits.body_bytes} bytes")
        self.release_buffers()
        return b"".join(parts)

    def may_carry(self, echo: tuple[str, str] | None) -> bool:
        """Return whether no late response of this connection can be taken for that of a request."""
        return self.carried.may_carry(echo)

    def apply_keep_alive(self, headers: Headers) -> None:
        """Set the longest idle time to what the server announces, less a margin."""
        for token in headers.tokens("keep-alive"):
            name, _, value = token.partition("=")
            seconds = read_number(value) if name == "timeout" else None
            if seconds is None:
                continue
            self.max_idle_s = max(seconds - IDLE_MARGIN_S, 0.0)

    def finish(self) -> None:
        """Mark the response as complete."""
        self.complete = True
        self.idle_since = self.loop.time()
        self.wake_reader()

    def exceed(self, reason: str) -> None:
        """Fail a response that is over a limit, and discard what was received of it."""
        self.release_buffers()
        self.fail(reason)

    def fail(self, reason: str) -> None:
        """Fail the response and close the connection; what was received can still be read."""
        if self.failure is None:
            self.add_chunk()
        self.failure = ResponseIncomplete(reason)
        self.reusable = False
        if self.head_waiter is not None and not self.head_waiter.done():
            self.head_waiter.set_result(None)
        self.wake_reader()
        self.close()

    def is_idle(self) -> bool:
        """Return False: a response that is being read belongs to a request that is handled."""
        return False

    def is_pipelining(self) -> bool:
        """Return False: what is held belongs to the request that is being handled."""
        return False

    def evict(self, reason: str) -> None:
        """Fail the response, as the memory for all connections is used up."""
        self.exceed(reason)

    def release_buffers(self) -> None:
        """Release the parts of the body that have not been read."""
        self.chunks: deque[bytes] = deque()
        self.pieces: list[bytes] = []
        self.buffered = 0
        self.buffers.release(self, self.held)

    def wake_reader(self) -> None:
        """Wake the reader of the body."""
        if self.chunk_waiter is not None and not self.chunk_waiter.done():
            self.chunk_waiter.set_result(None)

    def close(self) -> None:
        """Close the connection at once, which also tells the server that a request is abandoned."""
        self.reusable = False
        self.buffers.release(self, self.held)
        if self.transport is not None and not self.closed:
            self.transport.abort()


async def connect(
    address: str,
    timeout_s: float,
    limits: ResponseLimits | None = None,
    buffers: BufferBudget | None = None,
) -> ClientConnection:
    """Open a connection to ``ip:port``; the limits are those of `ClientConnection`.

    Raises
    ------
    ConnectFailed
        If the connection is not open within `timeout_s` seconds.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(address, limits, buffers), host, int(port)
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # The last two are those of an address that is none, such as one with port 99999.
        refused = isinstance(error, ConnectionRefusedError)
        raise ConnectFailed(f"{address}: {error or 'timed out'}", refused) from error
    return connection
