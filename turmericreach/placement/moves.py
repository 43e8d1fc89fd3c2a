"""Selection of running items that continue at another engine."""

from collections.abc import Iterable

import attrs

from turmericreach.placement.engines import (
    DEFAULT_EVENT_S,
    MAX_ENGINES_COMPARED,
    EngineState,
)

__all__ = ["Move", "RunningItem", "expected_remaining_events", "plan_moves"]

# Cost of a move: the request is sent again, and the new engine reads the prompt and the text
# generated so far.
MOVE_COST_S = 0.1
# Minimum time that a move must save, since the estimates are rough.
MIN_GAIN_S = 0.4
# The new engine must be faster by at least this factor.
MIN_SPEED_FACTOR = 1.3
# An item that has been moved this many times is not moved again.
MAX_MOVES = 3
# Fraction of the events generated so far that is expected as the remainder of an item that exceeds
# its estimate: the longer an item already is, the more events are likely to follow.
OVERRUN_SHARE = 0.4
MIN_REMAINING_EVENTS = 2.0


@attrs.frozen
class RunningItem:
    """An item that runs at an engine.

    Attributes
    ----------
    lot, item : str
        Names of the lot and of the item.
    model : str
        Model that generates the item.
    min_version : int
        Oldest version of the weights that may generate the item.
    engine : str
        Id of the engine that runs the item.
    remaining_events : float
        Expected number of events that have not been generated yet.
    moves : int
        Number of times that the item has been moved.
    first_event_wait_s : float
        Seconds since the run began without a first event; 0 once the first event has arrived.
    software : str
        Software that generated the text so far, empty if there is no text.
    generated_events : int
        Number of events of that text, which other software generates again.
    due_in_s : float
        Seconds until the lot is due; negative once that time has passed.
    services : frozenset of str or None
        Services that may run the item, None for any.
    """

    lot: str
    item: str
    model: str
    min_version: int
    engine: str
    remaining_events: float
    moves: int = 0
    first_event_wait_s: float = 0.0
    software: str = ""
    generated_events: int = 0
    due_in_s: float = float("inf")
    services: frozenset[str] | None = None


@attrs.frozen
class Move:
    """An item and the engine at which it continues."""

    item: RunningItem
    engine: str


def expected_remaining_events(expected: float, generated: int) -> float:
    """Return the expected number of events that an item has yet to generate.

    Estimates hold for the median only, and the distribution of lengths has a long tail.

    Parameters
    ----------
    expected : float
        Estimated number of events of the whole item.
    generated : int
        Number of events generated so far.
    """
    return max(expected - generated, OVERRUN_SHARE * generated, MIN_REMAINING_EVENTS)


def plan_moves(running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
    """Return the items to move now and the new engine of each.

    Load pattern: a lot ends with a few long items. Some of them run at engines that are slower by a
    factor of two or have become slow, while faster engines have free slots. Reading the text of an
    item again takes about 20 ms, so the item ends sooner at the faster engine. Other items wait at
    an engine that has lost their request or has stopped working, while other engines have free
    slots.
    """
    states = {engine.id: engine for engine in engines}
    free = free_slots(states)
    moves = []
    for item in sorted(running, key=lambda item: -remaining_s(item, states)):
        target = next_engine(item, states, free)
        if target is None:
            continue
        free[target] -= 1
        moves.append(Move(item, target))
    return moves


def free_slots(states: dict[str, EngineState]) -> dict[str, int]:
    """Return the free slots of the engines to which items may move, by id."""
    free = {
        engine.id: engine.slots - len(engine.busy_s)
        for engine in states.values()
        # The starts at an engine with a limit are left to the items that wait.
        if not engine.suspected and engine.ready_in_s <= 0 and engine.permits is None
    }
    return fastest_first(free, states)


def fastest_first(free: dict[str, int], states: dict[str, EngineState]) -> dict[str, int]:
    """Return the free engines, or the fastest of them if there are too many to compare."""
    if len(free) <= MAX_ENGINES_COMPARED:
        return free
    usable = [engine_id for engine_id, slots in free.items() if slots > 0]
    usable.sort(key=lambda engine_id: event_s(states[engine_id]))
    return {engine_id: free[engine_id] for engine_id in usable[:MAX_ENGINES_COMPARED]}


def event_s(engine: EngineState | None) -> float:
    """Return the seconds per event at an engine, a default if they are unknown."""
    return DEFAULT_EVENT_S if engine is None or not engine.event_s else engine.event_s


def remaining_s(item: RunningItem, states: dict[str, EngineState]) -> float:
    """Return the expected seconds until an item ends at its current engine."""
    return item.remaining_events * event_s(states.get(item.engine))


def next_engine(
    item: RunningItem, states: dict[str, EngineState], free: dict[str, int]
) -> str | None:
    """Return the id of the engine to which an item should move, or None."""
    current = states.get(item.engine)
    if item.moves >= MAX_MOVES or current is None:
        return None
    if not item.first_event_wait_s:
        return faster_engine(item, states, free)
    if item.first_event_wait_s < current.first_event_timeout_s:
        return None
    return best_engine(item, states, free, float("inf"))


def faster_engine(
    item: RunningItem, states: dict[str, EngineState], free: dict[str, int]
) -> str | None:
    """Return the id of an engine at which an item would end clearly sooner, or None."""
    current_event_s = event_s(states[item.engine])
    best = best_engine(item, states, free, current_event_s / MIN_SPEED_FACTOR)
    if best is None:
        return None
    end_s = item.remaining_events * current_event_s
    gain_s = end_s - end_elsewhere_s(item, states[best]) - MOVE_COST_S
    return best if gain_s >= MIN_GAIN_S else None


def end_elsewhere_s(item: RunningItem, engine: EngineState) -> float:
    """Return the seconds until an item would end at another engine.

    An engine with other software than that of the text generates the whole text again.
    """
    return engine.events_to_generate(item) * event_s(engine)


def best_engine(
    item: RunningItem, states: dict[str, EngineState], free: dict[str, int], max_event_s: float
) -> str | None:
    """Return the id of the other engine at which an item would end first, or None.

    Parameters
    ----------
    item : RunningItem
        Item to be moved.
    states : dict of str to EngineState
        All engines by id.
    free : dict of str to int
        Number of free slots by id, for the engines that accept requests.
    max_event_s : float
        Upper bound, exclusive, of the engine's seconds per event.
    """
    best, best_s = None, float("inf")
    for engine_id, slots in free.items():
        state = states[engine_id]
        if slots <= 0 or engine_id == item.engine:
            continue
        if not state.suits(item):
            continue
        if event_s(state) >= max_event_s:
            continue
        end_s = end_elsewhere_s(item, state)
        if end_s < best_s:
            best, best_s = engine_id, end_s
    return best
