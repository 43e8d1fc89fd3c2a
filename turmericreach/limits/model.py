"""Tickets and the answers to them."""

import enum

import attrs

from turmericreach.verdicts import ErrorCode

__all__ = ["AdmissionSnapshot", "Admitted", "Priority", "Queued", "Refused", "Ticket"]


class Priority(enum.StrEnum):
    """Priority classes, the first one first."""

    ORDINARY = "ordinary"
    SCORING = "scoring"
    ROLLOUT = "rollout"


@attrs.frozen
class Ticket:
    """One attempt that asks for a slot.

    Attributes
    ----------
    trainer : str
        Trainer whose share a rollout counts towards.
    site : str
        Site of an ordinary request, empty if unknown.
    expires_at : float
        Time in seconds from which the ticket must not start.
    cost : float
        Expected tokens.
    """

    id: str
    priority: Priority = attrs.field(converter=Priority)
    trainer: str = ""
    site: str = ""
    expires_at: float = float("inf")
    cost: float = 1.0


@attrs.frozen
class Admitted:
    """The ticket holds a slot and starts now."""


@attrs.frozen
class Queued:
    """The ticket waits; `ahead` tickets of its class were there before it."""

    ahead: int


@attrs.frozen
class Refused:
    """The ticket holds nothing and never starts."""

    code: ErrorCode
    retry_after_s: float


@attrs.frozen
class AdmissionSnapshot:
    """Numbers of one target for reports and status.

    Attributes
    ----------
    running, waiting, refused : dict of str to int
        Tickets by class; refused ones since the start.
    served : dict of str to float
        Tokens of started rollouts by trainer.
    """

    slots: int
    reserved: int
    rollout_limit: int
    leaving: bool
    running: dict[str, int]
    waiting: dict[str, int]
    refused: dict[str, int]
    served: dict[str, float]
