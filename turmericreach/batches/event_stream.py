"""Incremental parser of server-sent events (``text/event-stream``)."""

import re

import attrs

from turmericreach.http1 import ResponseIncomplete, read_number

__all__ = ["EventParser", "StreamEvent"]

# An event holds the text of a few tokens and an id.
MAX_EVENT_BYTES = 65_536
# Ends an event. Further line breaks belong to the separator, so that a run of them is one match.
SEPARATOR = re.compile(rb"(?:\r\n\r\n|\n\n)[\r\n]*")


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
    """

    id: int | None
    data: str
    other_lines: list[str]
    raw: bytes


class EventParser:
    """Splits a byte stream into complete events and buffers an incomplete one.

    Parameters
    ----------
    max_event_bytes : int
        Largest size of an event.

    Attributes
    ----------
    rest : bytes
        Bytes received after the last complete event.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES):
        self.max_event_bytes = max_event_bytes
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes to the buffer and return the events that they complete.

        Raises
        ------
        ResponseIncomplete
            If an event is too large.
        """
        buffer = self.rest + data
        events = []
        start = 0
        for separator in SEPARATOR.finditer(buffer):
            raw = buffer[start : separator.end()]
            start = separator.end()
            event = parse_event(raw)
            if event is not None:
                events.append(event)
        self.rest = buffer[start:]
        if len(self.rest) > self.max_event_bytes:
            raise ResponseIncomplete(f"an event exceeds {self.max_event_bytes} bytes")
        return events


def parse_event(raw: bytes) -> StreamEvent | None:
    """Parse the lines of one event; return None if there are none."""
    event_id, data, other = None, [], []
    found = False
    for line in raw.decode("utf-8", "replace").splitlines():
        if not line:
            continue
        found = True
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        number = read_number(value) if name == "id" else None
        if number is not None:
            event_id = number
        elif name == "data":
            data.append(value)
        else:
            other.append(line)
    return StreamEvent(event_id, "\n".join(data), other, raw) if found else None
