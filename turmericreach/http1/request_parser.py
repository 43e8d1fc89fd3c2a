"""Parsing of the bytes of a connection into requests, one request at a time."""

from typing import Protocol

import httptools

from turmericreach.http1.headers import Headers
from turmericreach.http1.limits import FramingCount, ServerLimits
from turmericreach.http1.memory_budget import FIELD_BYTES
from turmericreach.http1.numbers import read_number

__all__ = ["RequestParser", "RequestReceiver"]

HEAD_END = b"\r\n\r\n"
CONNECT = b"CONNECT"
# Largest part of a chunked body that is parsed at once. The rest of a received piece may hold other
# requests, and the parser cannot be stopped between them.
CHUNKED_SLICE_BYTES = 4096
# A piece of this size is parsed at once: it holds one usual request, and at most 37 short ones.
SMALL_PIECE_BYTES = 1024


class RequestReceiver(Protocol):
    """Connection to which parsed requests are passed."""

    def current_limits(self) -> ServerLimits:
        """Return the limits in force."""

    def message_begun(self) -> None:
        """Note that a request has begun."""

    def head_received(self, headers: Headers) -> None:
        """Note that the head of a request is complete and within the limits."""

    def request_received(self, parser: "RequestParser") -> None:
        """Take over a complete request."""

    def reject(self, status: int) -> None:
        """Reject the request that is being received."""


