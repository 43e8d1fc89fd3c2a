"""The verdict on whether a request ran at its target."""

import enum

__all__ = ["Verdict"]


class Verdict(enum.StrEnum):
    """Whether a request ran at its target.

    Only `NOT_RUN` allows a non-idempotent request to be sent again.
    """

    ANSWERED = "answered"
    """The target sent a complete response."""

    NOT_RUN = "not_run"
    """The request did not start and can no longer start."""

    MAY_HAVE_RUN = "may_have_run"
    """There is neither a complete response nor proof that the request did not run."""
