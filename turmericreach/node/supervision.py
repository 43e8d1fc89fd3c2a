"""Background tasks that are restarted after a failure."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["TaskSupervisor"]

RESTART_PAUSE_S = 0.2


class TaskSupervisor:
    """Runs coroutine functions as tasks until stopped, and restarts those that fail.

    Unlike in an `asyncio.TaskGroup`, the failure of a task does not affect the others.
    """

    def __init__(self):
        self.tasks: list[asyncio.Task] = []

    def start(self, name: str, function: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a function as a supervised task; its name is logged with failures."""
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self.keep_running(name, function)))

    async def keep_running(
        self, name: str, function: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a function until it returns, again after each exception."""
        while True:
            try:
                await function()
                return
            except Exception as error:
                log_event(events.TASK_FAILED, task=name, error=f"{type(error).__name__}: {error}")
                await asyncio.sleep(RESTART_PAUSE_S)

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
