"""Log lines to a file descriptor, without ever blocking the program."""

import json
import os
import threading
import time
from collections import deque

from turmericreach.telemetry import node_events as events

__all__ = ["LogOutput"]

# Lines that wait for the reader of the log.
MAX_LINES = 20_000
# Beyond this share of them only warnings and errors are taken, so that failures are kept longest.
ROUTINE_SHARE = 0.5
# Routine lines a second of one process, so that a peak does not fill the disks of the log.
ROUTINE_LINES_PER_S = 400.0
ROUTINE_BURST_LINES = 4000.0
ROUTINE_MARKS = ('"level": "info"', '"level": "debug"')
FLUSH_INTERVAL_S = 0.1
# Writes of up to this size to a pipe are not mixed with those of others (PIPE_BUF).
BATCH_BYTES = 4096
CLOSE_TIMEOUT_S = 1.0


class LogOutput:
    """A text stream whose lines a thread writes.

    A reader that stops reading blocks only the thread. Lines beyond a bound are dropped and
    counted, routine ones first, and the count is written once there is room.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last count was written.
    dropped_in_all : int
        Lines dropped since the start.
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_LINES):
        self.descriptor = descriptor
        self.max_lines = max_lines
        self.lines: deque[str] = deque()
        self.dropped = 0
        self.dropped_in_all = 0
        self.routine_left = ROUTINE_BURST_LINES
        self.refilled_at = time.monotonic()
        self.closing = False
        self.thread = threading.Thread(target=self.write_lines, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def write(self, text: str) -> int:
        """Take a text; it is written later, or dropped if too much waits."""
        if self.is_taken(text):
            self.lines.append(text)
        else:
            self.dropped += 1
            self.dropped_in_all += 1
        return len(text)

    def is_taken(self, text: str) -> bool:
        """Return whether there is room for a text."""
        if not text.strip():
            return len(self.lines) < self.max_lines
        if not any(mark in text for mark in ROUTINE_MARKS):
            return len(self.lines) < self.max_lines
        if len(self.lines) >= ROUTINE_SHARE * self.max_lines:
            return False
        now = time.monotonic()
        earned = (now - self.refilled_at) * ROUTINE_LINES_PER_S
        self.routine_left = min(self.routine_left + earned, ROUTINE_BURST_LINES)
        self.refilled_at = now
        if self.routine_left < 1.0:
            return False
        self.routine_left -= 1.0
        return True

    def flush(self) -> None:
        """Do nothing: the thread writes at its own pace."""

    def write_lines(self) -> None:
        """Write what has been taken, until closed."""
        while not self.closing or self.lines:
            if not self.lines:
                time.sleep(FLUSH_INTERVAL_S)
                continue
            try:
                self.write_all(self.next_batch())
            except OSError:
                # Nothing can be logged when the log itself cannot be written.
                return

    def next_batch(self) -> bytes:
        """Return the bytes to write next."""
        parts: list[bytes] = []
        size = 0
        if self.dropped:
            parts.append(self.dropped_line().encode())
            size = len(parts[0])
        while self.lines:
            text = self.lines[0].encode("utf-8", "replace")
            if parts and size + len(text) > BATCH_BYTES:
                break
            self.lines.popleft()
            size += len(text)
            parts.append(text)
        return b"".join(parts)

    def dropped_line(self) -> str:
        """Return a line that tells how many lines were dropped."""
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
        """Write all bytes."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.descriptor, view) :]

    def close(self) -> None:
        """Write what is left, for a moment at most."""
        self.closing = True
        self.thread.join(timeout=CLOSE_TIMEOUT_S)
