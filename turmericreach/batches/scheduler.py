"""Starts waiting items at engines."""

import asyncio

from turmericreach.batches.run import BatchRun
from turmericreach.placement import EngineState, plan_starts
from turmericreach.placement.engines import DEFAULT_EVENT_S
from turmericreach.services import Target, TargetDirectory

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

    def __init__(self, directory: TargetDirectory):
        self.directory = directory
        self.runs: dict[str, BatchRun] = {}
        self.division: dict[str, str] = {}
        self.wakeup = asyncio.Event()

    def wake(self) -> None:
        """Plan soon: an item waits, or an engine has become free."""
        self.wakeup.set()

    async def run(self) -> None:
        """Plan whenever something has changed, until cancelled."""
        while True:
            waiting = self.dispatch()
            self.wakeup.clear()
            if not waiting:
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
            for events in run.running_events(target.id):
                found.append(events * event_s)
        return found

    def dispatch(self) -> bool:
        """Start what can start and return whether items are left that wait."""
        now = asyncio.get_running_loop().time()
        left = False
        by_service: dict[str, list] = {}
        for run in self.runs.values():
            items = run.waiting_items(now)
            for item in items:
                service = run.route.services[0].service
                by_service.setdefault(service, []).append(item)
            left = left or any(state.phase == "waiting" for state in run.states.values())
        for service, items in by_service.items():
            targets = {target.id: target for target in self.directory.of_service(service)}
            engines = [
                engine_state(target, self.busy_s(target), now) for target in targets.values()
            ]
            for start in plan_starts(items, engines, self.division):
                self.runs[start.item.lot].begin(start.item.item, targets[start.engine])
        return left


def engine_state(target: Target, busy_s: list[float], now: float) -> EngineState:
    """Return a target as placement sees it.

    Parameters
    ----------
    busy_s : list of float
        Seconds until each of this process's requests there ends.
    """
    others = 0
    if target.load is not None and now - target.load.at < LOAD_FRESH_S:
        others = target.others
    return EngineState(
        id=target.id,
        slots=target.record.slots,
        busy_s=(*busy_s, *[OTHER_REQUEST_S] * others),
        versions=target.model_versions,
        event_s=target.latency_s,
        ready_in_s=max(target.loading_until - now, 0.0),
        suspect=target.is_suspect(now),
        groups=frozenset(target.groups),
    )
