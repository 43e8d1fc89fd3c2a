"""Raw parts of JSON documents, for documents of which one part cannot be decoded."""

import re
from collections.abc import Iterator

from turmericreach.platform.decoding import DecodeError, decode_json

__all__ = ["split_array", "split_object"]

# A whole string, or one of the characters that give a document its structure. Strings are matched
# so that brackets, commas and colons in them are skipped.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)
OPENING, CLOSING = frozenset(b"[{"), frozenset(b"]}")


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the encoded value of each member of a JSON object by its name.

    The values themselves need not be valid: unlike a decoder, this follows brackets and strings
    only, so that any depth and any bytes in a string are accepted.

    Raises
    ------
    DecodeError
        If the brackets do not match, or the document is no object.
    """
    members = {}
    for part in split(data, b"{"):
        colon = next((token for token in TOKEN.finditer(part) if token.group() == b":"), None)
        if colon is None:
            raise DecodeError("no JSON: a member without a value")
        name = decode_json(part[: colon.start()])
        if not isinstance(name, str):
            raise DecodeError("no JSON: a member without a name")
        members[name] = part[colon.end() :].strip()
    return members


def split_array(data: bytes) -> list[bytes]:
    """Return the encoded elements of a JSON array; errors as in `split_object`."""
    return [part.strip() for part in split(data, b"[")]


def split(data: bytes, bracket: bytes) -> Iterator[bytes]:
    """Yield the parts of a document between the outermost commas."""
    if not data.lstrip().startswith(bracket):
        raise DecodeError(f"no JSON: expected {bracket.decode()}")
    depth, start = 0, 0
    for token in TOKEN.finditer(data):
        first = data[token.start()]
        if first in OPENING:
            depth += 1
            if depth == 1:
                start = token.end()
        elif first in CLOSING:
            depth -= 1
            if depth == 0:
                if data[start : token.start()].strip():
                    yield data[start : token.start()]
                return
        elif first == ord(",") and depth == 1:
            yield data[start : token.start()]
            start = token.end()
    raise DecodeError("no JSON: the brackets do not match")
