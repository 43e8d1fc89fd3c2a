"""The ready check, by which the platform decides which processes get callers."""

import asyncio
from collections.abc import Callable

from turmericreach.http1 import Request, Responder
from turmericreach.platform.names import READY_PATH
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ReadyCheck"]


class ReadyCheck:
    """Answers whether callers should use this process, and logs each change of that.

    Parameters
    ----------
    not_ready_reason : callable
        Returns why callers should not use this process, or an empty string if they should.
    configuration_version : callable
        Returns the version of the configuration in force.

    Attributes
    ----------
    started_at : float
        Loop time in seconds at which the process started.
    was_ready : bool
        Result of the last check.
    """

    def __init__(
        self, not_ready_reason: Callable[[], str], configuration_version: Callable[[], int]
    ):
        self.not_ready_reason = not_ready_reason
        self.configuration_version = configuration_version
        self.started_at = 0.0
        self.was_ready = False

    def is_ready(self) -> bool:
        """Return whether callers should use this process."""
        reason = self.not_ready_reason()
        if reason and self.was_ready:
            log_event(events.NODE_NOT_READY, reason=reason)
        if not reason and not self.was_ready:
            seconds = asyncio.get_running_loop().time() - self.started_at
            log_event(events.NODE_READY, seconds=seconds, version=self.configuration_version())
        self.was_ready = not reason
        return self.was_ready

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve the ready check."""
        if request.path != READY_PATH:
            responder.send(404)
            return
        responder.send(200 if self.is_ready() else 503)
