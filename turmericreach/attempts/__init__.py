"""Attempts: submitting a request to a target and establishing whether it ran."""

from turmericreach.attempts.claim_cleaner import ClaimCleaner, ClaimRecord
from turmericreach.attempts.claims import ClaimRegistry
from turmericreach.attempts.fingerprint import attempt_fingerprint
from turmericreach.attempts.ids import new_attempt_id, new_incarnation, new_request_id
from turmericreach.attempts.request import CallerRequest
from turmericreach.attempts.runner import AttemptObserver, Peers, RequestRunner, Router
from turmericreach.attempts.sent import SentAttempt, settle_attempt
from turmericreach.attempts.stream import CallerStream
from turmericreach.attempts.table import (
    MAX_DEADLINE_S,
    AttemptEntry,
    AttemptState,
    AttemptTable,
    DuplicateAttempt,
)

__all__ = [
    "MAX_DEADLINE_S",
    "AttemptEntry",
    "AttemptObserver",
    "AttemptState",
    "AttemptTable",
    "CallerRequest",
    "CallerStream",
    "ClaimCleaner",
    "ClaimRegistry",
    "ClaimRecord",
    "DuplicateAttempt",
    "Peers",
    "RequestRunner",
    "Router",
    "SentAttempt",
    "attempt_fingerprint",
    "new_attempt_id",
    "new_incarnation",
    "new_request_id",
    "settle_attempt",
]
