"""Collection of the fields of a response's head, within bounds."""

import re

from turmericreach.http1.memory_budget import FIELD_BYTES

__all__ = ["ResponseFields"]

# Fields of one exchange, those of interim responses, trailers and skipped responses included.
MAX_FIELDS = 1000
# A server that stops in the middle of a head may go on with another head, whose
# status line then stands in the value of a field or in the reason phrase.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")
SPLICED = "the head holds the head of another response"


class ResponseFields:
    """Fields and reason phrase of the response that is being received.

    Attributes
    ----------
    fields : list of tuple of str
        Names and values of the present response.
    reason : bytes
        Reason phrase of the present response, as far as it has arrived.
    count : int
        Fields of the whole exchange.
    cost : int
        Memory in bytes that the fields of the present response occupy.
    """

    def __init__(self):
        self.fields: list[tuple[str, str]] = []
        self.reason = b""
        self.count = 0
        self.cost = 0

    def restart(self) -> None:
        """Start to collect the fields of another response of the exchange."""
        self.fields = []
        self.reason = b""
        self.cost = 0

    def add_reason(self, part: bytes) -> str:
        """Add a part of the reason phrase; return what is wrong with it, if anything."""
        self.reason += part
        return SPLICED if is_spliced(self.reason) else ""

    def add(self, name: bytes, value: bytes) -> str:
        """Add a field; return what is wrong with it, if anything."""
        if is_spliced(value):
            return SPLICED
        self.count += 1
        if self.count > MAX_FIELDS:
            return f"the fields exceed {MAX_FIELDS}"
        self.cost += len(name) + len(value) + FIELD_BYTES
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))
        return ""


def is_spliced(part: bytes) -> bool:
    """Return whether a part of a head holds the status line of another response."""
    return b"HTTP/1" in part and STATUS_LINE.search(part) is not None
