"""The delivery cursor: an immutable bitmap over the samples of a lot."""

import base64
import binascii

import attrs

from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["Cursor"]


def refuse(message):
    """Return the error for a cursor that does not fit its lot."""
    return RequestError(ErrorCode.BAD_REQUEST, message)


@attrs.frozen
class Cursor:
    """The set of consumed samples of a lot, by ordinal.

    Parameters
    ----------
    size : int
        Number of samples in the lot.
    bits : int
        Bit ``n`` is set if the sample with ordinal ``n`` was consumed.

    Raises
    ------
    RequestError
        If a bit beyond `size` is set.
    """

    size: int
    bits: int = 0

    def __attrs_post_init__(self):
        if self.size < 0 or self.bits < 0 or self.bits >> self.size:
            raise refuse("the cursor names samples that the lot does not have")

    def add(self, *ordinals):
        """Return a cursor that also holds `ordinals`."""
        bits = self.bits
        for ordinal in ordinals:
            if not 0 <= ordinal < self.size:
                raise refuse(f"ordinal {ordinal} is outside the lot of {self.size} samples")
            bits |= 1 << ordinal
        return Cursor(self.size, bits)

    def contains(self, ordinal):
        """Return whether the sample with this ordinal was consumed."""
        return bool(self.bits >> ordinal & 1)

    def union(self, other):
        """Return the cursor of the samples that either cursor holds."""
        if other.size != self.size:
            raise refuse(f"the cursors cover {self.size} and {other.size} samples")
        return Cursor(self.size, self.bits | other.bits)

    def count(self):
        """Return the number of consumed samples."""
        return self.bits.bit_count()

    def encode(self):
        """Return the bitmap as base64 text, least significant byte first."""
        return base64.b64encode(self.bits.to_bytes((self.size + 7) // 8, "little")).decode()

    @classmethod
    def decode(cls, text, size):
        """Read a cursor from base64 text.

        Parameters
        ----------
        text : str
            Result of `encode`.
        size : int
            Number of samples in the lot.

        Raises
        ------
        RequestError
            With code ``bad_request`` if the text is malformed or belongs to a lot of another size.
        """
        try:
            raw = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError, TypeError) as error:
            raise refuse("the cursor is not base64 text") from error
        if len(raw) != (size + 7) // 8:
            raise refuse(f"the cursor has {len(raw)} bytes, the lot needs {(size + 7) // 8}")
        return cls(size, int.from_bytes(raw, "little"))
