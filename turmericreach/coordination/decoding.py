"""Decoding of messages of other processes."""

from typing import TypeVar

import msgspec

from turmericreach.platform.decoding import DecodeError

__all__ = ["decode_message"]

Message = TypeVar("Message")


def decode_message(body: bytes, type: type[Message]) -> Message:
    """Return the message of a type that a JSON body encodes.

    Raises
    ------
    DecodeError
        If the body is not such a message.
    """
    try:
        return msgspec.json.decode(body, type=type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(f"no {getattr(type, '__name__', 'message')}: {error}") from error
