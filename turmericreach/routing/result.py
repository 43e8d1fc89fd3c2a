"""Classification of attempt outcomes for circuit breakers and retry budgets."""

import enum

from turmericreach.routing.budget import RetryCause
from turmericreach.verdicts import ErrorCode, Verdict

__all__ = ["AttemptResult", "classify", "retry_cause"]

OVERLOAD_STATUSES = (429, 503)


class AttemptResult(enum.StrEnum):
    """Result of an attempt as evidence about its target."""

    SUCCESS = "success"
    OVERLOADED = "overloaded"
    NEUTRAL = "neutral"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"

    @property
    def is_failure(self):
        """Whether the result counts as a failure of the target."""
        return self in FAILURES


FAILURES = frozenset(
    [
        AttemptResult.NOT_SENT,
        AttemptResult.REFUSED,
        AttemptResult.FAILED,
        AttemptResult.TIMED_OUT,
    ]
)

# These errors are caused by the caller, the platform or a planned stop, not by a faulty target.
NEUTRAL_CODES = frozenset(
    [
        ErrorCode.BAD_REQUEST,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.CANCELLED,
        ErrorCode.CLAIM_UNAVAILABLE,
        ErrorCode.CONFLICT,
        ErrorCode.FORBIDDEN,
        ErrorCode.LEAVING,
        ErrorCode.PLATFORM_UNAVAILABLE,
        ErrorCode.REVOKED,
        ErrorCode.UNAUTHORIZED,
    ]
)


def classify(outcome):
    """Classify an `Outcome` as evidence about its target.

    Returns
    -------
    AttemptResult
    """
    if outcome.code in NEUTRAL_CODES:
        return AttemptResult.NEUTRAL
    if outcome.code == ErrorCode.OVERLOADED or outcome.status in OVERLOAD_STATUSES:
        return AttemptResult.OVERLOADED
    if outcome.verdict is Verdict.ANSWERED:
        return AttemptResult.FAILED if outcome.status >= 500 else AttemptResult.SUCCESS
    if outcome.verdict is Verdict.NOT_RUN:
        return classify_not_run(outcome)
    if outcome.code in (ErrorCode.TIMEOUT, ErrorCode.DEADLINE_EXCEEDED):
        return AttemptResult.TIMED_OUT
    return AttemptResult.FAILED


def classify_not_run(outcome):
    """Classify the outcome of an attempt that is known not to have run."""
    if outcome.code == ErrorCode.TARGET_UNREACHABLE:
        return AttemptResult.NOT_SENT
    if outcome.code == ErrorCode.DEADLINE_EXCEEDED:
        return AttemptResult.NEUTRAL
    return AttemptResult.REFUSED


def retry_cause(outcome):
    """Return the `RetryCause` whose budget covers a retry after this outcome."""
    result = classify(outcome)
    if result is AttemptResult.OVERLOADED:
        return RetryCause.OVERLOADED
    if outcome.verdict is not Verdict.NOT_RUN:
        return RetryCause.UNKNOWN
    if result is AttemptResult.NOT_SENT:
        return RetryCause.NOT_SENT
    return RetryCause.REFUSED
