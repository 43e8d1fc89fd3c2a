"""Messages between gateways that carry operations on lots."""

import enum

import attrs

from turmericreach.verdicts import ErrorCode, RequestError, Verdict

__all__ = ["LotCall", "LotOperation", "LotReply"]


class LotOperation(enum.StrEnum):
    """Operation requested from the coordinator of a lot."""

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
    operation : LotOperation
        Operation to perform.
    lot : str
        Name of the lot, empty for a list of all lots.
    body : bytes
        JSON body of the caller's request; for a handover, the encoded finished samples.
    wait : float
        Seconds that a pull may wait for samples.
    spec : bytes
        Encoded lot spec, only for a handover.
    pending : bool
        Whether the lot is not stored in the platform yet, only for a handover.
    cancelled : bool
        Whether the lot was cancelled, only for a handover.
    actor : str
        Name of the caller for the audit trail, empty for the trainer of the lot.
    """

    operation: LotOperation
    lot: str = ""
    body: bytes = b""
    wait: float = 0.0
    spec: bytes = b""
    pending: bool = False
    cancelled: bool = False
    actor: str = ""

    def wait_s(self) -> float:
        """Return the time in seconds that the call may wait for samples."""
        return self.wait


@attrs.frozen
class LotReply:
    """Reply to a call: a JSON body or an error.

    Attributes
    ----------
    body : bytes
        JSON body, empty for an error.
    code : str
        Error code, empty if there is no error.
    message : str
        Description of the error.
    status : int
        HTTP status.
    verdict : Verdict
        Whether the call ran.
    retry_after_s : float or None
        Time in seconds after which the caller may retry, None if not given.
    """

    body: bytes = b""
    code: str = ""
    message: str = ""
    status: int = 200
    verdict: Verdict = Verdict.ANSWERED
    retry_after_s: float | None = None

    @classmethod
    def from_error(cls, error: RequestError) -> "LotReply":
        """Build the reply that carries an error."""
        return cls(
            code=str(error.code),
            message=error.message,
            status=error.status,
            verdict=error.verdict,
            retry_after_s=error.retry_after_s,
        )

    def raise_error(self) -> None:
        """Raise the error that the reply carries, if any, as a `RequestError`."""
        if not self.code:
            return
        raise RequestError(
            ErrorCode(self.code), self.message, self.status, self.verdict, self.retry_after_s
        )
