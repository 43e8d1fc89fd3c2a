"""Scheduling of waiting items on engines."""

import heapq
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

import attrs

__all__ = ["EngineState", "Start", "WaitingItem", "continues_text", "plan_starts"]

# Assumed seconds per event of an engine that has not produced events yet.
DEFAULT_EVENT_S = 0.045
# An engine that has already read the prompt of an item's group is preferred even if the item would
# end there up to this much later.
SAME_GROUP_BONUS_S = 0.5
# A suspected engine, one that failed recently, is used only if the item would end at least this
# much later at every other engine.
SUSPECTED_PENALTY_S = 3.0
# With more engines than this, only the most suitable ones are compared for each item.
MAX_ENGINES_COMPARED = 64
# Stands for the version of a model that an engine must not be used for; items may ask for 0.
CLOSED_VERSION = -1


@attrs.frozen
class WaitingItem:
    """An item that waits for an engine.

    Attributes
    ----------
    lot, item : str
        Names of the lot and of the item.
    model : str
        Model that generates the item.
    min_version : int
        Oldest version of the weights that may generate the item.
    group : str
        Name of the item's group. Its items share a prompt, and a trainer waits for whole groups.
    carried : bool
        Whether the trainer waits for the item's group no matter which other groups are complete.
    remaining_events : float
        Expected number of events of the item that have not been generated yet.
    group_events : float
        Expected number of events of the whole group that have not been generated yet.
    due_in_s : float
        Seconds until the lot is due; negative once that time has passed.
    priority : int
        Priority of the lot's route; 0 is the highest.
    excluded_s : dict of str to float
        Seconds for which an engine that recently rejected the item is not used for it, by engine
        id.
    software : str
        Software that generated the text so far, empty if there is no text.
    generated_events : int
        Number of events of that text. Only the same software can continue it; any other one
        generates these events again.
    surplus : bool
        Whether the trainer is expected to get enough groups without that of the item.
    services : frozenset of str or None
        Services that may run the item, None for any.
    """

    lot: str
    item: str
    model: str
    min_version: int
    group: str
    carried: bool
    remaining_events: float
    group_events: float
    due_in_s: float
    priority: int
    excluded_s: Mapping[str, float] = attrs.field(factory=dict)
    software: str = ""
    generated_events: int = 0
    surplus: bool = False
    services: frozenset[str] | None = None


class ItemOfModel(Protocol):
    """An item that engines of some services may run with new enough weights of a model."""

    model: str
    min_version: int
    services: frozenset[str] | None


class ItemWithText(Protocol):
    """An item of which an engine generates what remains, or the whole if it has other software."""

    software: str
    generated_events: int
    remaining_events: float


@attrs.frozen
class EngineState:
    """The state of an engine that placement depends on.

    Attributes
    ----------
    id : str
        Id of the target.
    slots : int
        Number of requests that the engine processes concurrently.
    busy_s : tuple of float
        Expected seconds until the end of each request that runs at the engine.
    versions : dict of str to int
        Loaded version of the weights by model.
    event_s : float
        Seconds per event, 0 if unknown.
    ready_in_s : float
        Seconds until the engine accepts new requests.
    suspected : bool
        Whether the engine failed recently; it then gets one request at a time.
    groups : frozenset of str
        Groups whose prompt the engine has read.
    first_event_timeout_s : float
        Seconds after which the first event of a request at the engine is overdue.
    permits : int or None
        Number of items that may start now at an engine with a limit, None without a limit.
    permit_interval_s : float
        Seconds between two starts at the limit.
    software : str
        Software of the engine.
    service : str
        Service of the engine.
    reserved : bool
        Whether only items of the model that the engine is assigned to start there.
    """

    id: str
    slots: int
    busy_s: tuple[float, ...]
    versions: dict[str, int]
    event_s: float = 0.0
    ready_in_s: float = 0.0
    suspected: bool = False
    groups: frozenset[str] = frozenset()
    first_event_timeout_s: float = float("inf")
    permits: int | None = None
    permit_interval_s: float = 0.0
    software: str = ""
    service: str = ""
    reserved: bool = False

    def startable_slots(self) -> int:
        """Return the number of items that may start now in its free slots."""
        free = max(self.slots - len(self.busy_s), 0)
        return free if self.permits is None else min(free, self.permits)

    def can_run(self, item: "WaitingItem") -> bool:
        """Return whether it suits an item that it has not rejected."""
        return self.suits(item) and self.id not in item.excluded_s

    def suits(self, item: "ItemOfModel") -> bool:
        """Return whether it is of a service of an item and its weights are new enough."""
        if item.services is not None and self.service not in item.services:
            return False
        return self.versions.get(item.model, 0) >= item.min_version

    def delay_s(self, item: "WaitingItem") -> float | None:
        """Return the seconds until it may be used for an item, None if the item should not wait.

        An item waits for an engine that it may not use yet only if that one can continue its text.
        """
        seconds = item.excluded_s.get(self.id, 0.0)
        if seconds and (not item.software or item.software != self.software):
            return None
        return seconds

    def events_to_generate(self, item: "ItemWithText") -> float:
        """Return the expected number of events that it would generate of an item."""
        if continues_text(item.software, self.software):
            return item.remaining_events
        return item.remaining_events + item.generated_events

    def can_start_now(self, item: "WaitingItem") -> bool:
        """Return whether it can run an item and accepts requests now, without loading first."""
        return self.ready_in_s <= 0 and self.permits != 0 and self.can_run(item)


