"""Orders of waiting items that the comparison includes."""

from collections.abc import Callable, Iterable, Mapping

from turmericreach.placement import EngineState, ExpectedEnd, LeastSlack, Start, WaitingItem
from turmericreach.placement.engines import simulate
from turmericreach.placement.slack import slack_order, typical_event_s

__all__ = ["ORACLE", "ORDERS", "SortedItems"]

# The policy of the product with estimates that are the true lengths.
ORACLE = "oracle"

Order = Callable[[list[WaitingItem]], list[WaitingItem]]


class SortedItems(ExpectedEnd):
    """Places items in an order of their own where each is expected to end soonest."""

    def __init__(self, order: Order):
        self.order = order

    def starts(
        self,
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return the items to start now and the engine for each."""
        return simulate(self.order(list(items)), list(engines))[0]


def first_in_first_out(items: list[WaitingItem]) -> list[WaitingItem]:
    """Return the items in the order in which they came."""
    return items


def earliest_due(items: list[WaitingItem]) -> list[WaitingItem]:
    """Return the items by the time at which their lot is due."""
    return sorted(items, key=lambda item: item.due_in_s)


def weighted_fair(items: list[WaitingItem]) -> list[WaitingItem]:
    """Return the items so that the open lots get equal parts of the work that starts."""
    given: dict[str, float] = {}
    keys = {}
    for item in items:
        given[item.lot] = given.get(item.lot, 0.0) + item.remaining_events
        keys[item.item] = given[item.lot]
    return sorted(items, key=lambda item: keys[item.item])


def shortest_group(items: list[WaitingItem]) -> list[WaitingItem]:
    """Return the items by the work that is left of their group."""
    return sorted(items, key=lambda item: (item.group_events, item.group))


class SlackAlone(ExpectedEnd):
    """Starts items by their slack, whatever the load."""

    @staticmethod
    def starts(
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return the items to start now and the engine for each."""
        states = list(engines)
        event_s = typical_event_s(states)
        return simulate(sorted(items, key=lambda item: slack_order(item, event_s)), states)[0]


ORDERS: dict[str, Callable[[], ExpectedEnd]] = {
    "expected end": ExpectedEnd,
    "least slack": LeastSlack,
    "slack alone": SlackAlone,
    "first in, first out": lambda: SortedItems(first_in_first_out),
    "earliest due": lambda: SortedItems(earliest_due),
    "weighted fair": lambda: SortedItems(weighted_fair),
    "shortest group": lambda: SortedItems(shortest_group),
    ORACLE: LeastSlack,
}
