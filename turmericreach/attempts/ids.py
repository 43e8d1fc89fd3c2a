"""Identifiers of requests, attempts and processes."""

import secrets
import time
import uuid

__all__ = ["new_attempt_id", "new_incarnation", "new_request_id"]

RANDOM_BITS = 20


def new_request_id() -> str:
    """Return an id for a request that arrived without one."""
    return uuid.uuid4().hex


def new_attempt_id() -> str:
    """Return an id that no other attempt has."""
    return uuid.uuid4().hex


def new_incarnation() -> int:
    """Return the incarnation of a process that starts now.

    The start time in milliseconds stands in the high bits, so that a later process of the same
    host compares higher; random low bits tell apart two starts within one millisecond.
    """
    return (int(time.time() * 1000) << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
