"""Log entries of errors that nobody expected."""

import asyncio
import traceback
from pathlib import PurePath
from typing import Any

from turmericreach.telemetry.log import log_event
from turmericreach.telemetry.node_events import UNEXPECTED_ERROR

__all__ = ["log_loop_error", "log_unexpected"]

# Innermost stack frames that a log entry names.
MAX_FRAMES = 3


def log_unexpected(part: str, subject: str, error: BaseException) -> None:
    """Log and count an unexpected error that has ended one piece of work.

    Parameters
    ----------
    part : str
        Part of the process, one of a few fixed texts; it labels the metric.
    subject : str
        What was ended: the id of an item, the name of an object, the address of a peer.
    error : BaseException
        The error.
    """
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    places = [f"{PurePath(frame.filename).name}:{frame.lineno}" for frame in frames]
    log_event(
        UNEXPECTED_ERROR,
        part=part,
        subject=subject,
        error=f"{type(error).__name__}: {error}",
        at=" ".join(places),
    )


def log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error of a callback, a connection or a task that nothing else has handled.

    This is an exception handler of an event loop. asyncio closes the connection whose protocol
    raises an error.
    """
    error = context.get("exception") or RuntimeError(context["message"])
    if isinstance(error, OSError):
        # The connection reports its own loss.
        return
    log_unexpected("event loop", context["message"], error)