class RequestParser:
    """Collects the requests of one connection.

    A received piece can hold thousands of requests. It is parsed in slices that end with the head
    or the body of a request, so that parsing can stop while the queue of the connection is full.

    Attributes
    ----------
    pending : bytes
        Received piece that has not been parsed to its end.
    offset : int
        Number of bytes of `pending` that were parsed.
    in_message, head_complete : bool
        Whether a request has been received in part, and whether its head is complete.
    rejected : bool
        Whether the request was rejected; further bytes are ignored.
    head_bytes : int
        Size of the request target and the complete header fields received so far.
    framing : FramingCount
        Bytes of the request being received, from the first slice after its begin on.
    body : bytes or bytearray
        Parts of the body received so far.
    asks_for_upgrade : bool
        Whether the request asks for another protocol, after which the parser would stop.
    is_repeating_head : bool
        Whether the parser is fed the head of the request again, without what asks for that.
    """

    def __init__(self, receiver: RequestReceiver):
        self.receiver = receiver
        self.parser = httptools.HttpRequestParser(self)
        self.pending = b""
        self.offset = 0
        self.in_message = False
        self.rejected = False
        self.asks_for_upgrade = False
        self.is_repeating_head = False
        self.url = b""
        self.headers = Headers()
        self.framing = FramingCount()
        self.announced_bytes: int | None = None
        self.limits = receiver.current_limits()
        self.clear()

    def clear(self) -> None:
        """Release what was held of a request."""
        self.head_complete = False
        self.fields: list[tuple[str, str]] = []
        self.head_bytes = 0
        self.body: bytes | bytearray = b""

    # Received pieces

    def add(self, data: bytes) -> None:
        """Add a received piece."""
        if self.offset < len(self.pending):
            data = self.pending[self.offset :] + data
        self.pending = data
        self.offset = 0

    def has_pending(self) -> bool:
        """Return whether received bytes have not been parsed."""
        return self.offset < len(self.pending)

    def parse_next(self) -> None:
        """Parse up to the end of the next head or body, and reject what is invalid."""
        end = self.next_end()
        if end == len(self.pending):
            data = self.pending[self.offset :] if self.offset else self.pending
            self.pending, self.offset = b"", 0
        else:
            data = self.pending[self.offset : end]
            self.offset = end
        if self.in_message:
            self.framing.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as stop:
            self.ignore_upgrade(data[stop.args[0] :])
        except httptools.HttpParserError:
            self.receiver.reject(400)
        if self.in_message and self.framing.exceeds(self.max_framing_bytes()):
            self.receiver.reject(431)

    def ignore_upgrade(self, rest: bytes) -> None:
        """Parse the rest of a request that asks for another protocol as if it did not.

        A server may ignore the field. The parser stops after the head of such a request without
        its body, so another parser continues after the same head without the field.
        """
        if self.rejected:
            return
        head = head_without_upgrade(self.parser, self.fields)
        self.asks_for_upgrade = False
        self.is_repeating_head = True
        self.parser = httptools.HttpRequestParser(self)
        self.pending = rest + self.pending[self.offset :]
        self.offset = 0
        try:
            self.parser.feed_data(head)
        except httptools.HttpParserError:
            self.receiver.reject(400)

    def next_end(self) -> int:
        """Return the offset at which the next slice of the received piece ends."""
        size = len(self.pending)
        if size - self.offset <= SMALL_PIECE_BYTES:
            return size
        if not self.head_complete:
            found = self.pending.find(HEAD_END, self.offset)
            return size if found < 0 else found + len(HEAD_END)
        if self.announced_bytes is None:
            return min(size, self.offset + CHUNKED_SLICE_BYTES)
        return min(size, self.offset + max(self.announced_bytes - self.framing.body, 1))

    def held_bytes(self) -> int:
        """Return the memory that the received piece and the request being received occupy."""
        return len(self.pending) + len(self.body) + self.head_cost()

    def head_cost(self) -> int:
        """Return the memory that the head of the request being received occupies."""
        return self.head_bytes + FIELD_BYTES * len(self.fields)

    def discard(self) -> None:
        """Ignore the request being received and all further bytes."""
        self.rejected = True
        self.pending, self.offset = b"", 0
        self.clear()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start to collect a request."""
        self.in_message = True
        if self.rejected or self.is_repeating_head:
            return
        self.url = b""
        self.framing = FramingCount()
        self.limits = self.receiver.current_limits()
        self.receiver.message_begun()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        if self.is_repeating_head:
            return
        self.count_head_bytes(len(url))
        if not self.rejected:
            self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        if self.is_repeating_head:
            return
        self.count_head_bytes(len(name) + len(value) + 4)
        # Trailers belong to the framing of the body and add no fields to the request.
        if not self.rejected and not self.head_complete:
            self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the announced length and the host field."""
        if self.rejected:
            return
        if self.is_repeating_head:
            self.is_repeating_head = False
            return
        if self.parser.get_method() == CONNECT:
            self.receiver.reject(501)
            return
        self.asks_for_upgrade = self.parser.should_upgrade()
        self.head_complete = True
        self.headers = Headers(self.fields)
        self.announced_bytes = read_number(self.headers.get("content-length"))
        if (self.announced_bytes or 0) > self.limits.body_bytes:
            self.receiver.reject(413)
        elif self.headers.get("host") is None:
            self.receiver.reject(400)
        else:
            self.receiver.head_received(self.headers)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; one that arrives in one part is not copied."""
        if self.rejected:
            return
        self.framing.body += len(body)
        if not self.body:
            self.body = body
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += body
        if len(self.body) > self.limits.body_bytes:
            self.receiver.reject(413)

    def on_message_complete(self) -> None:
        """Pass on the complete request."""
        if self.asks_for_upgrade and not self.rejected:
            # The parser leaves the body out.
            return
        self.in_message = False
        if self.rejected:
            return
        self.receiver.request_received(self)
        self.clear()

    def count_head_bytes(self, size: int) -> None:
        """Count bytes of the request head, and reject a head over the limit."""
        self.head_bytes += size
        if self.head_bytes > self.limits.header_bytes and not self.rejected:
            self.receiver.reject(431)

    def max_framing_bytes(self) -> int:
        """Return the limit on the bytes of a request outside its body.

        Complete fields are held to `ServerLimits.header_bytes` one by one. This limit bounds an
        incomplete field, and leaves room for the request line, chunk sizes and trailers.
        """
        return 2 * self.limits.header_bytes


def head_without_upgrade(
    parser: httptools.HttpRequestParser, fields: list[tuple[str, str]]
) -> bytes:
    """Return a head that frames the body of a request as its own does, and asks for no upgrade."""
    version = parser.get_http_version()
    lines = [f"{parser.get_method().decode('latin-1')} / HTTP/{version}"]
    for name, value in fields:
        key = name.lower()
        if key in ("content-length", "transfer-encoding"):
            lines.append(f"{name}: {value}")
        elif key == "connection":
            tokens = [token.strip() for token in value.split(",")]
            kept = [token for token in tokens if token.lower() != "upgrade"]
            lines.append(f"{name}: {', '.join(kept)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
