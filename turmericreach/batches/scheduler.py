"""Scheduling of waiting items at engines."""

import asyncio
from collections.abc import Callable

import attrs

from turmericreach.batches.item_permits import ItemPermits
from turmericreach.batches.items import ItemState
from turmericreach.batches.run import BatchRun
from turmericreach.batches.split_routes import (
    ServiceGroup,
    allowed_services,
    group_by_service,
    serving_services,
)
from turmericreach.batches.wait_reports import WaitReports
from turmericreach.placement import (
    EngineState,
    ExpectedEnd,
    LeastSlack,
    PlacementPolicy,
    RunningItem,
    Start,
    WaitingItem,
    present_policy,
)
from turmericreach.placement.engines import DEFAULT_EVENT_S, restrict_versions
from turmericreach.services import Target, TargetDirectory, first_event_timeout_s
from turmericreach.sharing import PermitSource
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.versions.division import Division

__all__ = ["ItemScheduler"]

# Interval of planning while items wait, to find engines that become usable without an event.
SCHEDULE_INTERVAL_S = 0.1
# A use of engines that varies around its bound is logged once in this time.
ORDER_LOG_INTERVAL_S = 1.0
# The load that a target reports is used for this long.
LOAD_MAX_AGE_S = 0.5
# Expected remaining time of another process's request at a target.
OTHER_REQUEST_S = 0.5
# An engine is reserved at most for this long, so that it is not idle if the coordinator is lost or
# the items of its model need it no more.
RESERVED_S = 4.0
# Requests of other processes that count for each slot. More of them change no decision.
MAX_OTHERS_PER_SLOT = 4


