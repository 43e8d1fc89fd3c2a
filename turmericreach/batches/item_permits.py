"""Permits to start items at engines that have named a limit."""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from turmericreach.placement import EngineState, WaitingItem
from turmericreach.services import TargetDirectory
from turmericreach.sharing import Permit, PermitSource, permit_interval_s
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ItemPermits"]

# A permit that no item has used for this long is dropped.
PERMIT_LIFETIME_S = 0.5


class ItemPermits:
    """Keeps one request for a permit in progress per service while items wait.

    Load pattern: a lot arrives whole, and its engines accept only a few items a second. A permit is
    requested only while items wait that no free slot without a limit can take.

    Attributes
    ----------
    held : dict of str to float
        Loop time in seconds until which a granted permit may be used, by engine id.
    requests : dict of str to asyncio.Task
        Requests in progress by service.
    """

    def __init__(
        self, directory: TargetDirectory, permits: PermitSource, on_granted: Callable[[], None]
    ):
        self.directory = directory
        self.permits = permits
        self.on_granted = on_granted
        self.held: dict[str, float] = {}
        self.requests: dict[str, asyncio.Task] = {}

    def with_permits(self, state: EngineState, now: float) -> EngineState:
        """Return the state of an engine with the starts that its limit permits."""
        per_s = self.directory.limits.per_s(state.id)
        if per_s is None:
            return state
        held = int(self.held.get(state.id, now) > now)
        return attrs.evolve(state, permits=held, permit_interval_s=permit_interval_s(per_s))

    def use(self, engine: str) -> None:
        """Use the permit for an engine, if it needs one."""
        self.held.pop(engine, None)

    def request(
        self,
        service: str,
        waiting: Sequence[WaitingItem],
        engines: Sequence[EngineState],
        priority: int,
    ) -> None:
        """Request a permit for one of the engines that could start a waiting item with one."""
        if service in self.requests:
            return
        now = asyncio.get_running_loop().time()
        denied = self.permits.denied_targets(0.0, now)
        wanted = []
        for engine in engines:
            if engine.permits != 0 or engine.id in denied or engine.ready_in_s > 0:
                continue
            if len(engine.busy_s) < engine.slots and any(engine.can_run(item) for item in waiting):
                wanted.append(engine.id)
        if not wanted:
            return
        task = asyncio.get_running_loop().create_task(self.acquire(wanted, priority))
        self.requests[service] = task
        task.add_done_callback(lambda done: self.finish(service, done))

    async def acquire(self, engines: list[str], priority: int) -> None:
        """Obtain a permit and keep it for the next planning."""
        result = await self.permits.acquire(engines, priority, 0.0)
        if isinstance(result, Permit):
            self.held[result.target] = asyncio.get_running_loop().time() + PERMIT_LIFETIME_S

    def finish(self, service: str, task: asyncio.Task) -> None:
        """Plan again after a request, and log its failure."""
        self.requests.pop(service, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_event(
                events.TASK_FAILED, task="item permits", error=f"{type(error).__name__}: {error}"
            )
        self.on_granted()