@attrs.frozen
class Start:
    """An item and the engine at which it starts."""

    item: WaitingItem
    engine: str


class EnginePlan:
    """The planned use of an engine: the times at which each of its slots becomes free.

    Attributes
    ----------
    state : EngineState
        State of the engine when planning began.
    groups : set of str
        Groups whose prompt the engine has read, with those of the items placed on it.
    free_at : list of float
        Heap of the seconds from now until each slot becomes free; 0 for a slot that is free now.
    """

    def __init__(self, state: EngineState):
        self.state = state
        self.groups = set(state.groups)
        slots = 1 if state.suspected else state.slots
        self.free_at = []
        for number in range(max(slots - len(state.busy_s), 0)):
            self.free_at.append(max(state.ready_in_s, start_in_s(state, number), 0.0))
        for seconds in sorted(state.busy_s)[: slots - len(self.free_at)]:
            self.free_at.append(max(seconds, state.ready_in_s, 0.001))
        heapq.heapify(self.free_at)

    def can_place(self, item: WaitingItem) -> bool:
        """Return whether an item can be placed on this engine."""
        if not self.free_at or not self.state.suits(item):
            return False
        return self.state.delay_s(item) is not None

    def finish_s(self, item: WaitingItem) -> float:
        """Return the seconds until an item would end here, adjusted by the engine preferences."""
        seconds = self.start_s(item) + self.state.events_to_generate(item) * self.event_s()
        if item.group in self.groups:
            seconds -= SAME_GROUP_BONUS_S
        return seconds + (SUSPECTED_PENALTY_S if self.state.suspected else 0.0)

    def start_s(self, item: WaitingItem) -> float:
        """Return the seconds until an item could start here."""
        return max(self.free_at[0], self.state.delay_s(item) or 0.0)

    def occupancy(self) -> float:
        """Return the fraction of the slots that are occupied."""
        return sum(at > 0.0 for at in self.free_at) / len(self.free_at)

    def event_s(self) -> float:
        """Return the seconds per event, a default if they are unknown."""
        return self.state.event_s or DEFAULT_EVENT_S

    def place(self, item: WaitingItem) -> bool:
        """Reserve the slot that becomes free first; return whether it is free now."""
        at = self.start_s(item)
        heapq.heappop(self.free_at)
        heapq.heappush(self.free_at, at + self.state.events_to_generate(item) * self.event_s())
        self.groups.add(item.group)
        return at <= 0.0


def continues_text(text_software: str, engine_software: str) -> bool:
    """Return whether an engine can continue a text, given the software of both.

    What two software versions generate does not fit together. Text without a software is empty.
    """
    return not text_software or text_software == engine_software


def start_in_s(state: EngineState, number: int) -> float:
    """Return the seconds until an engine's limit permits one start after a number of others."""
    if state.permits is None:
        return 0.0
    return max(number - state.permits + 1, 0) * state.permit_interval_s


def plan_starts(
    items: Iterable[WaitingItem],
    engines: Iterable[EngineState],
    division: Mapping[str, str] | None = None,
) -> list[Start]:
    """Return the items to start now and the engine for each.

    Load pattern: lots arrive whole, with more items than there are slots, and the speeds of engines
    differ by more than a factor of two. A few long items determine when a lot ends. Therefore the
    longest items are placed first, each on the engine where it ends soonest, even if it has to
    queue behind another item at a fast engine. Only items whose slot is free now start. The items
    of a group share a prompt, which each engine that runs one of them has to read, so they stay
    together where that costs little time. If a lot would end after it is due, only its complete
    groups are of value to the trainer, so its groups are placed one after another, those with the
    fewest remaining events first.

    While a release runs through the fleet, an item may hold text that only the older engines can
    continue. It waits for one of them as long as it ends there sooner than from its first event at
    another engine.

    Parameters
    ----------
    items : iterable of WaitingItem
        Items that wait for an engine.
    engines : iterable of EngineState
        Engines of the service.
    division : dict of str to str, optional
        Model that each engine serves, by engine id. Other processes run the items of other models,
        so an engine assigned to another model is used only if no engine assigned to the item's own
        model is usable.

    Returns
    -------
    list of Start
        Items that start now, in the order of placement.
    """
    waiting = list(items)
    states = restrict_versions(waiting, list(engines), division or {})
    states = shortlist(waiting, states)
    starts, finish_s = simulate(sorted(waiting, key=longest_first), states)
    late = set()
    for item in waiting:
        if finish_s.get(item.lot, 0.0) > max(item.due_in_s, 0.0):
            late.add(item.lot)
    if not late:
        return starts
    starts, _ = simulate(sorted(waiting, key=order_with_late_lots(late)), states)
    return starts


