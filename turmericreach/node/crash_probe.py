"""Detection of targets that ended while they served a request."""

import asyncio
from collections.abc import Callable

from turmericreach.http1 import ConnectFailed, ConnectionPool
from turmericreach.services import Target
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["CrashProbe"]


class CrashProbe:
    """Tells a target that has ended from a lost connection, by opening another connection.

    A host whose process has ended refuses connections at once. A target that works accepts them,
    and one that cannot be reached does not respond, so neither counts as ended.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to targets.
    on_crash : callable
        Called with the fingerprint of the request and the target that ended.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Probes in progress.
    """

    def __init__(self, pool: ConnectionPool, on_crash: Callable[[str, Target], None]):
        self.pool = pool
        self.on_crash = on_crash
        self.tasks: set[asyncio.Task] = set()

    def start(self, fingerprint: str, request_id: str, target: Target) -> None:
        """Probe a target that has lost the connection of a request."""
        task = asyncio.get_running_loop().create_task(self.run(fingerprint, request_id, target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, fingerprint: str, request_id: str, target: Target) -> None:
        """Open a connection to the target and report it if its host refuses."""
        try:
            connection = await self.pool.acquire(target.record.address, fresh=True)
        except ConnectFailed as error:
            if error.refused:
                log_event(
                    events.TARGET_CRASHED,
                    target=target.id,
                    service=target.record.service,
                    request=request_id,
                    fingerprint=fingerprint,
                )
                self.on_crash(fingerprint, target)
            return
        connection.close()
