"""The placement policies that a process can be started with."""

from collections.abc import Collection, Iterable, Mapping
from typing import Protocol

from turmericreach.placement.engines import EngineState, Start, WaitingItem, plan_starts
from turmericreach.placement.moves import Move, RunningItem, plan_moves
from turmericreach.placement.plain import choose_target
from turmericreach.services import Target

__all__ = ["DEFAULT_POLICY", "POLICIES", "ExpectedEnd", "PlacementPolicy", "RoundRobin"]


class PlacementPolicy(Protocol):
    """Decides where requests and items go."""

    def choose(
        self,
        candidates: Iterable[Target],
        now: float,
        data_centre: str,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return a target for one request, None if there is none."""

    def starts(
        self,
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return the items that start now."""

    def moves(self, running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
        """Return the running items that go on elsewhere."""


class ExpectedEnd:
    """Places each request and item where it is expected to end soonest."""

    def choose(
        self,
        candidates: Iterable[Target],
        now: float,
        data_centre: str,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return the target with the shortest expected wait."""
        return choose_target(candidates, now, data_centre, excluded)

    def starts(
        self,
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return the items that start now, the longest and the late groups first."""
        return plan_starts(items, engines, division)

    def moves(self, running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
        """Return the items that end clearly sooner elsewhere."""
        return plan_moves(running, engines)


class RoundRobin:
    """The baseline for measurements: targets in turn, items in their order, no moves.

    Attributes
    ----------
    turn : int
        Choices made so far.
    """

    def __init__(self):
        self.turn = 0

    def choose(
        self,
        candidates: Iterable[Target],
        now: float,
        data_centre: str,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return the next target that has not been tried."""
        usable = [target for target in candidates if target.id not in excluded]
        if not usable:
            return None
        self.turn += 1
        return usable[self.turn % len(usable)]

    def starts(
        self,
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return a start for each item in its order while engines have slots."""
        states = list(engines)
        free = {state.id: state.slots - len(state.busy_s) for state in states}
        found = []
        for item in items:
            usable = [state for state in states if takes(state, item) and free[state.id] > 0]
            if not usable:
                continue
            self.turn += 1
            engine = usable[self.turn % len(usable)].id
            free[engine] -= 1
            found.append(Start(item, engine))
        return found

    def moves(self, running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
        """Return nothing: items stay where they are."""
        return []


def takes(state: EngineState, item: WaitingItem) -> bool:
    """Return whether an engine may run an item."""
    if state.id in item.excluded or state.ready_in_s > 0:
        return False
    return state.versions.get(item.model, 0) >= item.min_version


DEFAULT_POLICY = "expected-end"
POLICIES = {DEFAULT_POLICY: ExpectedEnd, "round-robin": RoundRobin}
