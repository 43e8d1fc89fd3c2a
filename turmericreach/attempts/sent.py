"""The address of an attempt that was sent."""

import attrs

__all__ = ["SentAttempt"]


@attrs.frozen
class SentAttempt:
    """Address of an attempt that was sent: what is needed to settle it.

    Attributes
    ----------
    deadline_ms : int
        Deadline on the agent's clock.
    """

    attempt_id: str
    target: str
    incarnation: int
    deadline_ms: int
