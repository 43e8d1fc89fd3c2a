"""Incremental parser of server-sent events (``text/event-stream``)."""

import re

import attrs

from turmericreach.http1 import ResponseIncomplete, read_number
from turmericreach.platform.names import WEIGHT_VERSIONS

__all__ = ["EventParser", "StreamEvent", "follows"]

# An event holds the text of a few tokens and an id.
MAX_EVENT_BYTES = 65_536
# CR LF, LF and CR end a line, and nothing else does: `str.splitlines` also splits at U+0085, U+2028
# and other characters that are part of a text.
LINE_END = re.compile(rb"\r\n|\n|\r")
# Ends an event. Further line ends belong to the separator, so that a run of them is one match.
SEPARATOR = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2,}")
# A target that fails in the middle of an event may send the head of another response there.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")
# Fields of events, and comments.
EVENT_FIELD = re.compile(
    b"(?:id|data|event|retry|%b)?:" % re.escape(WEIGHT_VERSIONS.encode()), re.IGNORECASE
)
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


@attrs.frozen
class StreamEvent:
    """One server-sent event.

    Attributes
    ----------
    id : int or None
        Value of the ``id`` field, None if it is missing or not a number.
    data : str
        Values of the ``data`` fields, separated by line feeds.
    other_lines : list of str
        Lines that are neither a ``data`` field nor a numeric ``id`` field, including comments.
    raw : bytes
        Bytes of the event as received, including the blank line at its end.
    valid : bool
        Whether the bytes are valid UTF-8; if not, `data` holds replacement characters.
    spliced : bool
        Whether the head of another response stands in the event.
    """

    id: int | None
    data: str
    other_lines: list[str]
    raw: bytes
    valid: bool = True
    spliced: bool = False

    def is_comment(self) -> bool:
        """Return whether the event holds comments only, as a server sends to keep a stream open."""
        comments = all(line.startswith(":") for line in self.other_lines)
        return self.id is None and not self.data and comments


class EventParser:
    """Splits a byte stream into complete events and buffers an incomplete one.

    Parameters
    ----------
    max_event_bytes : int
        Largest size of an event, and of the comments and blank lines between two events.

    Attributes
    ----------
    rest : bytes
        Bytes received after the last complete event.
    started : bool
        Whether a part of the stream has been parsed; a byte order mark may only stand before it.
    idle_bytes : int
        Size of the comments and blank lines since the last event.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES):
        self.max_event_bytes = max_event_bytes
        self.rest = b""
        self.started = False
        self.idle_bytes = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes to the buffer and return the events that they complete.

        Raises
        ------
        ResponseIncomplete
            If an event is too large, or comments follow each other without end.
        """
        buffer = self.rest + data
        events = []
        start = 0
        for separator in SEPARATOR.finditer(buffer):
            raw = buffer[start : separator.end()]
            start = separator.end()
            event = parse_event(raw, at_start=not self.started)
            self.started = True
            if event is not None:
                events.append(event)
            self.count_idle(event, len(raw))
        self.rest = buffer[start:]
        if len(self.rest) > self.max_event_bytes:
            raise ResponseIncomplete(f"an event exceeds {self.max_event_bytes} bytes")
        return events

    def count_idle(self, event: StreamEvent | None, size: int) -> None:
        """Count bytes that are no event, and fail a stream with too many of them in a row."""
        if event is not None and not event.is_comment():
            self.idle_bytes = 0
            return
        self.idle_bytes += size
        if self.idle_bytes > self.max_event_bytes:
            raise ResponseIncomplete(
                f"comments without an event exceed {self.max_event_bytes} bytes"
            )


def parse_event(raw: bytes, at_start: bool = False) -> StreamEvent | None:
    """Parse the lines of one event; return None if there are none.

    Parameters
    ----------
    raw : bytes
        Bytes of the event.
    at_start : bool
        Whether the event is the first one of its stream, which a byte order mark may precede.
    """
    event_id, data, other = None, [], []
    found, valid = False, True
    for encoded in LINE_END.split(raw.removeprefix(BYTE_ORDER_MARK) if at_start else raw):
        if not encoded:
            continue
        found = True
        try:
            line = encoded.decode()
        except UnicodeDecodeError:
            line, valid = encoded.decode("utf-8", "replace"), False
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        number = read_number(value) if name == "id" else None
        if number is not None:
            event_id = number
        elif name == "data":
            data.append(value)
        else:
            other.append(line)
    if not found:
        return None
    return StreamEvent(event_id, "\n".join(data), other, raw, valid, is_spliced(raw))


def is_spliced(raw: bytes) -> bool:
    """Return whether the head of another response stands in an event.

    A text may mention a status line. In a head, a field that no event has follows it, or its line
    ends in another way than the lines of the event.
    """
    if STATUS_LINE.search(raw) is None:
        return False
    lines = LINE_END.split(raw)
    for line, following in zip(lines, lines[1:], strict=False):
        if STATUS_LINE.search(line) and following and not EVENT_FIELD.match(following):
            return True
    return len(set(LINE_END.findall(raw))) > 1


def follows(last_event_id: int | None, event_id: int | None) -> bool:
    """Return whether an event id continues the sequence; the first id is at most 1."""
    if event_id is None:
        return False
    if last_event_id is None:
        return event_id <= 1
    return event_id == last_event_id + 1
