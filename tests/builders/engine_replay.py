"""Replay of lots against model engines, with the placement decisions of the product.

Time advances in steps without a loop or a clock, so that minutes of load take seconds. All random
numbers come from a seed.
"""

import math
import random

import attrs

from tests.builders.item_tables import fixed_table
from turmericreach.batches.items import ItemPhase, ItemState, ItemTable
from turmericreach.batches.model import BatchItem, BatchSpec
from turmericreach.placement import EngineState, ExpectedEnd
from turmericreach.services import Route, RouteKind
from turmericreach.services.configuration import WeightedService
from turmericreach.services.event_speed import EventSpeed

__all__ = ["EngineModel", "LotPlan", "Replay", "make_lots"]

STEP_S = 0.05
TRAINING_S = 0.5
PREFILL_TOKENS_PER_S = 409_000.0
TOKENS_PER_EVENT = 57
LIFETIME_S = 12.0
DUE_S = 7.5
LATENCY_SMOOTHING = 0.3
# Largest relative deviation of the time of one event.
JITTER = 0.3


@attrs.define(eq=False)
class EngineModel:
    """An engine that generates events at a constant rate for each request.

    Attributes
    ----------
    name : str
        Id of the engine.
    event_s : float
        Seconds per event.
    slots : int
        Number of requests processed concurrently.
    down : list of tuple of float
        Begin and end of the times at which the engine is lost, in seconds.
    slow : list of tuple of float
        Begin, end and factor of the times at which the engine is slower.
    measured_s : float
        Moving average of the seconds per event, 0 before the first event.
    speed : EventSpeed
        Lasting seconds per event.
    cached : set of str
        Groups whose prompt the engine has read.
    """

    name: str
    event_s: float
    slots: int = 6
    down: list[tuple[float, float]] = attrs.field(factory=list)
    slow: list[tuple[float, float, float]] = attrs.field(factory=list)
    measured_s: float = 0.0
    speed: EventSpeed = attrs.field(factory=EventSpeed)
    cached: set[str] = attrs.field(factory=set)

    def is_down(self, now: float) -> bool:
        """Return whether the engine is lost."""
        return any(begin <= now < end for begin, end in self.down)

    def current_event_s(self, now: float) -> float:
        """Return the present seconds per event."""
        factor = 1.0
        for begin, end, slower in self.slow:
            if begin <= now < end:
                factor *= slower
        return self.event_s * factor


@attrs.frozen
class LotPlan:
    """A lot of the replayed load.

    Attributes
    ----------
    at_s : float
        Time of its submission in seconds.
    spec : BatchSpec
        The lot.
    events : dict of str to int
        True number of events by item.
    prompt_tokens : int
        Length of the prompt that the items of a group share.
    target_groups : int
        Number of complete groups for which the trainer waits.
    """

    at_s: float
    spec: BatchSpec
    events: dict[str, int]
    prompt_tokens: int
    target_groups: int


def make_lots(
    seed: int,
    steps: int,
    groups: int,
    items: int = 8,
    mean_events: float = 26.0,
    prompt_tokens: int = 1000,
    interval_s: float = 4.0,
    trainers: int = 1,
) -> list[LotPlan]:
    """Return lots of several trainers, one step of each every interval."""
    rng = random.Random(seed)
    plans = []
    for step in range(steps):
        for trainer in range(trainers):
            batch, events = [], {}
            for group in range(groups):
                for number in range(items):
                    name = f"t{trainer}s{step}g{group}i{number}"
                    length = max(2, round(mean_events * rng.lognormvariate(-0.1, 0.45)))
                    events[name] = length
                    hint = length * TOKENS_PER_EVENT * rng.lognormvariate(0.0, 0.4)
                    tokens = 4 * prompt_tokens + 10 * round(hint)
                    group_name = f"t{trainer}s{step}g{group}"
                    batch.append(
                        BatchItem(name, "/x", [], b"", tokens, group_name, hint, scorer=None)
                    )
            target = math.ceil(0.9 * groups)
            lot = f"t{trainer}s{step}"
            spec = BatchSpec(lot, "h", "/x", step, "m", 1, tuple(batch))
            plans.append(LotPlan(step * interval_s, spec, events, prompt_tokens, target))
    return plans


