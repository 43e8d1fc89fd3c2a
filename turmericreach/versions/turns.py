"""Turns of models that are more than there are engines. There is no input or output here."""

from collections.abc import Collection, Mapping

import attrs

from turmericreach.versions.assignment import ModelNeeds
from turmericreach.versions.engine_view import EngineView

__all__ = ["ModelTurns", "turn_s"]

# A turn lasts at least this long, so that loads, which take about a second, are a small part of it.
MIN_TURN_S = 3.0
# A model without waiting items gives its engine up after this time, about that of a load.
MIN_IDLE_TURN_S = 1.0


def turn_s(engines: int, working: int, due_s: float) -> float:
    """Return the seconds of a turn with which each model is served once until a lot is due.

    Parameters
    ----------
    engines : int
        Number of engines.
    working : int
        Number of models with work.
    due_s : float
        Seconds from the submission of a lot until it is due.
    """
    models_per_engine = -(-working // max(engines, 1))
    return max(due_s / max(models_per_engine, 1), MIN_TURN_S)


@attrs.define
class ModelTurns:
    """Passes engines on to models that have waiting items and no engine.

    A model gets an engine once the turn of another one is over, at the latest after the turns of
    all models that wait for longer.

    Attributes
    ----------
    began_at : dict of str to tuple
        Model of each engine, and the loop time in seconds at which its turn began.
    served_at : dict of str to float
        Loop time in seconds at which each model last had an engine.
    """

    began_at: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    served_at: dict[str, float] = attrs.field(factory=dict)

    def advance(
        self,
        views: Collection[EngineView],
        needs: ModelNeeds,
        assigned: dict[str, str],
        waiting: Collection[str],
        turn_s: float,
        now: float,
    ) -> frozenset[str]:
        """End the turns that are over, and return the engines reserved for their model.

        Parameters
        ----------
        views : collection of EngineView
            Engines that accept requests.
        needs : ModelNeeds
            What the models need.
        assigned : dict of str to str
            Model of each engine, changed in place.
        waiting : collection of str
            Models with items that wait.
        turn_s : float
            Seconds of a turn.
        now : float
            Loop time in seconds.
        """
        self.record(assigned, now)
        unserved = self.unserved(views, needs, assigned, waiting)
        for model in unserved:
            usable = [view for view in views if needs.can_serve(view, model)]
            ended = [view for view in usable if self.is_over(view, assigned, waiting, turn_s, now)]
            if not ended:
                continue
            longest = min(ended, key=lambda view: (self.began_at[view.id][1], view.id))
            assigned[longest.id] = model
            self.record(assigned, now)
        return self.reserved(views, needs, assigned, waiting)

    def record(self, assigned: Mapping[str, str], now: float) -> None:
        """Record when the turn of each engine's present model began."""
        for engine, model in assigned.items():
            self.served_at[model] = now
            if self.began_at.get(engine, ("", 0.0))[0] != model:
                self.began_at[engine] = (model, now)
        for engine in self.began_at.keys() - assigned.keys():
            del self.began_at[engine]

    def unserved(
        self,
        views: Collection[EngineView],
        needs: ModelNeeds,
        assigned: Mapping[str, str],
        waiting: Collection[str],
    ) -> list[str]:
        """Return the models that wait without an engine, those that wait longest first."""
        served = set(assigned.values())
        found = []
        for model in waiting:
            if model in served:
                continue
            if any(needs.can_serve(view, model) for view in views):
                found.append(model)
        return sorted(found, key=lambda model: (self.served_at.get(model, float("-inf")), model))

    def is_over(
        self,
        view: EngineView,
        assigned: Mapping[str, str],
        waiting: Collection[str],
        turn_s: float,
        now: float,
    ) -> bool:
        """Return whether the turn at an engine is over."""
        owner = assigned.get(view.id)
        if owner is None:
            return False
        held_s = now - self.began_at[view.id][1]
        return held_s >= (turn_s if owner in waiting else min(turn_s, MIN_IDLE_TURN_S))

    def reserved(
        self,
        views: Collection[EngineView],
        needs: ModelNeeds,
        assigned: Mapping[str, str],
        waiting: Collection[str],
    ) -> frozenset[str]:
        """Return the engines at which only items of their model start, while others wait."""
        unserved = self.unserved(views, needs, assigned, waiting)
        found = set()
        for view in views:
            if assigned.get(view.id) not in waiting:
                continue
            if any(needs.can_serve(view, model) for model in unserved):
                found.add(view.id)
        return frozenset(found)
