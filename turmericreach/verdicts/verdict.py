"""The verdict on whether a request may have run at its target."""

import enum

__all__ = ["Verdict"]


class Verdict(enum.StrEnum):
    """Whether a request ran at its target.

    Only `NOT_RUN` allows a non-idempotent request to be sent again.
    """

    ANSWERED = "answered"
    """The target gave a complete answer."""

    NOT_RUN = "not_run"
    """The request did not start and can no longer start."""

    MAY_HAVE_RUN = "may_have_run"
    """Neither an answer nor a proof of non-execution is available."""
