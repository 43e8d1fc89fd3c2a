"""Non-blocking output of log lines to a file descriptor."""

import json
import os
import threading
import time
from collections import deque

from turmericreach.telemetry import node_events as events

__all__ = ["LogOutput"]

# Bound on the queue of lines not written yet.
MAX_LINES = 20_000
# While the queue is filled beyond this share, only warnings and errors are accepted, so that
# failures are the last to be dropped.
ROUTINE_SHARE = 0.5
# Rate limit (token bucket) on routine lines of one process, so that a load peak does not fill the
# disks that hold the log.
ROUTINE_LINES_PER_S = 400.0
ROUTINE_BURST_LINES = 4000.0
ROUTINE_LEVELS = ('"level": "info"', '"level": "debug"')
FLUSH_INTERVAL_S = 0.1
# PIPE_BUF: writes to a pipe of up to this size are not interleaved with those of other programs.
MAX_WRITE_BYTES = 4096
CLOSE_TIMEOUT_S = 1.0


class LogOutput:
    """A text stream that queues lines for a writer thread.

    A log reader that stops reading blocks only that thread. Lines beyond the bound are dropped and
    counted, routine ones first, and the count is logged as soon as the thread can write again.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    max_lines : int
        Bound on the queue of lines.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last count was logged.
    dropped_total : int
        Lines dropped since the start.
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_LINES):
        self.descriptor = descriptor
        self.max_lines = max_lines
        self.lines: deque[str] = deque()
        self.dropped = 0
        self.dropped_total = 0
        self.routine_tokens = ROUTINE_BURST_LINES
        self.refilled_at = time.monotonic()
        self.closing = False
        self.thread = threading.Thread(target=self.write_lines, daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self.thread.start()

    def write(self, text: str) -> int:
        """Queue a text for writing, or drop it; return its length as a text stream does."""
        if self.admit(text):
            self.lines.append(text)
        else:
            self.dropped += 1
            self.dropped_total += 1
        return len(text)

    def admit(self, text: str) -> bool:
        """Return whether a text may be queued; a routine line uses one token of the rate limit."""
        if not text.strip():
            return len(self.lines) < self.max_lines
        if not any(level in text for level in ROUTINE_LEVELS):
            return len(self.lines) < self.max_lines
        if len(self.lines) >= ROUTINE_SHARE * self.max_lines:
            return False
        now = time.monotonic()
        refill = (now - self.refilled_at) * ROUTINE_LINES_PER_S
        self.routine_tokens = min(self.routine_tokens + refill, ROUTINE_BURST_LINES)
        self.refilled_at = now
        if self.routine_tokens < 1.0:
            return False
        self.routine_tokens -= 1.0
        return True

    def flush(self) -> None:
        """Do nothing: the thread writes the queue periodically."""

    def write_lines(self) -> None:
        """Write queued lines until the stream is closed and the queue is empty."""
        while not self.closing or self.lines:
            if not self.lines:
                time.sleep(FLUSH_INTERVAL_S)
                continue
            try:
                self.write_all(self.next_chunk())
            except OSError:
                # The error cannot be logged, since the log itself cannot be written.
                return

    def next_chunk(self) -> bytes:
        """Remove whole lines from the queue and return them as the bytes of one write."""
        parts: list[bytes] = []
        size = 0
        if self.dropped:
            parts.append(self.dropped_line().encode())
            size = len(parts[0])
        while self.lines:
            text = self.lines[0].encode("utf-8", "replace")
            if parts and size + len(text) > MAX_WRITE_BYTES:
                break
            self.lines.popleft()
            size += len(text)
            parts.append(text)
        return b"".join(parts)

    def dropped_line(self) -> str:
        """Return a log line with the number of dropped lines, and reset that number."""
        count, self.dropped = self.dropped, 0
        event = events.LOG_LINES_DROPPED
        entry = {
            "time": round(time.time(), 3),
            "level": event.level,
            "code": event.code,
            "event": event.name,
            "message": event.template.format(lines=count),
            "fields": {"lines": count},
        }
        return json.dumps(entry) + "\n"

    def write_all(self, data: bytes) -> None:
        """Write all bytes, in several system calls if needed."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.descriptor, view) :]

    def close(self) -> None:
        """Write the remaining lines, waiting for at most `CLOSE_TIMEOUT_S` seconds."""
        self.closing = True
        self.thread.join(timeout=CLOSE_TIMEOUT_S)
