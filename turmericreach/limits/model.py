"""Admission tickets and decisions."""

import enum

import attrs

from turmericreach.verdicts import ErrorCode

__all__ = ["AdmissionSnapshot", "Admitted", "Priority", "Queued", "Refused", "Ticket"]


class Priority(enum.StrEnum):
    """Priority classes, highest first."""

    ORDINARY = "ordinary"
    SCORING = "scoring"
    ROLLOUT = "rollout"


@attrs.frozen
class Ticket:
    """Request of one attempt for a slot.

    Attributes
    ----------
    id : str
        Unique id of the attempt.
    priority : Priority
    trainer : str
        Trainer to whose share a rollout is charged.
    site : str
        Site of an ordinary request, empty if unknown.
    expires_at : float
        Time in seconds from which the ticket must not start.
    cost : float
        Expected number of tokens.
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
    """The ticket waits.

    Attributes
    ----------
    ahead : int
        Tickets of its class that were waiting before it.
    """

    ahead: int


@attrs.frozen
class Refused:
    """The ticket was rejected; it holds no slot and never starts.

    Attributes
    ----------
    code : ErrorCode
    retry_after_s : float
        Estimated seconds after which a new ticket may be accepted.
    """

    code: ErrorCode
    retry_after_s: float


@attrs.frozen
class AdmissionSnapshot:
    """State of one target's admission for reports and status.

    Attributes
    ----------
    slots : int
        Requests that may run at the same time.
    reserved : int
        Slots kept for ordinary requests.
    rollout_limit : int
        Rollouts that may run at the same time.
    leaving : bool
        Whether the target rejects all new tickets.
    running, waiting : dict of str to int
        Current number of tickets by class.
    refused : dict of str to int
        Number of tickets rejected since the start, by class.
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
