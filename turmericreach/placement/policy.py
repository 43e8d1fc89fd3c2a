"""The placement policies that a process can be configured with."""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Protocol

from turmericreach.placement.budgets import Budget
from turmericreach.placement.engines import EngineState, Start, WaitingItem, plan_starts
from turmericreach.placement.lasting_moves import plan_lasting_moves
from turmericreach.placement.moves import Move, RunningItem, plan_moves
from turmericreach.placement.slack import OVERSUBSCRIBED_USE, plan_starts_by_slack
from turmericreach.placement.target_choice import choose_target, spread_choice
from turmericreach.services import Target

__all__ = [
    "DEFAULT_POLICY",
    "OVERLOAD_POLICY",
    "POLICIES",
    "ExpectedEnd",
    "LeastSlack",
    "PlacementPolicy",
    "RoundRobin",
    "SwitchedPolicy",
    "present_policy",
]

# Moves for each start, and the number that may be saved up for the time when a fifth of the engines
# becomes slow at once. So at most 7% of the runs are ended by moves for speed.
MOVE_SHARE = 0.07
MOVE_BURST = 24.0


class PlacementPolicy(Protocol):
    """Interface of the decisions on where requests and items are placed.

    Attributes
    ----------
    uses_lasting_speed : bool
        Whether engines are described by their speed over more than a second.
    """

    uses_lasting_speed: bool

    def choose(
        self,
        candidates: Iterable[Target],
        now: float,
        data_centre: str,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return a target for one request, None if no candidate is usable."""

    def starts(
        self,
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return the items to start now and the engine for each."""

    def moves(self, running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
        """Return the running items to move and the new engine of each."""


class ExpectedEnd:
    """Places each request and each item where it is expected to end soonest."""

    uses_lasting_speed = False
    choose = staticmethod(choose_target)
    starts = staticmethod(plan_starts)
    moves = staticmethod(plan_moves)


class LeastSlack(ExpectedEnd):
    """Starts the items first that can wait the shortest time, and spreads requests.

    Parameters
    ----------
    rng : random.Random, optional
        Source of random numbers for the choice among nearly equal targets.

    Attributes
    ----------
    move_budget : Budget
        Moves that the starts so far permit.
    use_by_model : dict of str to float
        Expected use of the engines of each model at the last decision, as a share of what they
        complete until the last lot is due.
    """

    uses_lasting_speed = True

    def __init__(self, rng: random.Random | None = None):
        self.rng = rng or random.Random()
        self.move_budget = Budget(MOVE_SHARE, MOVE_BURST)
        self.use_by_model: dict[str, float] = {}

    def choose(
        self,
        candidates: Iterable[Target],
        now: float,
        data_centre: str,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return a target with a nearly shortest expected wait."""
        return spread_choice(candidates, now, data_centre, excluded, self.rng)

    def starts(
        self,
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return the items to start now, those with the least slack first."""
        found = plan_starts_by_slack(items, engines, division, self.use_by_model)
        self.move_budget.earn(len(found))
        return found

    def moves(self, running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
        """Return the items that leave engines whose slowness lasts, within the budget."""
        return plan_lasting_moves(running, engines, self.move_budget)

    def oversubscribed_models(self) -> frozenset[str]:
        """Return the models whose groups are completed one after another."""
        return frozenset(
            model for model, use in self.use_by_model.items() if use >= OVERSUBSCRIBED_USE
        )


class SwitchedPolicy:
    """Uses one policy or another, as the load calls for.

    Attributes
    ----------
    usual, overloaded : PlacementPolicy
        Policies without and with control of overload.
    is_on : callable
        Returns whether overload is controlled.
    """

    def __init__(
        self, usual: PlacementPolicy, overloaded: PlacementPolicy, is_on: Callable[[], bool]
    ):
        self.usual = usual
        self.overloaded = overloaded
        self.is_on = is_on

    @property
    def present(self) -> PlacementPolicy:
        """The policy in use."""
        return self.overloaded if self.is_on() else self.usual

    @property
    def uses_lasting_speed(self) -> bool:
        """Whether engines are described by their speed over more than a second."""
        return self.present.uses_lasting_speed

    def choose(
        self,
        candidates: Iterable[Target],
        now: float,
        data_centre: str,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return a target for one request, None if no candidate is usable."""
        return self.present.choose(candidates, now, data_centre, excluded)

    def starts(
        self,
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return the items to start now and the engine for each."""
        return self.present.starts(items, engines, division)

    def moves(self, running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
        """Return the running items to move and the new engine of each."""
        return self.present.moves(running, engines)


def present_policy(policy: PlacementPolicy) -> PlacementPolicy:
    """Return the policy in use: that of a switched one, or the policy itself."""
    return policy.present if isinstance(policy, SwitchedPolicy) else policy


class RoundRobin:
    """A baseline for measurements: targets in turn, items in the given order, no moves.

    Attributes
    ----------
    choices_made : int
        Number of targets and engines chosen so far.
    """

    uses_lasting_speed = False

    def __init__(self):
        self.choices_made = 0

    def choose(
        self,
        candidates: Iterable[Target],
        now: float,
        data_centre: str,
        excluded: Collection[str] = (),
    ) -> Target | None:
        """Return the next target that is not excluded."""
        usable = [target for target in candidates if target.id not in excluded]
        if not usable:
            return None
        self.choices_made += 1
        return usable[self.choices_made % len(usable)]

    def starts(
        self,
        items: Iterable[WaitingItem],
        engines: Iterable[EngineState],
        division: Mapping[str, str],
    ) -> list[Start]:
        """Return starts for the items in the given order while engines have free slots."""
        states = list(engines)
        free = {state.id: state.startable_slots() for state in states}
        found = []
        for item in items:
            usable = [state for state in states if free[state.id] > 0 and state.can_start_now(item)]
            if not usable:
                continue
            self.choices_made += 1
            engine = usable[self.choices_made % len(usable)].id
            free[engine] -= 1
            found.append(Start(item, engine))
        return found

    def moves(self, running: Iterable[RunningItem], engines: Iterable[EngineState]) -> list[Move]:
        """Return no moves: items stay at their engine."""
        return []


DEFAULT_POLICY = "expected-end"
# Used where the settings ask for control of overload.
OVERLOAD_POLICY = "least-slack"
POLICIES = {
    DEFAULT_POLICY: ExpectedEnd,
    OVERLOAD_POLICY: LeastSlack,
    "round-robin": RoundRobin,
}