@attrs.define
class Replay:
    """Runs lots at engines and records what trainers and engines see.

    Attributes
    ----------
    engines : list of EngineModel
        The engines.
    plans : list of LotPlan
        The lots, by the time of their submission.
    policy : PlacementPolicy
        Decides where items start and move.
    ended_s : dict of str to float
        Seconds from the submission until the trainer has the groups that it waits for, by lot.
    complete_groups : dict of str to int
        Number of complete groups by lot at the end of the lot.
    due_groups : dict of str to int
        The same at the end of the lot or when it was due, whichever came first.
    starts, moves : int
        Number of runs started, and of runs that were moved.
    first_tokens, repeated_tokens : int
        Prompt tokens of groups read for the first time, and read again.
    first_event_s : float
        Seconds from the start of a run until the engine begins to read its text.
    """

    engines: list[EngineModel]
    plans: list[LotPlan]
    policy: ExpectedEnd = attrs.field(factory=ExpectedEnd)
    ended_s: dict[str, float] = attrs.field(factory=dict)
    complete_groups: dict[str, int] = attrs.field(factory=dict)
    due_groups: dict[str, int] = attrs.field(factory=dict)
    starts: int = 0
    moves: int = 0
    first_tokens: int = 0
    repeated_tokens: int = 0
    first_event_s: float = 0.01
    now: float = 0.0
    ended_at: dict[str, float] = attrs.field(factory=dict)
    tables: dict[str, ItemTable] = attrs.field(factory=dict)
    generated: dict[str, float] = attrs.field(factory=dict)
    read_groups: set[str] = attrs.field(factory=set)
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))

    def run(self, limit_s: float = 300.0) -> "Replay":
        """Replay until all lots have ended and return this object."""
        pending = sorted(self.plans, key=lambda plan: plan.at_s)
        by_lot = {plan.spec.id: plan for plan in pending}
        while (pending or self.tables) and self.now < limit_s:
            for plan in [plan for plan in pending if self.may_submit(plan)]:
                pending.remove(plan)
                services = (WeightedService("engines", 1.0),)
                route = Route("r", "h", "/x", RouteKind.BATCH, services, due_s=DUE_S)
                route = attrs.evolve(route, item_lifetime_s=LIFETIME_S)
                table = fixed_table(plan.spec, route, self.now, float(TOKENS_PER_EVENT))
                self.tables[plan.spec.id] = table
            self.advance(by_lot)
            self.place(by_lot)
            self.now += STEP_S
        return self

    def may_submit(self, plan: LotPlan) -> bool:
        """Return whether a trainer submits a lot: at its time, after it has trained on the last."""
        if plan.at_s > self.now:
            return False
        former = plan.spec.id.replace(f"s{plan.spec.step}", f"s{plan.spec.step - 1}")
        if former not in self.ended_at:
            return plan.spec.step == 0
        return self.now >= self.ended_at[former] + TRAINING_S

    def advance(self, by_lot: dict[str, LotPlan]) -> None:
        """Generate events for one step, and end the lots that are complete or out of time."""
        engines = {engine.name: engine for engine in self.engines}
        for lot, table in list(self.tables.items()):
            plan = by_lot[lot]
            for state in table.states.values():
                if state.phase is ItemPhase.RUNNING:
                    self.advance_item(state, plan, engines[state.target])
            self.end_lot(lot, table, plan.target_groups)

    def advance_item(self, state: ItemState, plan: LotPlan, engine: EngineModel) -> None:
        """Generate the events of one step for an item."""
        name = state.item.id
        if engine.is_down(self.now):
            state.phase = ItemPhase.WAITING
            state.refused_by[engine.name] = self.now + 2.0
            return
        event_s = engine.current_event_s(self.now)
        self.generated[name] = self.generated.get(name, 0.0) + STEP_S / event_s
        whole = int(min(self.generated[name], plan.events[name]))
        if whole > len(state.progress.events):
            measured_s = event_s * (1.0 + JITTER * (2.0 * self.rng.random() - 1.0))
            engine.measured_s += LATENCY_SMOOTHING * (measured_s - engine.measured_s)
            engine.speed.record(measured_s, self.now)
        state.progress.events.extend([""] * (whole - len(state.progress.events)))
        if whole >= plan.events[name]:
            state.phase = ItemPhase.LISTED

    def end_lot(self, lot: str, table: ItemTable, needed: int) -> None:
        """End a lot of which the trainer has enough groups, or whose time is over."""
        out_of_time = table.remaining_s(self.now) <= 0
        groups = {item.group for item in table.spec.items}
        complete = sum(table.is_group_done(group) for group in groups)
        if self.now - table.submitted_at <= DUE_S:
            self.due_groups[lot] = min(complete, needed)
        if complete < needed and not out_of_time:
            return
        self.ended_s[lot] = self.now - table.submitted_at
        self.ended_at[lot] = self.now
        self.complete_groups[lot] = complete
        del self.tables[lot]

    def engine_states(self) -> list[EngineState]:
        """Return the engines as the placement policy sees them."""
        running: dict[str, list[float]] = {}
        for table in self.tables.values():
            for name, events in table.running_events().items():
                running.setdefault(name, []).extend(events)
        found = []
        for engine in self.engines:
            if engine.is_down(self.now):
                continue
            measured_s = engine.measured_s
            if self.policy.uses_lasting_speed:
                measured_s = engine.speed.lasting_s(self.now)
            event_s = measured_s or engine.event_s
            busy = [events * event_s for events in running.get(engine.name, [])]
            found.append(
                EngineState(
                    engine.name,
                    engine.slots,
                    tuple(busy),
                    {"m": 1},
                    measured_s,
                    groups=frozenset(engine.cached),
                )
            )
        return found

    def place(self, by_lot: dict[str, LotPlan]) -> None:
        """Start and move items as the policy decides."""
        engines = {engine.name: engine for engine in self.engines}
        waiting = []
        for table in self.tables.values():
            for state in table.states.values():
                if state.phase is ItemPhase.WAITING:
                    waiting.append(table.waiting_item(state, self.now))
        for start in self.policy.starts(waiting, self.engine_states(), {}):
            plan = by_lot[start.item.lot]
            state = self.tables[start.item.lot].states[start.item.item]
            self.starts += 1
            self.start(state, plan, engines[start.engine])
        running = []
        for table in self.tables.values():
            running.extend(table.running_items(self.now))
        for move in self.policy.moves(running, self.engine_states()):
            state = self.tables[move.item.lot].states[move.item.item]
            state.moves += 1
            self.moves += 1
            self.start(state, by_lot[move.item.lot], engines[move.engine])

    def start(self, state: ItemState, plan: LotPlan, engine: EngineModel) -> None:
        """Start a run: the engine reads what it has not cached of the prompt and the text."""
        group = state.item.group
        tokens = TOKENS_PER_EVENT * len(state.progress.events)
        if group not in engine.cached:
            tokens += plan.prompt_tokens
            if group in self.read_groups:
                self.repeated_tokens += plan.prompt_tokens
            else:
                self.first_tokens += plan.prompt_tokens
        self.read_groups.add(group)
        engine.cached.add(group)
        state.phase = ItemPhase.RUNNING
        state.target = engine.name
        state.started_at = self.now
        state.events_at_start = len(state.progress.events)
        delay_s = self.first_event_s + tokens / PREFILL_TOKENS_PER_S
        progress = float(len(state.progress.events))
        self.generated[state.item.id] = progress - delay_s / engine.current_event_s(self.now)