def restrict_versions(
    items: list[WaitingItem], states: list[EngineState], division: Mapping[str, str]
) -> list[EngineState]:
    """Return the engines, each without the versions of models that it must not be used for.

    An engine assigned to one model is closed to another model if that model has engines of its own
    that are usable for all of its items. A reserved engine is closed in any case.
    """
    needs = {(item.model, item.min_version, item.services): item for item in items}
    unserved = set()
    for (model, _, _), item in needs.items():
        own = (state for state in states if division.get(state.id) == model)
        if not any(state.suits(item) and not state.suspected for state in own):
            unserved.add(model)
    served = {model for model, _, _ in needs} - unserved
    restricted = []
    for state in states:
        owner = division.get(state.id)
        versions = {}
        for model, version in state.versions.items():
            if owner in (None, model):
                versions[model] = version
            elif state.reserved:
                versions[model] = CLOSED_VERSION
            elif model not in served:
                versions[model] = version
        restricted.append(attrs.evolve(state, versions=versions))
    return restricted


def shortlist(items: list[WaitingItem], states: list[EngineState]) -> list[EngineState]:
    """Return the engines that are compared for the items.

    Load pattern: a thousand engines, and lots of a hundred items. Comparing each engine for each
    item at each decision would keep the process busy for longer than an item takes. The items of a
    model need no more engines than there are items, so the engines that have read the prompt of a
    group and then those that would end an item soonest suffice.
    """
    if len(states) <= MAX_ENGINES_COMPARED:
        return states
    groups = {item.group for item in items}
    alike: dict[tuple, list[WaitingItem]] = {}
    for item in items:
        alike.setdefault((item.model, item.min_version, item.services), []).append(item)
    ordered = sorted(states, key=lambda state: suitability(state, groups))
    found: dict[str, EngineState] = {}
    for same in alike.values():
        usable = [state for state in ordered if state.suits(same[0])]
        for state in usable[: max(len(same), MAX_ENGINES_COMPARED)]:
            found[state.id] = state
    return list(found.values())


def suitability(state: EngineState, groups: set[str]) -> tuple:
    """Return a sort key of engines, the most suitable first."""
    return (
        state.suspected,
        state.startable_slots() <= 0,
        groups.isdisjoint(state.groups),
        max(state.ready_in_s, 0.0),
        state.event_s or DEFAULT_EVENT_S,
        len(state.busy_s),
    )


def longest_first(item: WaitingItem) -> tuple:
    """Return a sort key: lots by due time, and the longest items of a lot first."""
    return (item.due_in_s, not item.carried, item.priority, -item.remaining_events, item.item)


def order_with_late_lots(late: set[str]) -> Callable[[WaitingItem], tuple]:
    """Return a sort key that orders the items of late lots group by group."""

    def key(item: WaitingItem) -> tuple:
        if item.lot not in late:
            return (item.due_in_s, not item.carried, 0.0, "", -item.remaining_events, item.item)
        return (
            item.due_in_s,
            not item.carried,
            item.group_events,
            item.group,
            -item.remaining_events,
            item.item,
        )

    return key


def simulate(
    items: list[WaitingItem], states: list[EngineState]
) -> tuple[list[Start], dict[str, float]]:
    """Place items in the given order.

    Returns
    -------
    tuple of (list of Start, dict of str to float)
        Items that start now, and the seconds until each lot would end, by name of the lot.
    """
    plans = [EnginePlan(state) for state in states]
    starts: list[Start] = []
    finish_s: dict[str, float] = {}
    for item in items:
        best, best_s, best_key = None, 0.0, None
        for plan in plans:
            if not plan.can_place(item):
                continue
            seconds = plan.finish_s(item)
            # Among equal engines the emptier one is used: this measures the speed of all engines,
            # and the loss of one engine interrupts fewer items.
            key = (round(seconds, 2), plan.occupancy())
            if best is None or key < best_key:
                best, best_s, best_key = plan, seconds, key
        if best is None:
            continue
        finish_s[item.lot] = max(finish_s.get(item.lot, 0.0), best_s)
        if best.place(item):
            starts.append(Start(item, best.state.id))
    return starts, finish_s