class ItemScheduler:
    """Schedules the items of all lots that this process runs.

    Attributes
    ----------
    directory : TargetDirectory
        Known targets.
    policy : PlacementPolicy
        Decides which items start at which engine, and which move.
    item_permits : ItemPermits
        Permits to start items at engines that have named a limit.
    runs : dict of str to BatchRun
        Lots that run here, by id.
    division : dict of str to str
        Model that each engine serves, by engine id, as assigned by the coordinator.
    reserved : frozenset of str
        Engines at which only items of their model start, while other models wait for a turn.
    reserved_until : float
        Loop time in seconds until which they are.
    oversubscribed : frozenset of str
        Models whose groups are completed one after another, as last logged.
    order_logged_at : float
        Loop time in seconds at which a change of that was last logged.
    wakeup : asyncio.Event
        Set to plan without waiting for the next interval.
    wait_reports : WaitReports
        Logs why items wait that could run.
    start_allowance : callable or None
        Returns how many items may start, by the number of those that run and need a score; None
        for any number.
    """

    def __init__(
        self, directory: TargetDirectory, policy: PlacementPolicy | None, permits: PermitSource
    ):
        self.directory = directory
        self.policy = policy or ExpectedEnd()
        self.item_permits = ItemPermits(directory, permits, self.wake)
        self.runs: dict[str, BatchRun] = {}
        self.division: dict[str, str] = {}
        self.reserved: frozenset[str] = frozenset()
        self.reserved_until = 0.0
        self.oversubscribed: frozenset[str] = frozenset()
        self.order_logged_at = float("-inf")
        self.wakeup = asyncio.Event()
        self.wait_reports = WaitReports()
        self.start_allowance: Callable[[int], int | None] | None = None

    def wake(self) -> None:
        """Request planning soon, because an item waits or an engine has become free."""
        self.wakeup.set()

    def apply_division(self, division: Division) -> None:
        """Apply a new division of the engines, and plan again."""
        self.division = dict(division.engines)
        self.reserved = division.reserved
        self.reserved_until = asyncio.get_running_loop().time() + RESERVED_S
        self.wake()

    async def run(self) -> None:
        """Plan at each wakeup, and periodically while items are active, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.wakeup.clear()
            began = loop.time()
            active = self.dispatch()
            # Other work gets as much time as planning, however many engines and items there are.
            await asyncio.sleep(loop.time() - began)
            if not active:
                await self.wakeup.wait()
                continue
            try:
                async with asyncio.timeout(SCHEDULE_INTERVAL_S):
                    await self.wakeup.wait()
            except TimeoutError:
                continue

    def running_events(self) -> dict[str, list[float]]:
        """Return the expected remaining events of all items that run here, by target id."""
        found: dict[str, list[float]] = {}
        for run in self.runs.values():
            for target_id, remaining in run.items.running_events().items():
                found.setdefault(target_id, []).extend(remaining)
        return found

    def dispatch(self) -> bool:
        """Start and move items as planned; return whether any item waits or runs."""
        now = asyncio.get_running_loop().time()
        self.wait_reports.begin_planning(now)
        active = False
        for run in self.runs.values():
            if run.items.route() is None:
                run.abandon_unrouted(now)
                self.wait_reports.report_without_route(run, now)
                active = run.is_active() or active
        for group in group_by_service(self.runs.values()):
            active = self.dispatch_group(group, now) or active
        return active

    def dispatch_group(self, group: ServiceGroup, now: float) -> bool:
        """Start and move items of a group of lots; return whether any item waits or runs."""
        runs = group.runs
        targets = {
            target.id: target
            for service in sorted(group.services)
            for target in self.directory.accepting_targets(service)
        }
        waiting = [item for run in runs for item in self.waiting_items(run, group, targets, now)]
        if waiting:
            states = self.engines(targets, now)
            planned = self.policy.starts(waiting, states, self.division)
            starts = self.within_allowance(planned)
            self.log_order(waiting, states, now)
            for start in starts:
                self.item_permits.use(start.engine)
                self.runs[start.item.lot].start_item(start.item.item, targets[start.engine])
            if len(starts) < len(waiting):
                priority = min(item.priority for item in waiting)
                usable = restrict_versions(waiting, states, self.division)
                self.item_permits.request(group.name, waiting, usable, priority)
                self.report_waits(waiting, states, planned, now)
        running = []
        for run in runs:
            running += run.items.running_items(now, self.services_of(run, group))
        if running:
            for move in self.policy.moves(running, self.candidate_engines(targets, running, now)):
                self.runs[move.item.lot].move_item(move.item, targets[move.engine])
        return any(run.is_active() for run in runs)

    def services_of(self, run: BatchRun, group: ServiceGroup) -> frozenset[str] | None:
        """Return the services to which a lot's route leads, None if these are all of its group."""
        services = frozenset(run.items.route().route.active_services())
        return None if services == group.services else services

    def waiting_items(
        self, run: BatchRun, group: ServiceGroup, targets: dict[str, Target], now: float
    ) -> list[WaitingItem]:
        """Return the items of a lot that may start now, with the services that may run each."""
        if len(group.services) == 1:
            return run.waiting_items(now)
        route = run.items.route().route
        reached = frozenset(route.active_services())
        serving = reached & serving_services(run, targets.values(), now)

        def allowed(state: ItemState) -> frozenset[str]:
            return allowed_services(route, state.item.id, now - state.waiting_since, serving)

        return run.waiting_items(now, allowed)

    def report_waits(
        self,
        waiting: list[WaitingItem],
        states: list[EngineState],
        planned: list[Start],
        now: float,
    ) -> None:
        """Report items that have waited for long although an engine has a free slot."""
        held_back = {start.item.item for start in planned}
        by_lot: dict[str, list[WaitingItem]] = {}
        for item in waiting:
            by_lot.setdefault(item.lot, []).append(item)
        for lot, items in by_lot.items():
            run = self.runs[lot]
            self.wait_reports.report(run, items, states, self.division, held_back, now)

    def within_allowance(self, starts: list[Start]) -> list[Start]:
        """Return the starts without those of items that scorers could not keep up with."""
        if self.start_allowance is None:
            return starts
        running = sum(run.items.running_to_score() for run in self.runs.values())
        allowed = self.start_allowance(running)
        if allowed is None:
            return starts
        kept = []
        for start in starts:
            if self.runs[start.item.lot].items.states[start.item.item].item.scorer is not None:
                allowed -= 1
                if allowed < 0:
                    continue
            kept.append(start)
        return kept

    def log_order(self, waiting: list[WaitingItem], states: list[EngineState], now: float) -> None:
        """Log the models whose order of items has changed, with what the order depends on."""
        policy = present_policy(self.policy)
        if not isinstance(policy, LeastSlack):
            return
        oversubscribed = policy.oversubscribed_models()
        if (
            oversubscribed == self.oversubscribed
            or now < self.order_logged_at + ORDER_LOG_INTERVAL_S
        ):
            return
        self.order_logged_at = now
        for model in sorted(oversubscribed ^ self.oversubscribed):
            items = [item for item in waiting if item.model == model]
            log_event(
                events.ITEM_ORDER_CHANGED,
                model=model,
                order="groups" if model in oversubscribed else "slack",
                use=round(policy.use_by_model[model], 2),
                lots=len({item.lot for item in items}),
                items=len(items),
                waiting_events=round(sum(item.remaining_events for item in items), 1),
                due_in_s=round(max((item.due_in_s for item in items), default=0.0), 2),
                slots=sum(state.slots for state in states if state.versions.get(model, 0) > 0),
            )
        self.oversubscribed = oversubscribed

    def engines(self, targets: dict[str, Target], now: float) -> list[EngineState]:
        """Return the description of the targets for the placement policy."""
        running = self.running_events()
        found = []
        for target in targets.values():
            event_s = target.latency_s
            if self.policy.uses_lasting_speed:
                event_s = target.event_speed.lasting_s(now) or event_s
            left = running.get(target.id, [])
            busy_s = [events * (event_s or DEFAULT_EVENT_S) for events in left]
            state = engine_state(target, busy_s, now, event_s)
            if target.id in self.reserved and now < self.reserved_until:
                state = attrs.evolve(state, reserved=True)
            found.append(self.item_permits.with_permits(state, now))
        return found

    def candidate_engines(
        self, targets: dict[str, Target], running: list[RunningItem], now: float
    ) -> list[EngineState]:
        """Return the engines to which running items may move, and those at which they run.

        An engine that the coordinator has assigned to another model is left out.
        """
        models = {item.model for item in running}
        used = {item.engine for item in running}
        candidates = {
            target_id: target
            for target_id, target in targets.items()
            if self.division.get(target_id) in {None, *models} or target_id in used
        }
        found = self.engines(candidates, now)
        # An item may run at an engine that drains or that its route has left. It can move away, and
        # nothing moves there.
        left = {
            target_id: self.directory.targets[target_id]
            for target_id in used - targets.keys()
            if target_id in self.directory.targets
        }
        for state in self.engines(left, now):
            found.append(attrs.evolve(state, slots=0))
        return found


def engine_state(
    target: Target, busy_s: list[float], now: float, event_s: float | None = None
) -> EngineState:
    """Return the description of a target for the placement policy.

    Parameters
    ----------
    busy_s : list of float
        Expected remaining seconds of each of this process's requests at the target.
    event_s : float, optional
        Seconds per event, by default the moving average over a few events.
    """
    others = 0
    if target.load is not None and now - target.load.at < LOAD_MAX_AGE_S:
        others = min(target.other_requests, MAX_OTHERS_PER_SLOT * target.record.slots)
    return EngineState(
        id=target.id,
        slots=target.record.slots,
        busy_s=(*busy_s, *[OTHER_REQUEST_S] * others),
        versions=target.model_versions,
        event_s=target.latency_s if event_s is None else event_s,
        ready_in_s=max(target.loading_until - now, 0.0),
        suspected=target.is_suspected(now),
        first_event_timeout_s=first_event_timeout_s(target),
        groups=frozenset(target.groups),
        software=target.record.software,
        service=target.record.service,
    )
