"""Incremental parser of server-sent events (``text/event-stream``)."""

import attrs

__all__ = ["EventParser", "StreamEvent"]


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

    Attributes
    ----------
    rest : bytes
        Bytes received after the last complete event.
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes to the buffer and return the events that they complete."""
        self.rest += data
        events = []
        while True:
            end, length = find_blank_line(self.rest)
            if end < 0:
                return events
            raw = self.rest[: end + length]
            self.rest = self.rest[end + length :]
            event = parse_event(raw)
            if event is not None:
                events.append(event)


def find_blank_line(data: bytes) -> tuple[int, int]:
    """Return the offset and length of the first event separator, the offset -1 if none."""
    plain = data.find(b"\n\n")
    carriage = data.find(b"\r\n\r\n")
    if carriage >= 0 and (plain < 0 or carriage < plain):
        return carriage, 4
    return plain, 2


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
        if name == "id" and value.isdigit():
            event_id = int(value)
        elif name == "data":
            data.append(value)
        else:
            other.append(line)
    return StreamEvent(event_id, "\n".join(data), other, raw) if found else None
