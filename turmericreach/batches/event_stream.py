"""Events of a response (``text/event-stream``)."""

import attrs

__all__ = ["EventParser", "StreamEvent"]


@attrs.frozen
class StreamEvent:
    """An event.

    Attributes
    ----------
    id : int or None
        Its number.
    data : str
        Its data lines, separated by line feeds.
    other_lines : list of str
        Lines that are neither.
    raw : bytes
        Its bytes with the blank line.
    """

    id: int | None
    data: str
    other_lines: list[str]
    raw: bytes


class EventParser:
    """Splits bytes into whole events; the bytes of an incomplete one are kept back."""

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes."""
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
    """Return where the first blank line begins and how many bytes it has."""
    plain = data.find(b"\n\n")
    carriage = data.find(b"\r\n\r\n")
    if carriage >= 0 and (plain < 0 or carriage < plain):
        return carriage, 4
    return plain, 2


def parse_event(raw: bytes) -> StreamEvent | None:
    """Return the event of a block of lines, or None for an empty block."""
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
