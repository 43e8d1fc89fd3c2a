"""Exceptions of the object API."""

from turmericreach.verdicts import TurmericreachError

__all__ = [
    "Conflict",
    "ObjectStoreError",
    "RateLimited",
    "ResultUnknown",
    "Unavailable",
    "ValueTooLarge",
    "WatchExpired",
]


class ObjectStoreError(TurmericreachError):
    """Base class of the errors; after any of them but `ResultUnknown` the call had no effect."""


class Conflict(ObjectStoreError):
    """The condition of a write does not hold."""


class Unavailable(ObjectStoreError):
    """The object API is unavailable; the call had no effect and a later one may succeed."""


class RateLimited(Unavailable):
    """Too many calls; the call had no effect.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which a retry may succeed.
    """

    def __init__(self, retry_after_s: float):
        super().__init__(f"rate limited, retry after {retry_after_s:g} s")
        self.retry_after_s = retry_after_s


class ResultUnknown(ObjectStoreError):
    """The write may have taken effect, now or later."""


class ValueTooLarge(ObjectStoreError):
    """The value exceeds the size limit of the object API."""


class WatchExpired(ObjectStoreError):
    """The revision is too old to watch from; the caller has to list again."""
