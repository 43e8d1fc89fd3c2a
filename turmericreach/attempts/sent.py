"""The address of an attempt that was sent."""

import attrs

from turmericreach.rpc import PeerClient
from turmericreach.verdicts import Outcome

__all__ = ["SentAttempt", "settle_attempt"]

SETTLE_TIMEOUT_S = 2.0


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


async def settle_attempt(client: PeerClient, sent: SentAttempt, wait_s: float) -> Outcome:
    """Ask the agent of an attempt what became of it.

    Parameters
    ----------
    wait_s : float
        Seconds that the agent may wait for an attempt that has started.

    Raises
    ------
    PeerError
        If the agent does not answer.
    """
    return await client.settle(
        sent.attempt_id,
        sent.incarnation,
        sent.deadline_ms,
        wait_s,
        wait_s + SETTLE_TIMEOUT_S,
    )
