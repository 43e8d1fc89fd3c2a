"""Identifiers of requests, attempts and processes."""

import secrets
import time
import uuid

__all__ = ["new_attempt_id", "new_incarnation", "new_request_id"]

RANDOM_BITS = 20


def new_request_id() -> str:
    """Return a unique id for a request that arrived without one."""
    return uuid.uuid4().hex


def new_attempt_id() -> str:
    """Return a unique id for an attempt."""
    return uuid.uuid4().hex


def new_incarnation() -> int:
    """Return the incarnation number of a process that starts now.

    The high bits hold the start time in milliseconds, so that a later process on the same host has
    a higher number. The random low bits distinguish two starts within one millisecond.
    """
    return (int(time.time() * 1000) << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
