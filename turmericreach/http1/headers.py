"""Header fields and request targets."""

from collections.abc import Iterable, Iterator
from urllib.parse import parse_qsl

from turmericreach.verdicts import TurmericreachError

__all__ = [
    "CONNECTION_HEADERS",
    "HeaderError",
    "Headers",
    "encode_headers",
    "query_value",
    "split_target",
]

# Fields that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


class HeaderError(TurmericreachError):
    """A field cannot be sent, since its value would be taken for something else."""


class Headers:
    """Ordered header fields with case-insensitive lookup.

    Attributes
    ----------
    fields : list of tuple of str
        Names, in the case in which they were received, and values.
    first : dict of str to str
        First value of each field by lower-case name.
    """

    def __init__(self, fields: Iterable[tuple[str, str]] = ()):
        self.fields = list(fields)
        self.first: dict[str, str] = {}
        for name, value in self.fields:
            self.first.setdefault(name.lower(), value)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self.fields)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field, or the default if there is none."""
        return self.first.get(name.lower(), default)

    def values(self, name: str) -> list[str]:
        """Return the values of all fields with a name, in the order in which they arrived."""
        wanted = name.lower()
        if wanted not in self.first:
            return []
        return [value for field, value in self.fields if field.lower() == wanted]

    def number(self, name: str) -> float | None:
        """Return a field as a finite non-negative number, or None if it is missing or malformed."""
        text = self.get(name)
        if text is None:
            return None
        try:
            value = float(text)
        except ValueError:
            return None
        return value if 0 <= value < float("inf") else None

    def tokens(self, name: str) -> set[str]:
        """Return the comma-separated tokens of all fields with a name, in lower case."""
        wanted = name.lower()
        found = set()
        for field, value in self.fields:
            if field.lower() != wanted:
                continue
            found.update(token.strip().lower() for token in value.split(","))
        return found - {""}

    def end_to_end(self) -> list[tuple[str, str]]:
        """Return the fields that are forwarded to the next hop."""
        dropped = CONNECTION_HEADERS | self.tokens("connection")
        return [field for field in self.fields if field[0].lower() not in dropped]


def encode_headers(start_line: str, fields: Iterable[tuple[str, str]]) -> bytes:
    """Return the encoded head of a message: start line, header fields and empty line.

    Raises
    ------
    HeaderError
        If a line holds a line end or a null character, or cannot be encoded. A value of a peer that
        holds a line end would add fields to the message.
    """
    lines = [start_line]
    for name, value in fields:
        lines.append(f"{name}: {value}")
    head = "\r\n".join(lines)
    breaks = len(lines) - 1
    if head.count("\r") != breaks or head.count("\n") != breaks or "\0" in head:
        raise HeaderError("a line of the head holds a line end or a null character")
    try:
        return (head + "\r\n\r\n").encode("latin-1")
    except UnicodeEncodeError as error:
        raise HeaderError("a line of the head cannot be encoded") from error


def split_target(target: str) -> tuple[str, str]:
    """Return the path and the query string of a request target."""
    path, _, query = target.partition("?")
    return path, query


def query_value(query: str, name: str) -> str | None:
    """Return the first value of a query parameter, or None if it is missing."""
    for key, value in parse_qsl(query, keep_blank_values=True):
        if key == name:
            return value
    return None
