"""Which waiting items start at which engines."""

from collections.abc import Iterable

import attrs

__all__ = ["EngineState", "Start", "WaitingItem", "plan_starts"]

# Assumed until an engine has produced events.
DEFAULT_EVENT_S = 0.045
# An engine that has read a group's prompt is preferred up to this much more time.
SAME_GROUP_BONUS_S = 0.3


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
    due_at : float
        Loop time at which its lot is due.
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
    due_at: float
    priority: int
    excluded: frozenset[str] = frozenset()


@attrs.define
class EngineState:
    """An engine as far as placement needs it.

    Attributes
    ----------
    id : str
        The target.
    free_slots : int
        Requests that would start at once.
    versions : dict of str to int
        Loaded versions by model.
    event_s : float
        Seconds an event, 0 if not known.
    suspect : bool
        Whether it failed recently.
    groups : set of str
        Groups whose prompt it has read.
    """

    id: str
    free_slots: int
    versions: dict[str, int]
    event_s: float = 0.0
    suspect: bool = False
    groups: set[str] = attrs.field(factory=set)


@attrs.frozen
class Start:
    """An item and the engine at which it starts."""

    item: WaitingItem
    engine: str


def plan_starts(items: Iterable[WaitingItem], engines: Iterable[EngineState]) -> list[Start]:
    """Return the items that start now, in order.

    Load pattern: lots arrive whole, with more items than there are slots, and a lot is worth
    what its complete groups are. The longest items decide when a lot ends, so they start first
    and at the fastest engines. Carried groups come before others.
    """
    free = [attrs.evolve(engine, groups=set(engine.groups)) for engine in engines]
    starts = []
    for item in sorted(items, key=waiting_order):
        engine = choose_engine(item, free)
        if engine is None:
            continue
        engine.free_slots -= 1
        engine.groups.add(item.group)
        starts.append(Start(item, engine.id))
    return starts


def waiting_order(item: WaitingItem) -> tuple:
    """Return the key by which waiting items are sorted."""
    return (item.due_at, not item.carried, item.priority, -item.remaining_events, item.item)


def choose_engine(item: WaitingItem, engines: Iterable[EngineState]) -> EngineState | None:
    """Return the engine at which an item would end first, or None if none is free."""
    best, best_key = None, None
    for engine in engines:
        if engine.free_slots <= 0 or engine.id in item.excluded:
            continue
        if engine.versions.get(item.model, 0) < item.min_version:
            continue
        duration_s = item.remaining_events * (engine.event_s or DEFAULT_EVENT_S)
        if item.group in engine.groups:
            duration_s -= SAME_GROUP_BONUS_S
        key = (engine.suspect, duration_s, -engine.free_slots, engine.id)
        if best_key is None or key < best_key:
            best, best_key = engine, key
    return best
