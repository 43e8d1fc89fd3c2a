"""The items of a lot: where each is, and how much work it still needs."""

import asyncio
import enum

import attrs

from turmericreach.batches.model import BatchItem, BatchSpec, Progress
from turmericreach.placement import RunningItem, WaitingItem, expected_remaining_events
from turmericreach.services import Route, Target

__all__ = ["ItemPhase", "ItemState", "ItemTable"]

# A run shows its engine's speed before it is moved.
MOVE_PAUSE_S = 0.3


class ItemPhase(enum.StrEnum):
    """Where an item is."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    READY = "ready"
    LISTED = "listed"


@attrs.define(eq=False)
class ItemState:
    """State of an item.

    Attributes
    ----------
    item : BatchItem
        The item.
    phase : ItemPhase
        Where it is.
    progress : Progress
        What has been generated.
    failures : int
        Runs that the engine answered with a failure.
    not_before : float
        Loop time before which it is not tried again.
    waiting_since : float
        Loop time since which it has waited.
    refused_by : dict of str to float
        Engines that refused it, with the loop time until which they are left out.
    target : str
        Engine at which it runs, or ran last.
    started_at : float
        Loop time at which its last run began.
    events_before : int
        Events that it had then.
    task : asyncio.Task or None
        Its last run.
    move_to : Target or None
        Engine at which it goes on.
    moves : int
        How often it has been moved.
    """

    item: BatchItem
    phase: ItemPhase = ItemPhase.WAITING
    progress: Progress = attrs.field(factory=Progress)
    failures: int = 0
    not_before: float = 0.0
    waiting_since: float = 0.0
    refused_by: dict[str, float] = attrs.field(factory=dict)
    target: str = ""
    started_at: float = 0.0
    events_before: int = 0
    task: asyncio.Task | None = None
    move_to: Target | None = None
    moves: int = 0


class ItemTable:
    """The items of a lot, as placement sees them.

    Attributes
    ----------
    spec : BatchSpec
        The lot.
    route : Route
        Its route.
    submitted_at : float
        Loop time of its submission.
    tokens_per_event : float
        Tokens that an event of its engines stands for.
    states : dict of str to ItemState
        State by item.
    carried : frozenset of str
        Items that stood in an earlier lot.
    """

    def __init__(
        self,
        spec: BatchSpec,
        route: Route,
        submitted_at: float,
        tokens_per_event: float = 1.0,
        carried: frozenset[str] = frozenset(),
    ):
        self.spec = spec
        self.route = route
        self.submitted_at = submitted_at
        self.tokens_per_event = tokens_per_event
        self.states = {item.id: ItemState(item) for item in spec.items}
        self.carried = carried

    def time_left_s(self, now: float) -> float:
        """Return the seconds until results are of no use, negative after that."""
        return self.submitted_at + self.route.item_lifetime_s - now

    def has_active(self) -> bool:
        """Return whether items wait for an engine or run at one."""
        active = (ItemPhase.WAITING, ItemPhase.RUNNING)
        return any(state.phase in active for state in self.states.values())

    def waiting_item(self, state: ItemState, now: float) -> WaitingItem:
        """Return an item as placement sees it."""
        item = state.item
        refused = [target for target, until in state.refused_by.items() if now < until]
        return WaitingItem(
            lot=self.spec.id,
            item=item.id,
            model=self.spec.model,
            min_version=self.spec.min_version,
            group=item.group,
            carried=item.id in self.carried,
            remaining_events=self.remaining_events(state),
            group_events=self.group_events(item.group),
            due_in_s=self.submitted_at + self.route.due_s - now,
            priority=self.route.priority,
            excluded=frozenset(refused),
        )

    def remaining_events(self, state: ItemState) -> float:
        """Return the expected number of events that are still to be made."""
        expected = state.item.expected_tokens / self.tokens_per_event
        return expected_remaining_events(expected, len(state.progress.events))

    def group_events(self, group: str) -> float:
        """Return the expected number of events that a group still lacks."""
        total = 0.0
        for state in self.states.values():
            if state.item.group != group:
                continue
            if state.phase in (ItemPhase.WAITING, ItemPhase.RUNNING):
                total += self.remaining_events(state)
        return total

    def running_items(self, now: float) -> list[RunningItem]:
        """Return the items that run and may go on elsewhere."""
        found = []
        for state in self.states.values():
            if state.phase is not ItemPhase.RUNNING or state.move_to is not None:
                continue
            ran_s = now - state.started_at
            if ran_s < MOVE_PAUSE_S:
                continue
            is_silent = len(state.progress.events) <= state.events_before
            found.append(
                RunningItem(
                    lot=self.spec.id,
                    item=state.item.id,
                    model=self.spec.model,
                    min_version=self.spec.min_version,
                    engine=state.target,
                    remaining_events=self.remaining_events(state),
                    moves=state.moves,
                    first_event_wait_s=ran_s if is_silent else 0.0,
                )
            )
        return found

    def running_events(self, target_id: str) -> list[float]:
        """Return the expected events left of each item that runs at a target."""
        found = []
        for state in self.states.values():
            if state.phase is ItemPhase.RUNNING and state.target == target_id:
                found.append(self.remaining_events(state))
        return found

    def is_group_done(self, group: str) -> bool:
        """Return whether all items of a group are listed or wait to be."""
        done = (ItemPhase.READY, ItemPhase.LISTED)
        return all(
            state.phase in done for state in self.states.values() if state.item.group == group
        )
