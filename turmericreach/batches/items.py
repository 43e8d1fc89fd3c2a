"""State of the items of a lot and the work that remains for each."""

import asyncio
import enum

import attrs

from turmericreach.batches.lot_route import LotRoute, RouteSource
from turmericreach.batches.model import BatchItem, BatchSpec, Progress
from turmericreach.batches.records import AcceptedTerms
from turmericreach.placement import (
    RunningItem,
    WaitingItem,
    continues_text,
    expected_remaining_events,
)
from turmericreach.services import Target

__all__ = ["ItemPhase", "ItemState", "ItemTable"]

# A run must last this long before it may be moved, so that its engine's speed is known.
MIN_RUN_BEFORE_MOVE_S = 0.3


class ItemPhase(enum.StrEnum):
    """Phase of an item.

    Attributes
    ----------
    WAITING
        Waits for an engine.
    RUNNING
        Runs at an engine.
    SCORING
        Its text is complete and waits for a score.
    READY
        Its result waits to be written.
    LISTED
        Its result is durable.
    """

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    READY = "ready"
    LISTED = "listed"


@attrs.define(eq=False)
class ItemState:
    """Mutable state of an item.

    Attributes
    ----------
    item : BatchItem
        The item as submitted.
    phase : ItemPhase
        Phase of the item.
    progress : Progress
        Text generated so far, by targets with the same software.
    fresh : Progress or None
        Text of the current run if it began anew, since its target cannot continue `progress`; None
        if the run continues that text.
    failures : int
        Number of runs to which the engine responded with a failure.
    not_before : float
        Loop time in seconds before which the item is not started again.
    waiting_since : float
        Loop time in seconds since which the item has waited.
    refused_by : dict of str to float
        Loop time in seconds until which an engine is excluded for this item, by engine id. The
        engine rejected the item, could not be reached, or failed or interrupted its run.
    target : str
        Id of the engine of the current or last run.
    started_at : float
        Loop time in seconds at which the last run started.
    events_at_start : int
        Number of events in the progress when the last run started.
    task : asyncio.Task or None
        Task of the last run.
    move_to : Target or None
        Engine at which the item continues once its current run is cancelled.
    moves : int
        Number of moves so far.
    reported_wait : float or None
        Value of `waiting_since` of the last wait that was reported as too long, None if none was.
    """

    item: BatchItem
    phase: ItemPhase = ItemPhase.WAITING
    progress: Progress = attrs.field(factory=Progress)
    fresh: Progress | None = None
    failures: int = 0
    not_before: float = 0.0
    waiting_since: float = 0.0
    refused_by: dict[str, float] = attrs.field(factory=dict)
    target: str = ""
    started_at: float = 0.0
    events_at_start: int = 0
    task: asyncio.Task | None = None
    move_to: Target | None = None
    moves: int = 0
    reported_wait: float | None = None

    def is_waiting(self) -> bool:
        """Return whether the item waits for an engine."""
        return self.phase is ItemPhase.WAITING

    def run_text(self) -> Progress:
        """Return the text that the current run extends."""
        return self.progress if self.fresh is None else self.fresh

    def begin_run(self, target: Target) -> Progress:
        """Begin a run and return the text that it extends.

        The text so far is kept until a run that began anew has generated an event.
        """
        self.fresh = None
        if not continues_text(self.progress.software, target.record.software):
            self.fresh = Progress()
        self.events_at_start = len(self.run_text().events)
        return self.run_text()

    def end_run(self) -> None:
        """End a run; what a run that began anew has generated replaces the text before."""
        if self.fresh is not None and (self.fresh.events or self.fresh.whole):
            self.progress = self.fresh
        self.fresh = None

    def newest_text(self) -> Progress:
        """Return the text that another run or process should continue."""
        if self.fresh is not None and self.fresh.events:
            return self.fresh
        return self.progress


