"""Connections that enforce limits before a request is complete."""

import uuid

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from turmericreach.httpserver.errors import error_bytes
from turmericreach.settings.schema import LimitSettings
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["MAX_HEAD_BYTES", "MAX_TARGET_BYTES", "make_protocol"]

# The parser itself sets no limit on the size of a request head.
MAX_HEAD_BYTES = 64 * 1024
# The router keeps the paths of 1,200 requests in its cache.
MAX_TARGET_BYTES = 8 * 1024
RETRY_AFTER_S = 1.0
# The connection of a caller that reads no data for this long is closed; otherwise the caller
# could hold it indefinitely.
SLOW_READER_TIMEOUT_S = 60.0


# Requests that wait behind one without a complete response. After each response the server reads
# on, so that without a limit a caller that pipelines adds thousands of requests each time.
MAX_PIPELINED_REQUESTS = 128


class HeadRejected(Exception):
    """Stops the parsing of a request head that exceeds a limit."""


def make_protocol(limits: LimitSettings) -> type[HttpToolsProtocol]:
    """Return a connection class that enforces the limits before a request is complete."""

    class LimitedProtocol(HttpToolsProtocol):
        """Rejects connections and heads over the limits, and heads that arrive too slowly."""

        head_timer = None
        write_timer = None
        in_head = False
        head_bytes = 0
        rejection = None

        def connection_made(self, transport):
            """Start the timer of the first request head."""
            super().connection_made(transport)
            self.open_cycles = []
            if len(self.connections) > limits.max_connections:
                self.reject(
                    RequestError(
                        ErrorCode.OVERLOADED,
                        "too many connections",
                        503,
                        retry_after_s=RETRY_AFTER_S,
                    )
                )
                return
            self.start_head_timer()

        def data_received(self, data):
            """Start the timer when a further request begins on a reused connection."""
            if self.head_timer is None and (self.cycle is None or self.cycle.response_complete):
                self.start_head_timer()
            if self.in_head:
                self.head_bytes += len(data)
            super().data_received(data)
            if self.in_head and self.head_bytes > MAX_HEAD_BYTES:
                self.rejection = head_too_large()
                self.send_400_response("")

        def on_message_begin(self):
            """Start counting the bytes of a request head."""
            super().on_message_begin()
            self.in_head = True
            self.head_bytes = 0

        def on_headers_complete(self):
            """Stop the timer and check the size of the head."""
            self.in_head = False
            self.stop_head_timer()
            size = len(self.url) + sum(len(name) + len(value) for name, value in self.headers)
            if len(self.url) > MAX_TARGET_BYTES:
                self.rejection = RequestError(
                    ErrorCode.BAD_REQUEST, f"request target over {MAX_TARGET_BYTES} bytes", 414
                )
                raise HeadRejected
            if size > MAX_HEAD_BYTES:
                self.rejection = head_too_large()
                raise HeadRejected
            if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
                self.rejection = RequestError(
                    ErrorCode.OVERLOADED, "too many pipelined requests", 503
                )
                raise HeadRejected
            super().on_headers_complete()
            self.open_cycles = [c for c in self.open_cycles if not c.response_complete]
            self.open_cycles.append(self.cycle)

        def connection_lost(self, exc):
            """Stop the timers and notify every request of the connection.

            The base class notifies only the last one, so that a request with others pipelined
            behind it would continue after its caller disconnected.
            """
            self.stop_head_timer()
            self.stop_write_timer()
            for cycle in self.open_cycles:
                if not cycle.response_complete:
                    cycle.disconnected = True
                    cycle.message_event.set()
            super().connection_lost(exc)

        def pause_writing(self):
            """Start the timer of a caller that does not read."""
            super().pause_writing()
            self.write_timer = self.loop.call_later(SLOW_READER_TIMEOUT_S, self.transport.abort)

        def resume_writing(self):
            """Stop the timer, since the caller has read data."""
            self.stop_write_timer()
            super().resume_writing()

        def stop_write_timer(self):
            """Stop waiting for the caller to read."""
            if self.write_timer is not None:
                self.write_timer.cancel()
                self.write_timer = None

        def send_400_response(self, msg):
            """Respond to bytes that are not a valid request.

            If an earlier request on the connection has no complete response, the error would be
            taken for its response, so the connection is closed without one.
            """
            if any(is_unanswered(cycle) for cycle in self.open_cycles):
                self.transport.close()
                return
            self.reject(
                self.rejection or RequestError(ErrorCode.BAD_REQUEST, "malformed HTTP request")
            )

        def reject(self, error):
            """Send an error response and close the connection."""
            self.stop_head_timer()
            if not self.transport.is_closing():
                self.transport.write(error_bytes(error, uuid.uuid4().hex))
                self.transport.close()

        def start_head_timer(self):
            """Close the connection unless a request head arrives in time."""
            self.head_timer = self.loop.call_later(
                limits.slow_sender_timeout_s, self.on_head_timeout
            )

        def on_head_timeout(self):
            """Reject an incomplete request head; close an idle connection."""
            if not self.in_head:
                self.transport.close()
                return
            self.rejection = RequestError(
                ErrorCode.TIMEOUT,
                f"the request did not arrive within {limits.slow_sender_timeout_s:g} s",
                408,
            )
            self.send_400_response("")

        def stop_head_timer(self):
            """Stop waiting for a request head."""
            if self.head_timer is not None:
                self.head_timer.cancel()
                self.head_timer = None

    return LimitedProtocol


def head_too_large() -> RequestError:
    """Return the error for a request head over the limit."""
    return RequestError(ErrorCode.BAD_REQUEST, f"headers are over {MAX_HEAD_BYTES} bytes", 431)


def is_unanswered(cycle) -> bool:
    """Return whether a request arrived or its response began, and the response is incomplete."""
    if cycle.response_complete:
        return False
    return cycle.response_started or not cycle.more_body
