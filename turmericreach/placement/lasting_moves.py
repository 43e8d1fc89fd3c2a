"""Selection of running items that leave an engine whose slowness lasts."""

from collections.abc import Iterable

from turmericreach.placement.budgets import Budget
from turmericreach.placement.engines import EngineState
from turmericreach.placement.moves import (
    MAX_MOVES,
    Move,
    RunningItem,
    best_engine,
    end_elsewhere_s,
    event_s,
    free_slots,
    next_engine,
    remaining_s,
)

__all__ = ["plan_lasting_moves"]

# The first event after a move takes 20 to 50 ms, and the run before it ends within an event of
# 46 ms.
MOVE_COST_S = 0.1
# Minimum gain and factor of speed. An item that would end late needs less.
MIN_GAIN_S = 0.8
MIN_SPEED_FACTOR = 1.6
MIN_LATE_GAIN_S = 0.4
MIN_LATE_SPEED_FACTOR = 1.3


def plan_lasting_moves(
    running: Iterable[RunningItem], engines: Iterable[EngineState], budget: Budget
) -> list[Move]:
    """Return the items to move now and the new engine of each, those with most left first.

    Load pattern: many engines are slow for less than a second, and a few for several seconds. Each
    move ends a run and takes the slot of an item that waits. So an item moves only if the lasting
    speeds of the two engines differ clearly, or if it would end late, and moves are a small share
    of the starts. An item without a first event moves as by `plan_moves`, whatever the budget: its
    engine has lost it.

    Parameters
    ----------
    running : iterable of RunningItem
        Items that may move.
    engines : iterable of EngineState
        Engines with their lasting seconds per event.
    budget : Budget
        Moves that are permitted.
    """
    states = {engine.id: engine for engine in engines}
    free = free_slots(states)
    moves = []
    for item in sorted(running, key=lambda item: -remaining_s(item, states)):
        if item.first_event_wait_s:
            target = next_engine(item, states, free)
        else:
            target = lastingly_faster_engine(item, states, free)
            if target is not None and not budget.take():
                target = None
        if target is None:
            continue
        free[target] -= 1
        moves.append(Move(item, target))
    return moves


def lastingly_faster_engine(
    item: RunningItem, states: dict[str, EngineState], free: dict[str, int]
) -> str | None:
    """Return the id of an engine at which an item would end clearly sooner, or None."""
    current = states.get(item.engine)
    if item.moves >= MAX_MOVES or current is None:
        return None
    end_s = remaining_s(item, states)
    late = end_s > item.due_in_s
    factor = MIN_LATE_SPEED_FACTOR if late else MIN_SPEED_FACTOR
    best = best_engine(item, states, free, event_s(current) / factor)
    if best is None:
        return None
    gain_s = end_s - end_elsewhere_s(item, states[best]) - MOVE_COST_S
    return best if gain_s >= (MIN_LATE_GAIN_S if late else MIN_GAIN_S) else None
