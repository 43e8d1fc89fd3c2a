"""Attempts: running a request at a target and establishing whether it ran."""

from turmericreach.attempts.claims import ClaimKeeper, ClaimRecord
from turmericreach.attempts.ids import new_attempt_id, new_incarnation, new_request_id
from turmericreach.attempts.request import CallerRequest
from turmericreach.attempts.runner import RequestRunner, Router
from turmericreach.attempts.table import AttemptEntry, AttemptState, AttemptTable, DuplicateAttempt

__all__ = [
    "AttemptEntry",
    "AttemptState",
    "AttemptTable",
    "CallerRequest",
    "ClaimKeeper",
    "ClaimRecord",
    "DuplicateAttempt",
    "RequestRunner",
    "Router",
    "new_attempt_id",
    "new_incarnation",
    "new_request_id",
]
