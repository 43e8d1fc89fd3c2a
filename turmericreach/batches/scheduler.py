"""Starts waiting items at engines."""

import asyncio

from turmericreach.batches.run import BatchRun
from turmericreach.placement import EngineState, ExpectedEnd, PlacementPolicy, RunningItem
from turmericreach.placement.engines import DEFAULT_EVENT_S
from turmericreach.services import Target, TargetDirectory, first_event_timeout_s

__all__ = ["ItemScheduler"]

# While items wait, so that engines that become usable without notice are found.
TICK_S = 0.1
# Load told by a target counts for this long.
LOAD_FRESH_S = 0.5
# Expected time left of another process's request at a target.
OTHER_REQUEST_S = 0.5


class ItemScheduler:
    """Plans the starts of all lots that this process runs.

    Attributes
    ----------
    runs : dict of str to BatchRun
        Lots that are run here.
    division : dict of str to str
        Model that each engine serves, as the coordinator divides them.
    """

    def __init__(self, directory: TargetDirectory, policy: PlacementPolicy | None = None):
        self.directory = directory
        self.policy = policy or ExpectedEnd()
        self.runs: dict[str, BatchRun] = {}
        self.division: dict[str, str] = {}
        self.wakeup = asyncio.Event()

    def wake(self) -> None:
        """Plan soon: an item waits, or an engine has become free."""
        self.wakeup.set()

    async def run(self) -> None:
        """Plan whenever something has changed, until cancelled."""
        while True:
            active = self.dispatch()
            self.wakeup.clear()
            if not active:
                await self.wakeup.wait()
                continue
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wakeup.wait()
            except TimeoutError:
                continue

    def busy_s(self, target: Target) -> list[float]:
        """Return the seconds until each item that this process runs at a target ends."""
        event_s = target.latency_s or DEFAULT_EVENT_S
        found = []
        for run in self.runs.values():
            for events in run.items.running_events(target.id):
                found.append(events * event_s)
        return found

    def dispatch(self) -> bool:
        """Start and move what should be; return whether items wait or run."""
        now = asyncio.get_running_loop().time()
        services: dict[str, list[BatchRun]] = {}
        for run in self.runs.values():
            services.setdefault(run.route.services[0].service, []).append(run)
        active = False
        for service, runs in services.items():
            active = self.dispatch_service(service, runs, now) or active
        return active

    def dispatch_service(self, service: str, runs: list[BatchRun], now: float) -> bool:
        """Start and move the items of the lots of a service; return whether there are any."""
        targets = {target.id: target for target in self.directory.accepting_targets(service)}
        waiting = [item for run in runs for item in run.waiting_items(now)]
        if waiting:
            for start in self.policy.starts(waiting, self.engines(targets, now), self.division):
                self.runs[start.item.lot].begin(start.item.item, targets[start.engine])
        running = [item for run in runs for item in run.items.running_items(now)]
        if running:
            for move in self.policy.moves(running, self.own_engines(targets, running, now)):
                self.runs[move.item.lot].move(move.item, targets[move.engine])
        return any(run.is_active() for run in runs)

    def engines(self, targets: dict[str, Target], now: float) -> list[EngineState]:
        """Return the targets as placement sees them."""
        return [engine_state(target, self.busy_s(target), now) for target in targets.values()]

    def own_engines(
        self, targets: dict[str, Target], running: list[RunningItem], now: float
    ) -> list[EngineState]:
        """Return the targets that serve the models of the running items."""
        models = {item.model for item in running}
        own = {
            target_id: target
            for target_id, target in targets.items()
            if self.division.get(target_id) in {None, *models}
            or any(item.engine == target_id for item in running)
        }
        return self.engines(own, now)


def engine_state(target: Target, busy_s: list[float], now: float) -> EngineState:
    """Return a target as placement sees it.

    Parameters
    ----------
    busy_s : list of float
        Seconds until each of this process's requests there ends.
    """
    others = 0
    if target.load is not None and now - target.load.at < LOAD_FRESH_S:
        others = target.other_requests
    return EngineState(
        id=target.id,
        slots=target.record.slots,
        busy_s=(*busy_s, *[OTHER_REQUEST_S] * others),
        versions=target.model_versions,
        event_s=target.latency_s,
        ready_in_s=max(target.loading_until - now, 0.0),
        suspected=target.is_suspected(now),
        first_event_timeout_s=first_event_timeout_s(target),
        groups=frozenset(target.groups),
    )
