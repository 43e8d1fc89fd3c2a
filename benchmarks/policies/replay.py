"""Replay of closed-loop trainers, uneven engines, scorers and a loss of all gateways."""

import heapq
import random
from collections.abc import Callable, Mapping

import attrs

from benchmarks.policies.load import STEP_INTERVAL_S, TRAINERS, TrainerModel, make_group
from tests.builders.engine_replay import (
    DUE_S,
    LIFETIME_S,
    STEP_S,
    TOKENS_PER_EVENT,
    LotPlan,
    Replay,
)
from tests.builders.item_tables import fixed_table
from turmericreach.batches.arrivals import ModelArrival, next_arrival
from turmericreach.batches.items import ItemPhase, ItemTable
from turmericreach.batches.model import BatchItem, BatchSpec, Progress
from turmericreach.placement import EngineState
from turmericreach.services import Route, RouteKind
from turmericreach.services.configuration import WeightedService
from turmericreach.versions.assignment import assign_models
from turmericreach.versions.engine_view import EngineView

__all__ = ["Demand", "PressureReplay", "Trainer", "newest_work", "usual_work"]

# A trainer submits its next lot this long after the last but one has ended.
TRAINING_S = 1.0
OPEN_LOTS = 2
MOVE_INTERVAL_S = 0.2
DIVISION_INTERVAL_S = 0.5
# An engine that gets another model loads its weights.
LOAD_S = 1.0
SCORER_SLOTS = 18
SCORING_S = 0.12
SCORING_SIGMA = 0.4
# Time until lots run again after all gateways were killed at once.
RESTART_S = 1.5


@attrs.define(eq=False)
class Trainer:
    """State and results of a trainer.

    Attributes
    ----------
    model : TrainerModel
        What it submits.
    rng : random.Random
        Random numbers of the lengths, which are the same for all policies.
    step : int
        Number of lots submitted.
    ended_at : dict of int to float
        Time at which each lot ended, by step.
    unfinished : list of str
        Groups that come again in the next lot.
    groups : dict of str to tuple
        Items and true lengths of each group.
    in_time, late, failed : int
        Groups that were complete when the lot was due, complete later, and not at all.
    """

    model: TrainerModel
    rng: random.Random
    step: int = 0
    ended_at: dict[int, float] = attrs.field(factory=dict)
    unfinished: list[str] = attrs.field(factory=list)
    groups: dict[str, tuple[list[BatchItem], dict[str, int]]] = attrs.field(factory=dict)
    in_time: int = 0
    late: int = 0
    failed: int = 0

    def may_submit(self, now: float) -> bool:
        """Return whether the next lot is due and the last but one ended some time ago."""
        if now < self.step * STEP_INTERVAL_S:
            return False
        former = self.step - OPEN_LOTS
        return former < 0 or now >= self.ended_at.get(former, float("inf")) + TRAINING_S

    def next_lot(self, now: float, exact: bool) -> LotPlan:
        """Return the next lot: the groups that come again, then new ones."""
        names = self.unfinished[: self.model.groups]
        del self.unfinished[: self.model.groups]
        lot = f"{self.model.model}/{self.step}"
        for number in range(self.model.groups - len(names)):
            name = f"{lot}/{number}"
            self.groups[name] = make_group(self.rng, self.model, name, exact)
            names.append(name)
        items, events = [], {}
        for name in names:
            batch, lengths = self.groups[name]
            items.extend(batch)
            events.update(lengths)
        spec = BatchSpec(
            lot, "h", "/x", self.step, self.model.model, 1, tuple(items), self.model.groups
        )
        self.step += 1
        return LotPlan(now, spec, events, 1000, self.model.groups)


Demand = Callable[["PressureReplay"], Mapping[str, float]]


def newest_work(replay: "PressureReplay") -> dict[str, float]:
    """Return the expected work of the newest lot of each model, as the coordinator does."""
    return {
        model: sum(item.expected_tokens for item in spec.items)
        for model, spec in replay.newest.items()
    }


def usual_work(replay: "PressureReplay") -> dict[str, float]:
    """Return the usual work of the lots of each model, as under control of overload."""
    return {model: arrival.usual_tokens for model, arrival in replay.arrivals.items()}


