"""The delivery cursor: an immutable bitmap of the consumed samples of a lot."""

import base64
import binascii

import attrs

from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["Cursor"]


def cursor_error(message):
    """Return the error for a cursor that is malformed or does not match its lot."""
    return RequestError(ErrorCode.BAD_REQUEST, message)


@attrs.frozen
class Cursor:
    """The set of consumed samples of a lot, identified by ordinal.

    Parameters
    ----------
    size : int
        Number of samples in the lot.
    bits : int
        Bit ``n`` is set if the sample with ordinal ``n`` was consumed.

    Raises
    ------
    RequestError
        If `size` or `bits` is negative, or a bit at or above `size` is set.
    """

    size: int
    bits: int = 0

    def __attrs_post_init__(self):
        if self.size < 0 or self.bits < 0 or self.bits >> self.size:
            raise cursor_error("the cursor contains samples that are not in the lot")

    def add(self, *ordinals):
        """Return a cursor that also contains `ordinals`."""
        bits = self.bits
        for ordinal in ordinals:
            if not 0 <= ordinal < self.size:
                raise cursor_error(
                    f"ordinal {ordinal} is out of range for a lot of {self.size} samples"
                )
            bits |= 1 << ordinal
        return Cursor(self.size, bits)

    def contains(self, ordinal):
        """Return whether the sample with this ordinal was consumed."""
        return bool(self.bits >> ordinal & 1)

    def union(self, other):
        """Return a cursor of the samples that are in either cursor."""
        if other.size != self.size:
            raise cursor_error(f"the cursors cover {self.size} and {other.size} samples")
        return Cursor(self.size, self.bits | other.bits)

    def count(self):
        """Return the number of consumed samples."""
        return self.bits.bit_count()

    def encode(self):
        """Return the bitmap as base64 text with the least significant byte first."""
        return base64.b64encode(self.bits.to_bytes((self.size + 7) // 8, "little")).decode()

    @classmethod
    def decode(cls, text, size):
        """Decode a cursor from base64 text.

        Parameters
        ----------
        text : str
            Result of `encode`.
        size : int
            Number of samples in the lot.

        Raises
        ------
        RequestError
            With code ``bad_request`` if the text is malformed or its length does not match `size`.
        """
        try:
            raw = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError, TypeError) as error:
            raise cursor_error("the cursor is not valid base64 text") from error
        if len(raw) != (size + 7) // 8:
            raise cursor_error(
                f"the cursor has {len(raw)} bytes; this lot requires {(size + 7) // 8}"
            )
        return cls(size, int.from_bytes(raw, "little"))
