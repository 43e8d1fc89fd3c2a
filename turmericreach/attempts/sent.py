"""Address and settlement of attempts that were sent."""

import attrs

from turmericreach.rpc import PeerClient
from turmericreach.verdicts import Outcome

__all__ = ["SentAttempt", "settle_attempt"]

SETTLE_TIMEOUT_S = 2.0


@attrs.frozen
class SentAttempt:
    """Address of an attempt, which holds what is needed to settle it.

    Attributes
    ----------
    attempt_id : str
        Identifies the attempt.
    target : str
        Target whose agent received the attempt.
    incarnation : int
        Incarnation of the agent process that the attempt was sent to.
    deadline_ms : int
        Deadline on the agent's clock, in milliseconds.
    """

    attempt_id: str
    target: str
    incarnation: int
    deadline_ms: int


async def settle_attempt(client: PeerClient, sent: SentAttempt, wait_s: float) -> Outcome:
    """Ask the agent of an attempt for its outcome.

    Parameters
    ----------
    client : PeerClient
        Connection to the agent of the attempt's target.
    sent : SentAttempt
        The attempt.
    wait_s : float
        Seconds that the agent may wait for the end of an attempt that has started.

    Raises
    ------
    PeerError
        If the agent does not respond.
    """
    return await client.settle(
        sent.attempt_id,
        sent.incarnation,
        sent.deadline_ms,
        wait_s,
        wait_s + SETTLE_TIMEOUT_S,
    )
