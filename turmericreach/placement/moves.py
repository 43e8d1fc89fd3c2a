"""Which running items go on at a faster engine."""

from collections.abc import Iterable

import attrs

from turmericreach.placement.engines import DEFAULT_EVENT_S, EngineState

__all__ = ["Move", "RunningItem", "expected_left", "plan_moves"]

# The new engine reads the prompt and the text again, and the request is sent once more.
MOVE_COST_S = 0.1
# A move must save at least this much, since the estimates are rough.
MIN_GAIN_S = 0.4
# An engine must be faster by this factor.
MIN_SPEED_FACTOR = 1.3
# An item that has been moved so often stays.
MAX_MOVES = 3
# The longer an item already is, the more is expected of it beyond its estimate.
OVERRUN_SHARE = 0.4
LEAST_LEFT_EVENTS = 2.0


@attrs.frozen
class RunningItem:
    """An item that runs at an engine.

    Attributes
    ----------
    lot, item : str
        Names it.
    model : str
        Model that generates it.
    min_version : int
        Oldest version of the weights that may.
    engine : str
        Where it runs.
    left_events : float
        Expected events still to be made.
    moves : int
        How often it has been moved.
    silent_s : float
        Seconds for which it has waited for the first event of its run, 0 if that has come.
    """

    lot: str
    item: str
    model: str
    min_version: int
    engine: str
    left_events: float
    moves: int = 0
    silent_s: float = 0.0


@attrs.frozen
class Move:
    """An item and the engine at which it goes on."""

    item: RunningItem
    engine: str


def expected_left(expected: float, made: int) -> float:
    """Return the expected number of events left of an item.

    Estimates are right at the median only, and lengths have a long tail.
    """
    return max(expected - made, OVERRUN_SHARE * made, LEAST_LEFT_EVENTS)


def plan_moves(running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
    """Return the items to move now.

    Load pattern: a lot ends with a few long items. Some run at engines that are slower by two
    or have turned slow, while slots of faster ones are free. Reading an item's text again takes
    some 20 ms, so that it ends sooner at the faster engine. Others wait at an engine that has
    lost their request, or does not work, while slots elsewhere are free.
    """
    states = {engine.id: engine for engine in engines}
    free = {
        engine.id: engine.slots - len(engine.busy_s)
        for engine in states.values()
        if not engine.suspect and engine.ready_in_s <= 0
    }
    moves = []
    for item in sorted(running, key=lambda item: -left_s(item, states)):
        target = next_engine(item, states, free)
        if target is None:
            continue
        free[target] -= 1
        moves.append(Move(item, target))
    return moves


def event_s(engine: EngineState | None) -> float:
    """Return the seconds an event at an engine."""
    return DEFAULT_EVENT_S if engine is None or not engine.event_s else engine.event_s


def left_s(item: RunningItem, states: dict[str, EngineState]) -> float:
    """Return the seconds that an item still takes where it runs."""
    return item.left_events * event_s(states.get(item.engine))


def next_engine(
    item: RunningItem, states: dict[str, EngineState], free: dict[str, int]
) -> str | None:
    """Return the engine at which an item should go on, or None."""
    here = states.get(item.engine)
    if item.moves >= MAX_MOVES or here is None:
        return None
    if not item.silent_s:
        return faster_engine(item, states, free)
    if item.silent_s < here.first_event_limit_s:
        return None
    return fastest_engine(item, states, free, float("inf"))


def faster_engine(
    item: RunningItem, states: dict[str, EngineState], free: dict[str, int]
) -> str | None:
    """Return the engine at which an item would end clearly sooner, or None."""
    here_s = event_s(states[item.engine])
    best = fastest_engine(item, states, free, here_s / MIN_SPEED_FACTOR)
    if best is None:
        return None
    gain_s = item.left_events * (here_s - event_s(states[best])) - MOVE_COST_S
    return best if gain_s >= MIN_GAIN_S else None


def fastest_engine(
    item: RunningItem, states: dict[str, EngineState], free: dict[str, int], below_s: float
) -> str | None:
    """Return the fastest other engine that can take an item, or None.

    Parameters
    ----------
    below_s : float
        Seconds an event that the engine must stay below.
    """
    best, best_s = None, below_s
    for engine_id, slots in free.items():
        state = states[engine_id]
        if slots <= 0 or engine_id == item.engine:
            continue
        if state.versions.get(item.model, 0) < item.min_version:
            continue
        if event_s(state) < best_s:
            best, best_s = engine_id, event_s(state)
    return best
