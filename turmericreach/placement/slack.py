"""Scheduling of waiting items by the time that each can still wait, or by groups if too many do."""

from collections.abc import Callable, Iterable, Mapping

from turmericreach.placement.engines import (
    DEFAULT_EVENT_S,
    EngineState,
    Start,
    WaitingItem,
    restrict_versions,
    shortlist,
    simulate,
)

__all__ = ["OVERSUBSCRIBED_USE", "plan_starts_by_slack"]

# From this expected use of the engines on, groups are completed one after another. Estimates are
# rough, and in the replays (docs/design/load-shedding.md) 0.8 and 1.0 gave less at full load.
OVERSUBSCRIBED_USE = 1.2
# Lots that are due sooner than this count as due then, so that the use stays finite.
MIN_DUE_S = 0.5


def plan_starts_by_slack(
    items: Iterable[WaitingItem],
    engines: Iterable[EngineState],
    division: Mapping[str, str] | None = None,
    use_by_model: dict[str, float] | None = None,
) -> list[Start]:
    """Return the items to start now and the engine for each, in an order that suits the load.

    Load pattern: a trainer has two lots open, each with more items than its model has slots, and
    waits for the longest items, which take nearly all the time until their lot is due. If lots
    were served one after another, the long items of the second lot would wait behind the short
    ones of the first, which have seconds to spare, and each late lot delays the next steps of its
    trainer. So the slack decides across lots: the time until the lot is due less the time that the
    item needs. Items of groups that the trainer does not need start last.

    With more work than the engines complete until the lots are due, this order would make all
    groups late together, since it starts the longest items of all of them. Then lots that are
    still expected to be in time are served by slack. Those that are not are served with what is
    left, by whole groups: first the groups that can be complete in time, and among these the one
    with the least work left.

    Parameters
    ----------
    items : iterable of WaitingItem
        Items that wait for an engine.
    engines : iterable of EngineState
        Engines of the service.
    division : dict of str to str, optional
        Model that each engine serves, by engine id.
    use_by_model : dict of str to float, optional
        Receives the expected use of the engines of each model that has waiting items.

    Returns
    -------
    list of Start
        Items that start now, in the order of placement.
    """
    uses = {} if use_by_model is None else use_by_model
    waiting = list(items)
    states = shortlist(waiting, restrict_versions(waiting, list(engines), division or {}))
    event_s = typical_event_s(states)
    waiting.sort(key=lambda item: slack_order(item, event_s))
    starts, finish_s = simulate(waiting, states)
    for model in {item.model for item in waiting}:
        uses[model] = expected_use(waiting, states, model)
    late = set()
    for item in waiting:
        if uses[item.model] >= OVERSUBSCRIBED_USE and finish_s.get(item.lot, 0.0) > max(
            item.due_in_s, 0.0
        ):
            late.add(item.lot)
    if not late:
        return starts
    waiting.sort(key=order_by_groups(waiting, late, event_s))
    starts, _ = simulate(waiting, states)
    return starts


def typical_event_s(states: list[EngineState]) -> float:
    """Return the median of the seconds per event of the engines, a default if all are unknown."""
    known = sorted(state.event_s for state in states if state.event_s)
    return known[len(known) // 2] if known else DEFAULT_EVENT_S


def expected_use(items: list[WaitingItem], states: list[EngineState], model: str) -> float:
    """Return the expected work of a model as a share of what its engines complete until it is due.

    The time ends when the last of the model's lots is due; work that runs already is part of it.
    """
    usable = [state for state in states if state.versions.get(model, 0) > 0]
    slots = sum(state.slots for state in usable)
    if not slots:
        return 0.0
    event_s = typical_event_s(usable)
    work_s = sum(sum(state.busy_s) for state in usable)
    due_in_s = MIN_DUE_S
    for item in items:
        if item.model != model:
            continue
        work_s += item.remaining_events * event_s
        due_in_s = max(due_in_s, item.due_in_s)
    return work_s / (slots * due_in_s)


def slack_order(item: WaitingItem, event_s: float) -> tuple:
    """Return a sort key of items, those that can wait the shortest time first."""
    slack_s = item.due_in_s - item.remaining_events * event_s
    return (item.surplus, slack_s, item.priority, item.item)


def order_by_groups(
    items: list[WaitingItem], late: set[str], event_s: float
) -> Callable[[WaitingItem], tuple]:
    """Return a sort key that serves the lots in time by slack and the others group by group.

    Parameters
    ----------
    items : list of WaitingItem
        All items that wait.
    late : set of str
        Lots that are expected to end after they are due.
    event_s : float
        Seconds per event.
    """
    longest: dict[str, float] = {}
    left: dict[str, float] = {}
    for item in items:
        longest[item.group] = max(longest.get(item.group, 0.0), item.remaining_events)
        left[item.group] = max(left.get(item.group, 0.0), item.group_events)

    def key(item: WaitingItem) -> tuple:
        if item.lot not in late:
            return (item.surplus, False, False, 0.0, "", *slack_order(item, event_s))
        too_long = longest[item.group] * event_s > item.due_in_s
        group = (left[item.group], item.group)
        return (item.surplus, True, too_long, *group, *slack_order(item, event_s))

    return key
