"""Decimal numbers in header fields, query strings and event streams of peers."""

__all__ = ["MAX_DIGITS", "read_number"]

# Longer numbers may not fit 64 bits.
MAX_DIGITS = 18


def read_number(text: str | None, max_digits: int = MAX_DIGITS) -> int | None:
    """Return a non-negative decimal number, None if it is missing, malformed or too long.

    `str.isdigit` alone is not enough: it accepts characters such as the superscript two, which
    `int` rejects, and digits of other scripts.
    """
    if text is None or not text.isascii() or not text.isdigit() or len(text) > max_digits:
        return None
    return int(text)
