"""Assignment of engines to models. There is no input or output here."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from turmericreach.versions.engine_view import EngineView

__all__ = ["ModelNeeds", "assign_models"]

# A new assignment of engines to models is used only if it shortens the longest lot time of all
# models by more than this factor, since each reassignment of an engine costs a load.
MIN_REASSIGNMENT_GAIN = 1.3
# An engine whose limit permits nothing counts as this slow, in events per second.
MIN_CAPACITY = 1e-9


@attrs.frozen
class ModelNeeds:
    """What the models need of the engines.

    Attributes
    ----------
    demand : dict of str to float
        Expected work of a lot of each model, in events or another unit common to all models; 0 for
        a model without any.
    services : dict of str to frozenset of str
        Services to which the lots of a model go. A model that is missing may use any engine.
    working : frozenset of str or None
        Models that have work now and come before the others if engines do not suffice; None for
        all.
    """

    demand: Mapping[str, float]
    services: Mapping[str, frozenset[str]] = attrs.field(factory=dict)
    working: frozenset[str] | None = None

    def can_serve(self, view: EngineView, model: str) -> bool:
        """Return whether the lots of a model go to the service of an engine."""
        services = self.services.get(model)
        return services is None or view.service in services

    def is_working(self, model: str) -> bool:
        """Return whether a model has work now."""
        return self.working is None or model in self.working

    def wanted(self) -> dict[str, float]:
        """Return the demand of the models that have any, of all models if none has."""
        found = {model: demand for model, demand in self.demand.items() if demand > 0}
        return found or dict.fromkeys(self.demand, 1.0)


def assign_models(
    engines: Iterable[EngineView],
    needs: ModelNeeds | Mapping[str, float],
    former: Mapping[str, str],
) -> dict[str, str]:
    """Return the model that each engine serves, by engine id.

    Load pattern: the lots of several trainers differ in work, and the engines differ in speed. Each
    engine is kept up to date for one model only, since every load costs time. The engines
    are assigned so that the lots of all models would take about the same time. The former
    assignment is kept unless a new one is clearly better.

    With fewer engines than models, each engine serves another model with work, and models without
    work get none. `ModelTurns` lets the remaining models take turns.

    Parameters
    ----------
    engines : iterable of EngineView
        Engines that accept requests.
    needs : ModelNeeds or dict of str to float
        What the models need, or only their demand.
    former : dict of str to str
        Assignment so far; it may contain engines that no longer exist.
    """
    if not isinstance(needs, ModelNeeds):
        needs = ModelNeeds(needs)
    views = list(engines)
    if not needs.demand or not views:
        return {}
    demand = needs.wanted()
    kept = {}
    for view in views:
        model = former.get(view.id)
        if model in demand and needs.can_serve(view, model):
            kept[view.id] = model
    plan = AssignmentPlan(views, demand, needs)
    kept = plan.complete(kept)
    plan.cover(kept)
    if plan.uncovered(kept):
        # Whichever models an assignment leaves out, the others seem to be served faster by it.
        return plan.with_idle(kept, former)
    best = plan.complete(plan.recent_models() if not former else {})
    plan.cover(best)
    if plan.lot_time_s(kept) <= MIN_REASSIGNMENT_GAIN * plan.lot_time_s(best):
        return plan.with_idle(kept, former)
    return plan.with_idle(best, former)


@attrs.frozen
class AssignmentPlan:
    """Finds assignments of some engines to the models that have demand.

    Attributes
    ----------
    views : list of EngineView
        Engines to assign.
    demand : dict of str to float
        Expected work of a lot of each model that is assigned engines.
    needs : ModelNeeds
        What all models need.
    """

    views: list[EngineView]
    demand: Mapping[str, float]
    needs: ModelNeeds

    def recent_models(self) -> dict[str, str]:
        """Return for each engine the model of which it has a newer version than of all others.

        With this a process that becomes coordinator continues the assignment of the former one.
        """
        found = {}
        for view in self.views:
            models = [model for model in self.demand if self.needs.can_serve(view, model)]
            versions = sorted((view.versions.get(model, 0), model) for model in models)
            if len(versions) == 1 or (versions and versions[-1][0] > versions[-2][0]):
                found[view.id] = versions[-1][1]
        return found

    def complete(self, fixed: Mapping[str, str]) -> dict[str, str]:
        """Assign each engine without a fixed model to the model in greatest need, fastest first."""
        assigned = dict(fixed)
        capacity = self.capacity_by_model(assigned)
        for view in sorted(self.views, key=lambda view: (-view.capacity(), view.id)):
            if view.id in assigned:
                continue
            models = [model for model in self.demand if self.needs.can_serve(view, model)]
            if not models:
                continue
            model = max(models, key=lambda name: self.need(name, capacity[name]))
            assigned[view.id] = model
            capacity[model] += max(view.capacity(), MIN_CAPACITY)
        return assigned

    def with_idle(self, assigned: dict[str, str], former: Mapping[str, str]) -> dict[str, str]:
        """Assign the engines that no model with demand can use to models without demand."""
        for view in self.views:
            if view.id in assigned:
                continue
            models = [model for model in self.needs.demand if self.needs.can_serve(view, model)]
            model = former.get(view.id)
            if model not in models:
                model = min(models, default=None)
            if model is not None:
                assigned[view.id] = model
        return assigned

    def need(self, model: str, capacity: float) -> tuple[bool, float, float, str]:
        """Return a sort key for a model's need of engines, highest for a model without any."""
        events = self.demand[model]
        if capacity <= 0:
            return (self.needs.is_working(model), float("inf"), events, model)
        return (False, events / capacity, events, model)

    def capacity_by_model(self, assigned: Mapping[str, str]) -> dict[str, float]:
        """Return the events per second of the engines of each model."""
        capacity = dict.fromkeys(self.demand, 0.0)
        for view in self.views:
            model = assigned.get(view.id)
            if model in capacity:
                capacity[model] += max(view.capacity(), MIN_CAPACITY)
        return capacity

    def lot_time_s(self, assigned: Mapping[str, str]) -> float:
        """Return the time that a lot takes for the model whose lots take longest.

        Models that no engine serves are left out, since all their times are infinite.
        """
        capacity = self.capacity_by_model(assigned)
        times = [self.demand[model] / found for model, found in capacity.items() if found > 0]
        return max(times, default=0.0)

    def uncovered(self, assigned: Mapping[str, str]) -> list[str]:
        """Return the models that no engine serves although one can, working ones first."""
        served = set(assigned.values())
        found = []
        for model in self.demand:
            if model in served:
                continue
            if any(self.needs.can_serve(view, model) for view in self.views):
                found.append(model)
        return sorted(found, key=self.urgency)

    def urgency(self, model: str) -> tuple[bool, float, str]:
        """Return a sort key of models, the most urgent first."""
        return (not self.needs.is_working(model), -self.demand[model], model)

    def cover(self, assigned: dict[str, str]) -> None:
        """Reassign engines so that as many models as possible have one, working models first."""
        for model in self.uncovered(assigned):
            if not self.give_engine(model, assigned, set()):
                self.take_engine(model, assigned)

    def give_engine(self, model: str, assigned: dict[str, str], visited: set[str]) -> bool:
        """Assign an engine to a model without leaving another model without one.

        An engine is spare if it has no model, or if its model has another engine. Otherwise its
        model may get another engine in turn.
        """
        counts = Counter(assigned.values())
        usable = [
            view
            for view in self.views
            if view.id not in visited and self.needs.can_serve(view, model)
        ]
        spare = [view for view in usable if counts[assigned.get(view.id)] != 1]
        if spare:
            best = max(spare, key=lambda view: self.suitability(view, model, assigned))
            assigned[best.id] = model
            return True
        for view in usable:
            visited.add(view.id)
            owner = assigned[view.id]
            if owner in self.demand and self.give_engine(owner, assigned, visited):
                assigned[view.id] = model
                return True
        return False

    def take_engine(self, model: str, assigned: dict[str, str]) -> None:
        """Assign a working model the only engine of a model that does not work now, if any."""
        if not self.needs.is_working(model):
            return
        usable = [
            view
            for view in self.views
            if self.needs.can_serve(view, model) and not self.needs.is_working(assigned[view.id])
        ]
        if not usable:
            return
        best = max(usable, key=lambda view: self.suitability(view, model, assigned))
        assigned[best.id] = model

    def suitability(
        self, view: EngineView, model: str, assigned: Mapping[str, str]
    ) -> tuple[float, int, float, str]:
        """Return a sort key of engines that could go to a model, the most suitable last.

        The model that loses the engine should need it least, and the engine should have a new
        version of the model.
        """
        left = {name: owner for name, owner in assigned.items() if name != view.id}
        time_s = self.lot_time_s(left)
        return (-time_s, view.versions.get(model, 0), view.capacity(), view.id)
