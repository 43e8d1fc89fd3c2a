"""Type-checked access to the fields of decoded JSON documents."""

from typing import Any

import msgspec

from turmericreach.verdicts import TurmericreachError

__all__ = ["DecodeError", "Fields", "check_value", "decode_json"]

# No document of the platform is nested nearly as deeply.
MAX_DEPTH = 32
# Integers that fit 64 bits, as those of the platform do.
MAX_INTEGER = (1 << 63) - 1


class DecodeError(TurmericreachError):
    """A document does not have the expected form; the message names the field."""


def decode_json(data: bytes) -> Any:
    """Return the value that JSON bytes encode.

    Raises
    ------
    DecodeError
        If the bytes are not valid JSON, are nested too deeply, or hold a number that is too large.
    """
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(f"no JSON: {error}") from error
    check_value(value)
    return value


def check_value(value: Any) -> None:
    """Check the depth of a decoded value and the size of its integers.

    Deeper values could be decoded here and fail to be encoded elsewhere, since the depth that the
    interpreter allows depends on the depth of its own stack.

    Raises
    ------
    DecodeError
        If the value is nested too deeply, or an integer does not fit 64 bits.
    """
    level, depth = [value], 0
    while level:
        depth += 1
        if depth > MAX_DEPTH:
            raise DecodeError(f"nested more than {MAX_DEPTH} levels deep")
        below: list[Any] = []
        for part in level:
            if type(part) is dict:
                below.extend(part.values())
            elif type(part) is list:
                below.extend(part)
            elif type(part) is int and abs(part) > MAX_INTEGER:
                raise DecodeError("an integer does not fit 64 bits")
        level = below


class Fields:
    """Fields of a JSON object.

    Attributes
    ----------
    value : dict
        The decoded object.
    path : str
        Path of the object in its document, for error messages; empty for the document itself.
    """

    def __init__(self, value: Any, path: str = ""):
        if not isinstance(value, dict):
            raise DecodeError(f"{path or 'document'}: expected an object")
        self.value = value
        self.path = path

    def field_path(self, key: str) -> str:
        """Return the path of a field, for error messages."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, types: type | tuple[type, ...], default: Any = ...) -> Any:
        """Return a field of one of the given types.

        Raises
        ------
        DecodeError
            If the field is missing or null without a default, or has another type.
        """
        value = self.value.get(key)
        if value is None:
            if default is ...:
                raise DecodeError(f"{self.field_path(key)}: missing")
            return default
        wrong_bool = isinstance(value, bool) and types is not bool
        if wrong_bool or not isinstance(value, types):
            raise DecodeError(f"{self.field_path(key)}: unexpected {type(value).__name__}")
        return value

    def text(self, key: str, default: Any = ...) -> str:
        """Return a field that is a string; defaults and errors as in `get`."""
        return self.get(key, str, default)

    def integer(self, key: str, default: Any = ...) -> int:
        """Return a field that is an integer; a float with an integral value is accepted."""
        value = self.get(key, (int, float), default)
        if isinstance(value, float):
            if not value.is_integer() or abs(value) > MAX_INTEGER:
                raise DecodeError(f"{self.field_path(key)}: expected an integer")
            return int(value)
        return value

    def number(self, key: str, default: Any = ...) -> float:
        """Return a field that is an integer or a float."""
        return self.get(key, (int, float), default)

    def boolean(self, key: str, default: Any = ...) -> bool:
        """Return a field that is a boolean."""
        return self.get(key, bool, default)

    def object(self, key: str, default: Any = ...) -> "Fields":
        """Return the fields of a nested object."""
        value = self.get(key, dict, default)
        return Fields(value, self.field_path(key))

    def list(self, key: str, default: Any = ...) -> list:
        """Return a field that is a list; its items are not checked."""
        return self.get(key, list, default)
