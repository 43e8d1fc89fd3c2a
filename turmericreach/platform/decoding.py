"""Checked access to the fields of decoded documents."""

from typing import Any

import msgspec

from turmericreach.verdicts import TurmericreachError

__all__ = ["DecodeError", "Fields", "decode_json"]


class DecodeError(TurmericreachError):
    """A document that is not as agreed; the message names the field."""


def decode_json(data: bytes) -> Any:
    """Return the value of JSON bytes."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(f"no JSON: {error}") from error


class Fields:
    """Fields of a JSON object, with their path for messages."""

    def __init__(self, value: Any, path: str = ""):
        if not isinstance(value, dict):
            raise DecodeError(f"{path or 'document'}: expected an object")
        self.value = value
        self.path = path

    def place(self, key: str) -> str:
        """Return the path of a field."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, types: type | tuple[type, ...], default: Any = ...) -> Any:
        """Return a field of one of the given types.

        Raises
        ------
        DecodeError
            If it is missing with no default, or of another type.
        """
        value = self.value.get(key)
        if value is None:
            if default is ...:
                raise DecodeError(f"{self.place(key)}: missing")
            return default
        wrong_bool = isinstance(value, bool) and types is not bool
        if wrong_bool or not isinstance(value, types):
            raise DecodeError(f"{self.place(key)}: unexpected {type(value).__name__}")
        return value

    def text(self, key: str, default: Any = ...) -> str:
        """Return a text."""
        return self.get(key, str, default)

    def integer(self, key: str, default: Any = ...) -> int:
        """Return a whole number; one written with a fraction of zero counts."""
        value = self.get(key, (int, float), default)
        if isinstance(value, float):
            if not value.is_integer():
                raise DecodeError(f"{self.place(key)}: expected a whole number")
            return int(value)
        return value

    def number(self, key: str, default: Any = ...) -> float:
        """Return a number."""
        return self.get(key, (int, float), default)

    def boolean(self, key: str, default: Any = ...) -> bool:
        """Return true or false."""
        return self.get(key, bool, default)

    def object(self, key: str, default: Any = ...) -> "Fields":
        """Return an object."""
        value = self.get(key, dict, default)
        return Fields(value, self.place(key))

    def list(self, key: str, default: Any = ...) -> list:
        """Return a list."""
        return self.get(key, list, default)
