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

    choose = staticmethod(choose_target)
    starts = staticmethod(plan_starts)
    moves = staticmethod(plan_moves)


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
            usable = [state for state in states if free[state.id] > 0 and state.starts_now(item)]
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


DEFAULT_POLICY = "expected-end"
POLICIES = {DEFAULT_POLICY: ExpectedEnd, "round-robin": RoundRobin}
