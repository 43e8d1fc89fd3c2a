"""Messages between gateways about lots."""

import enum

import attrs

from turmericreach.verdicts import ErrorCode, RequestError, Verdict

__all__ = ["LotCall", "LotOperation", "LotReply"]


class LotOperation(enum.StrEnum):
    """What is asked of a lot's coordinator."""

    DECLARE = "declare"
    PULL = "pull"
    ACK = "ack"
    CANCEL = "cancel"
    STATUS = "status"
    LIST = "list"
    TAKE_OVER = "take_over"


@attrs.frozen
class LotCall:
    """A call to the coordinator of a lot.

    Attributes
    ----------
    body : bytes
        JSON body of the caller, or the samples of a hand-over.
    wait : float
        Seconds that a pull may wait.
    spec : bytes
        Lot spec of a hand-over.
    pending : bool
        Whether the lot of a hand-over is not stored in the platform yet.
    actor : str
        Who makes the call, for the audit trail.
    """

    operation: LotOperation
    lot: str = ""
    body: bytes = b""
    wait: float = 0.0
    spec: bytes = b""
    pending: bool = False
    actor: str = ""

    def wait_s(self) -> float:
        """Return the seconds that the call may wait."""
        return self.wait


@attrs.frozen
class LotReply:
    """Answer to a call: a JSON body, or an error."""

    body: bytes = b""
    code: str = ""
    message: str = ""
    status: int = 200
    verdict: Verdict = Verdict.ANSWERED
    retry_after_s: float | None = None

    @classmethod
    def from_error(cls, error: RequestError) -> "LotReply":
        """Return the reply that carries an error."""
        return cls(
            code=str(error.code),
            message=error.message,
            status=error.status,
            verdict=error.verdict,
            retry_after_s=error.retry_after_s,
        )

    def raise_error(self) -> None:
        """Raise the error that the reply carries, if any."""
        if not self.code:
            return
        raise RequestError(
            ErrorCode(self.code), self.message, self.status, self.verdict, self.retry_after_s
        )
