"""Log lines to a file descriptor, without ever blocking the program."""

import json
import os
import threading
import time
from collections import deque

from turmericreach.telemetry import node_events as events

__all__ = ["LogOutput"]

MAX_LINES = 20_000
FLUSH_INTERVAL_S = 0.1
BATCH_BYTES = 1 << 16


class LogOutput:
    """A text stream whose lines a thread writes.

    A reader that stops reading blocks only the thread. Lines beyond a bound are dropped and
    counted, and the count is written once there is room.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last count was written.
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_LINES):
        self.descriptor = descriptor
        self.max_lines = max_lines
        self.lines: deque[str] = deque()
        self.dropped = 0
        self.closing = False
        self.thread = threading.Thread(target=self.write_lines, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def write(self, text: str) -> int:
        """Take a text; it is written later, or dropped if too much waits."""
        if len(self.lines) >= self.max_lines:
            self.dropped += 1
        else:
            self.lines.append(text)
        return len(text)

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
        parts, size = [], 0
        if self.dropped:
            parts.append(self.dropped_line())
        while self.lines and size < BATCH_BYTES:
            text = self.lines.popleft()
            size += len(text)
            parts.append(text)
        return "".join(parts).encode("utf-8", "replace")

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
        self.thread.join(timeout=1.0)