class ItemTable:
    """Items of a lot and their description for the placement policy.

    Attributes
    ----------
    spec : BatchSpec
        The lot as submitted.
    routes : RouteSource
        Knows the present route of the lot.
    submitted_at : float
        Loop time in seconds of the submission.
    terms : AcceptedTerms
        What the trainer was promised with the acceptance; a later configuration does not change it.
    states : dict of str to ItemState
        State of each item by its id.
    carried : frozenset of str
        Ids of the items that were also in an earlier lot.
    members : dict of str to list of ItemState
        Items of each group.
    """

    def __init__(
        self,
        spec: BatchSpec,
        routes: RouteSource,
        submitted_at: float,
        terms: AcceptedTerms,
        carried: frozenset[str] = frozenset(),
    ):
        self.spec = spec
        self.routes = routes
        self.submitted_at = submitted_at
        self.terms = terms
        self.states = {item.id: ItemState(item) for item in spec.items}
        self.carried = carried
        self.members: dict[str, list[ItemState]] = {}
        for state in self.states.values():
            self.members.setdefault(state.item.group, []).append(state)

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the item lifetime is over, negative after that."""
        return self.submitted_at + self.terms.item_lifetime_s - now

    def due_in_s(self, now: float) -> float:
        """Return the seconds until the lot is due, negative after that."""
        return self.submitted_at + self.terms.due_s - now

    def route(self) -> LotRoute | None:
        """Return the present route of the lot, None if it has none."""
        return self.routes.current()

    def single_version(self) -> bool:
        """Return whether all events of a result must come from one version of the weights."""
        return self.routes.latest().route.single_version

    def max_attempts(self) -> int:
        """Return the number of failed runs after which an item is abandoned."""
        return self.routes.latest().route.max_attempts

    @property
    def priority(self) -> int:
        """Priority of the items; 0 is the highest."""
        return self.routes.latest().priority

    @property
    def tokens_per_event(self) -> float:
        """Number of tokens in one event of the route's engines."""
        return self.routes.latest().tokens_per_event

    def has_active(self) -> bool:
        """Return whether any item waits for an engine or runs at one."""
        active = (ItemPhase.WAITING, ItemPhase.RUNNING)
        return any(state.phase in active for state in self.states.values())

    def surplus_groups(self) -> frozenset[str]:
        """Return the groups without which the trainer is expected to get as many as it waits for.

        These are the groups whose longest item has the most events left. Groups that were also in
        an earlier lot are never among them, since the trainer waits for those in any case.
        """
        longest: dict[str, float] = {}
        carried = set()
        for state in self.states.values():
            group = state.item.group
            done = state.phase in (ItemPhase.READY, ItemPhase.LISTED)
            left = 0.0 if done else self.remaining_events(state)
            longest[group] = max(longest.get(group, 0.0), left)
            if state.item.id in self.carried:
                carried.add(group)
        if not self.spec.target_groups:
            return frozenset()
        ordered = sorted(longest, key=lambda group: (group not in carried, longest[group]))
        return frozenset(ordered[self.spec.target_groups :]) - carried

    def waiting_item(
        self,
        state: ItemState,
        now: float,
        surplus: frozenset[str] = frozenset(),
        services: frozenset[str] | None = None,
    ) -> WaitingItem:
        """Return the description of a waiting item for the placement policy.

        Parameters
        ----------
        surplus : frozenset of str
            Groups that the trainer is expected not to need.
        services : frozenset of str, optional
            Services that may run the item, by default any.
        """
        item = state.item
        excluded_s = {}
        for target, until in state.refused_by.items():
            if now < until:
                excluded_s[target] = until - now
        return WaitingItem(
            lot=self.spec.id,
            item=item.id,
            model=self.spec.model,
            min_version=self.spec.min_version,
            group=item.group,
            carried=item.id in self.carried,
            remaining_events=self.remaining_events(state),
            group_events=self.group_events(item.group),
            due_in_s=self.due_in_s(now),
            priority=self.priority,
            excluded_s=excluded_s,
            software=state.progress.software,
            generated_events=len(state.progress.events),
            surplus=item.group in surplus,
            services=services,
        )

    def remaining_events(self, state: ItemState) -> float:
        """Return the expected number of events that remain to be generated."""
        expected = state.item.expected_tokens / self.tokens_per_event
        return expected_remaining_events(expected, len(state.run_text().events))

    def group_events(self, group: str) -> float:
        """Return the expected number of events that remain for a group, over all its items."""
        total = 0.0
        for state in self.states.values():
            if state.item.group != group:
                continue
            if state.phase in (ItemPhase.WAITING, ItemPhase.RUNNING):
                total += self.remaining_events(state)
        return total

    def running_items(
        self, now: float, services: frozenset[str] | None = None
    ) -> list[RunningItem]:
        """Return the running items that may be moved to another engine of some services."""
        found = []
        for state in self.states.values():
            if state.phase is not ItemPhase.RUNNING or state.move_to is not None:
                continue
            ran_s = now - state.started_at
            if ran_s < MIN_RUN_BEFORE_MOVE_S:
                continue
            text = state.run_text()
            has_no_events = len(text.events) <= state.events_at_start
            found.append(
                RunningItem(
                    lot=self.spec.id,
                    item=state.item.id,
                    model=self.spec.model,
                    min_version=self.spec.min_version,
                    engine=state.target,
                    remaining_events=self.remaining_events(state),
                    moves=state.moves,
                    first_event_wait_s=ran_s if has_no_events else 0.0,
                    software=text.software,
                    generated_events=len(text.events),
                    due_in_s=self.due_in_s(now),
                    services=services,
                )
            )
        return found

    def running_events(self) -> dict[str, list[float]]:
        """Return the expected remaining events of each item that runs, by target id."""
        found: dict[str, list[float]] = {}
        for state in self.states.values():
            if state.phase is ItemPhase.RUNNING:
                found.setdefault(state.target, []).append(self.remaining_events(state))
        return found

    def score_urgency(self, state: ItemState) -> tuple:
        """Return a sort key of items that wait for a score: oldest due, then nearly whole groups.

        A score that completes a group is of use at once, others only with the rest of the group.
        """
        done = (ItemPhase.READY, ItemPhase.LISTED)
        left = sum(other.phase not in done for other in self.members[state.item.group])
        return (self.submitted_at + self.terms.due_s, left, state.item.group)

    def running_to_score(self) -> int:
        """Return the number of items that run and need a score."""
        found = 0
        for state in self.states.values():
            found += state.phase is ItemPhase.RUNNING and state.item.scorer is not None
        return found

    def is_group_done(self, group: str) -> bool:
        """Return whether the results of all items of a group are listed or ready to be written."""
        done = (ItemPhase.READY, ItemPhase.LISTED)
        return all(
            state.phase in done for state in self.states.values() if state.item.group == group
        )
