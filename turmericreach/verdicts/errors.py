"""Stable error codes and the base exception classes."""

import enum

from turmericreach.verdicts.verdict import Verdict

__all__ = ["ErrorCode", "RequestError", "TurmericreachError"]


class ErrorCode(enum.StrEnum):
    """Error codes that remain the same across releases, so that callers can rely on them."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CANCELLED = "cancelled"
    CIRCUIT_OPEN = "circuit_open"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CONFLICT = "conflict"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    FORBIDDEN = "forbidden"
    INTERNAL = "internal"
    LEAVING = "leaving"
    NO_TARGET = "no_target"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    REVOKED = "revoked"
    STALE_INCARNATION = "stale_incarnation"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_FAILED = "target_failed"
    TIMEOUT = "timeout"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_LABEL = "unknown_label"
    UNKNOWN_LOT = "unknown_lot"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TARGET = "unknown_target"
    UNKNOWN_VERSION = "unknown_version"


class TurmericreachError(Exception):
    """Base class of all exceptions raised by this package."""


class RequestError(TurmericreachError):
    """A request that ends with a stable error code.

    Parameters
    ----------
    code : ErrorCode
        Stable code for the caller.
    message : str
        Explanation for a human reader.
    status : int
        HTTP status of the response.
    verdict : Verdict
        Whether the request may have run at its target.
    retry_after_s : float or None
        Seconds after which a retry may succeed.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        status: int = 400,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.code = code
        self.message = message
        self.status = status
        self.verdict = verdict
        self.retry_after_s = retry_after_s