@attrs.define
class PressureReplay(Replay):
    """Replays trainers in a closed loop, each with the only gateway of its model.

    Attributes
    ----------
    seed : int
        Seed of all random numbers.
    exact : bool
        Whether the estimates of lengths are the true ones.
    lost_at_s : float
        Time at which all gateways are killed, which loses the texts so far.
    demand : callable
        Returns what the engines are divided by.
    reassigned : int
        Number of times that an engine got another model.
    """

    seed: int = 0
    exact: bool = False
    lost_at_s: float = float("inf")
    demand: Demand = newest_work
    trainers: list[Trainer] = attrs.field(factory=list)
    newest: dict[str, BatchSpec] = attrs.field(factory=dict)
    arrivals: dict[str, ModelArrival] = attrs.field(factory=dict)
    reassigned: int = 0
    by_lot: dict[str, LotPlan] = attrs.field(factory=dict)
    texts: dict[str, Progress] = attrs.field(factory=dict)
    division: dict[str, str] = attrs.field(factory=dict)
    ready_at: dict[str, float] = attrs.field(factory=dict)
    scorers: list[float] = attrs.field(factory=list)
    scored: list[tuple[float, str, str]] = attrs.field(factory=list)
    lost: bool = False
    cut_runs: int = 0
    step_number: int = 0

    def run(self, limit_s: float = 120.0) -> "PressureReplay":
        """Replay for a time and return this object."""
        for model in TRAINERS:
            self.trainers.append(Trainer(model, random.Random(f"{model.model} {self.seed}")))
        self.rng = random.Random(f"replay {self.seed}")
        self.scorers = [0.0] * SCORER_SLOTS
        while self.now < limit_s:
            for trainer in self.trainers:
                if trainer.may_submit(self.now):
                    self.submit(trainer)
            if self.now >= self.lost_at_s and not self.lost:
                self.lose_gateways()
            self.advance(self.by_lot)
            self.end_scoring()
            if not self.lost_at_s <= self.now < self.lost_at_s + RESTART_S:
                self.place(self.by_lot)
            self.now += STEP_S
            self.step_number += 1
        return self

    def submit(self, trainer: Trainer) -> None:
        """Submit the next lot of a trainer, with the texts of the items that come again."""
        plan = trainer.next_lot(self.now, self.exact)
        spec = plan.spec
        services = (WeightedService("engines", 1.0),)
        route = Route("r", "h", "/x", RouteKind.BATCH, services, due_s=DUE_S)
        route = attrs.evolve(route, item_lifetime_s=LIFETIME_S)
        carried = frozenset(
            item.id for item in spec.items if not item.group.startswith(f"{spec.id}/")
        )
        table = fixed_table(spec, route, self.now, float(TOKENS_PER_EVENT), carried)
        for state in table.states.values():
            text = self.texts.pop(state.item.id, None)
            if text is not None:
                state.progress = text
                if text.whole:
                    state.phase = ItemPhase.LISTED
        self.tables[spec.id] = table
        self.by_lot[spec.id] = plan
        self.newest[spec.model] = spec
        tokens = sum(item.expected_tokens for item in spec.items)
        former = self.arrivals.get(spec.model)
        self.arrivals[spec.model] = next_arrival(former, self.now, tokens, len(spec.items))

    def lose_gateways(self) -> None:
        """Kill all gateways: open lots start again from the store without texts."""
        self.lost = True
        self.scored.clear()
        self.scorers = [self.now] * SCORER_SLOTS
        for table in self.tables.values():
            for state in table.states.values():
                if state.phase is ItemPhase.LISTED:
                    continue
                state.phase = ItemPhase.WAITING
                state.progress = Progress()

    def advance_item(self, state, plan, engine) -> None:
        """Generate the events of one step for an item; a complete text goes to a scorer."""
        super().advance_item(state, plan, engine)
        if state.phase is not ItemPhase.LISTED:
            return
        state.progress.whole = True
        state.phase = ItemPhase.SCORING
        begin = max(heapq.heappop(self.scorers), self.now)
        end = begin + SCORING_S * self.rng.lognormvariate(0.0, SCORING_SIGMA)
        heapq.heappush(self.scorers, end)
        heapq.heappush(self.scored, (end, plan.spec.id, state.item.id))

    def end_scoring(self) -> None:
        """List the items whose scores have come."""
        while self.scored and self.scored[0][0] <= self.now:
            _, lot, item = heapq.heappop(self.scored)
            if lot in self.tables:
                self.tables[lot].states[item].phase = ItemPhase.LISTED

    def end_lot(self, lot: str, table: ItemTable, needed: int) -> None:
        """End a lot whose groups are complete or whose trainer gives up."""
        model, step = lot.split("/")
        trainer = next(one for one in self.trainers if one.model.model == model)
        age_s = self.now - table.submitted_at
        unfinished = self.unfinished_groups(table)
        complete = needed - len(unfinished)
        if age_s <= DUE_S:
            self.due_groups[lot] = complete
        if unfinished and age_s < LIFETIME_S:
            return
        in_time = min(self.due_groups.get(lot, 0), complete)
        trainer.in_time += in_time
        trainer.late += complete - in_time
        trainer.failed += len(unfinished)
        trainer.ended_at[int(step)] = self.now
        trainer.unfinished.extend(unfinished)
        self.ended_s[lot] = age_s
        for state in table.states.values():
            if state.item.group not in unfinished:
                continue
            self.cut_runs += state.phase is ItemPhase.RUNNING
            if state.progress.events:
                self.texts[state.item.id] = state.progress
        del self.tables[lot]

    def unfinished_groups(self, table: ItemTable) -> list[str]:
        """Return the groups of which an item is not listed, in the order of the lot."""
        found: dict[str, None] = {}
        for state in table.states.values():
            if state.phase is not ItemPhase.LISTED:
                found[state.item.group] = None
        return list(found)

    # Placement

    def divide(self) -> None:
        """Divide the engines among the models; an engine that gets another model loads it."""
        if not self.newest:
            return
        views = [
            EngineView(engine.name, {}, engine.slots, engine.measured_s) for engine in self.engines
        ]
        division = assign_models(views, self.demand(self), self.division)
        for engine, model in division.items():
            if self.division.get(engine, model) != model:
                self.ready_at[engine] = self.now + LOAD_S
                self.reassigned += 1
        self.division = division

    def model_states(self, model: str) -> list[EngineState]:
        """Return the engines of a model as its gateway sees them."""
        running: dict[str, list[float]] = {}
        for table in self.tables.values():
            for name, events in table.running_events().items():
                running.setdefault(name, []).extend(events)
        found = []
        for engine in self.engines:
            if self.division.get(engine.name) != model:
                continue
            event_s = engine.measured_s or engine.event_s
            busy = tuple(events * event_s for events in running.get(engine.name, []))
            ready_in_s = max(self.ready_at.get(engine.name, 0.0) - self.now, 0.0)
            found.append(
                EngineState(
                    engine.name,
                    engine.slots,
                    busy,
                    {model: 1},
                    engine.measured_s,
                    ready_in_s,
                    groups=frozenset(engine.cached),
                )
            )
        return found

    def place(self, by_lot: dict[str, LotPlan]) -> None:
        """Start and move the items of each model as the policy decides."""
        if self.step_number % round(DIVISION_INTERVAL_S / STEP_S) == 0 or not self.division:
            self.divide()
        for trainer in self.trainers:
            self.start_items(trainer.model.model)
        if self.step_number % round(MOVE_INTERVAL_S / STEP_S) == 0:
            for trainer in self.trainers:
                self.move_items(trainer.model.model)

    def start_items(self, model: str) -> None:
        """Start the waiting items of a model; nothing is planned while no slot is free."""
        states = self.model_states(model)
        if not any(state.startable_slots() and state.ready_in_s <= 0 for state in states):
            return
        waiting = []
        for table in self.tables.values():
            if table.spec.model != model:
                continue
            surplus = table.surplus_groups()
            for state in table.states.values():
                if state.phase is ItemPhase.WAITING:
                    waiting.append(table.waiting_item(state, self.now, surplus))
        if not waiting:
            return
        engines = {engine.name: engine for engine in self.engines}
        for start in self.policy.starts(waiting, states, {}):
            state = self.tables[start.item.lot].states[start.item.item]
            self.starts += 1
            self.start(state, self.by_lot[start.item.lot], engines[start.engine])

    def move_items(self, model: str) -> None:
        """Move running items of a model."""
        running = []
        for table in self.tables.values():
            if table.spec.model == model:
                running.extend(table.running_items(self.now))
        engines = {engine.name: engine for engine in self.engines}
        for move in self.policy.moves(running, self.model_states(model)):
            state = self.tables[move.item.lot].states[move.item.item]
            state.moves += 1
            self.moves += 1
            self.start(state, self.by_lot[move.item.lot], engines[move.engine])
