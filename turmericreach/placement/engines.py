"""Which waiting items start at which engines."""

import heapq
from collections.abc import Callable, Iterable, Mapping

import attrs

__all__ = ["EngineState", "Start", "WaitingItem", "plan_starts"]

# Assumed until an engine has produced events.
DEFAULT_EVENT_S = 0.045
# An engine that has read a group's prompt is preferred up to this much more time.
SAME_GROUP_BONUS_S = 0.05
# An engine that failed recently is used only where others would take this much longer.
SUSPECT_PENALTY_S = 3.0


@attrs.frozen
class WaitingItem:
    """An item that waits for an engine.

    Attributes
    ----------
    lot, item : str
        Names it.
    model : str
        Model that generates it.
    min_version : int
        Oldest version of the weights that may.
    group : str
        Items of a group share their prompt; a trainer waits for whole groups.
    carried : bool
        Whether the trainer waits for its group whatever else is complete.
    remaining_events : float
        Expected events still to be made.
    group_events : float
        Expected events still to be made in its whole group.
    due_in_s : float
        Seconds until its lot is due; negative when that has passed.
    priority : int
        Rank of its route, 0 is the highest.
    excluded : frozenset of str
        Engines that refused it just now.
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
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class EngineState:
    """An engine as far as placement needs it.

    Attributes
    ----------
    id : str
        The target.
    slots : int
        Requests processed at once.
    busy_s : tuple of float
        Expected seconds until each request there ends.
    versions : dict of str to int
        Loaded versions by model.
    event_s : float
        Seconds an event, 0 if not known.
    ready_in_s : float
        Seconds until it takes new requests.
    suspect : bool
        Whether it failed recently; one request at a time then tries it.
    groups : frozenset of str
        Groups whose prompt it has read.
    first_event_limit_s : float
        Seconds after which the first event of a request there is overdue.
    """

    id: str
    slots: int
    busy_s: tuple[float, ...]
    versions: dict[str, int]
    event_s: float = 0.0
    ready_in_s: float = 0.0
    suspect: bool = False
    groups: frozenset[str] = frozenset()
    first_event_limit_s: float = float("inf")

    def may_run(self, item: "WaitingItem") -> bool:
        """Return whether its weights suffice for an item that it has not refused."""
        is_new_enough = self.versions.get(item.model, 0) >= item.min_version
        return is_new_enough and self.id not in item.excluded

    def starts_now(self, item: "WaitingItem") -> bool:
        """Return whether it may run an item without loading weights first."""
        return self.ready_in_s <= 0 and self.may_run(item)


@attrs.frozen
class Start:
    """An item and the engine at which it starts."""

    item: WaitingItem
    engine: str


class EnginePlan:
    """An engine with the times at which its slots become free."""

    def __init__(self, state: EngineState):
        self.state = state
        self.groups = set(state.groups)
        slots = 1 if state.suspect else state.slots
        self.free_at = [max(state.ready_in_s, 0.0)] * max(slots - len(state.busy_s), 0)
        for seconds in sorted(state.busy_s)[: slots - len(self.free_at)]:
            self.free_at.append(max(seconds, state.ready_in_s, 0.001))
        heapq.heapify(self.free_at)

    def takes(self, item: WaitingItem) -> bool:
        """Return whether an item may run here."""
        return bool(self.free_at) and self.state.may_run(item)

    def finish_s(self, item: WaitingItem) -> float:
        """Return the seconds until an item would end here."""
        seconds = self.free_at[0] + item.remaining_events * self.event_s()
        if item.group in self.groups:
            seconds -= SAME_GROUP_BONUS_S
        return seconds + (SUSPECT_PENALTY_S if self.state.suspect else 0.0)

    def used_share(self) -> float:
        """Return the share of the slots that are taken."""
        return sum(at > 0.0 for at in self.free_at) / len(self.free_at)

    def event_s(self) -> float:
        """Return the seconds an event."""
        return self.state.event_s or DEFAULT_EVENT_S

    def place(self, item: WaitingItem) -> bool:
        """Take a slot for an item and return whether it is free now."""
        at = heapq.heappop(self.free_at)
        heapq.heappush(self.free_at, at + item.remaining_events * self.event_s())
        self.groups.add(item.group)
        return at <= 0.0


def plan_starts(
    items: Iterable[WaitingItem],
    engines: Iterable[EngineState],
    division: Mapping[str, str] | None = None,
) -> list[Start]:
    """Return the items that start now.

    Parameters
    ----------
    division : dict of str to str, optional
        Model that each engine serves. Other processes run the items of other models, so that an
        engine of another model is used only where none of the own ones can be.

    Load pattern: lots arrive whole, with more items than there are slots, and engines differ in
    speed by more than two. A few long items decide when a lot ends. So the longest are placed
    first, each where it ends soonest, be it behind another item at a fast engine; only those
    whose slot is free now start. A lot that would end after it is due is worth its complete
    groups: its groups are placed one after another, those with the least left first.
    """
    waiting = list(items)
    states = reserve(waiting, list(engines), division or {})
    starts, finish_s = simulate(sorted(waiting, key=longest_first), states)
    late = set()
    for item in waiting:
        if finish_s.get(item.lot, 0.0) > max(item.due_in_s, 0.0):
            late.add(item.lot)
    if not late:
        return starts
    starts, _ = simulate(sorted(waiting, key=order_with_late_lots(late)), states)
    return starts


def reserve(
    items: list[WaitingItem], states: list[EngineState], division: Mapping[str, str]
) -> list[EngineState]:
    """Return the engines with only the versions of models for which they may be used."""
    least = {item.model: item.min_version for item in items}
    for item in items:
        least[item.model] = min(least[item.model], item.min_version)
    served = set()
    for state in states:
        model = division.get(state.id)
        if model in least and state.versions.get(model, 0) >= least[model] and not state.suspect:
            served.add(model)
    reserved = []
    for state in states:
        owner = division.get(state.id)
        versions = {}
        for model, version in state.versions.items():
            if owner in (None, model) or model not in served:
                versions[model] = version
        reserved.append(attrs.evolve(state, versions=versions))
    return reserved


def longest_first(item: WaitingItem) -> tuple:
    """Return the key that places the longest items of the lot due first."""
    return (item.due_in_s, not item.carried, item.priority, -item.remaining_events, item.item)


def order_with_late_lots(late: set[str]) -> Callable[[WaitingItem], tuple]:
    """Return the key that places late lots group by group."""

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
    """Place items in their order; return what starts now and when each lot would end."""
    plans = [EnginePlan(state) for state in states]
    starts: list[Start] = []
    finish_s: dict[str, float] = {}
    for item in items:
        best, best_s, best_key = None, 0.0, None
        for plan in plans:
            if not plan.takes(item):
                continue
            seconds = plan.finish_s(item)
            # Among equals the emptier one, so that all speeds are learned and one loss costs less.
            key = (round(seconds, 2), plan.used_share())
            if best is None or key < best_key:
                best, best_s, best_key = plan, seconds, key
        if best is None:
            continue
        finish_s[item.lot] = max(finish_s.get(item.lot, 0.0), best_s)
        if best.place(item):
            starts.append(Start(item, best.state.id))
    return starts, finish_s
