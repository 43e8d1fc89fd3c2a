"""Planning of load orders: which engine loads which version. There is no input or output here."""

from collections.abc import Collection, Iterable, Mapping

import attrs

__all__ = ["EngineView", "LoadOrder", "assign_models", "max_concurrent_loads", "plan_orders"]

# Assumed seconds per event of an engine that has not produced events yet.
DEFAULT_EVENT_S = 0.045
# A new assignment of engines to models is used only if it shortens the longest lot time of all
# models by more than this factor, since each reassignment of an engine costs a load.
MIN_REASSIGNMENT_GAIN = 1.3
# Fraction of the engines that may load concurrently. The data sheets of the deployments specify
# 2 of 4, 2 of 5, 8 of 19 and 9 of 22 engines.
CONCURRENT_LOADS_SHARE = 0.41
MIN_CONCURRENT_LOADS = 2


@attrs.frozen
class EngineView:
    """The state of an engine that planning depends on.

    Attributes
    ----------
    id : str
        Id of the target.
    versions : dict of str to int
        Loaded version of the weights by model.
    slots : int
        Number of requests that the engine processes concurrently.
    event_s : float
        Seconds per event, 0 if unknown.
    loading : bool
        Whether the engine is, or may be, processing a load order.
    limit_events_per_s : float
        Events per second of the requests that its limit permits, infinite without a limit. A
        limited engine runs few requests at a time, each faster, so its speed says too much.
    """

    id: str
    versions: Mapping[str, int]
    slots: int = 1
    event_s: float = 0.0
    loading: bool = False
    limit_events_per_s: float = float("inf")

    def capacity(self) -> float:
        """Return the events per second with all slots occupied, or as its limit permits."""
        return min(self.slots / (self.event_s or DEFAULT_EVENT_S), self.limit_events_per_s)


@attrs.frozen
class LoadOrder:
    """An order to a target to load a version of a model."""

    target: str
    model: str
    version: int


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines may load concurrently without slowing each other down."""
    return max(MIN_CONCURRENT_LOADS, round(CONCURRENT_LOADS_SHARE * engines))


def assign_models(
    engines: Iterable[EngineView], demand: Mapping[str, float], former: Mapping[str, str]
) -> dict[str, str]:
    """Return the model that each engine serves, by engine id.

    Load pattern: the lots of several trainers differ in work, and the engines differ in speed. Each
    engine is kept up to date for one model only, since every load costs time. The engines
    are assigned so that the lots of all models would take about the same time. The former
    assignment is kept unless a new one is clearly better.

    Parameters
    ----------
    engines : iterable of EngineView
        Engines that accept requests.
    demand : dict of str to float
        Expected work of a lot of each model, in events or another unit common to all models.
    former : dict of str to str
        Assignment so far; it may contain engines that no longer exist.
    """
    views = list(engines)
    if not demand or not views:
        return {}
    kept = {view.id: former[view.id] for view in views if former.get(view.id) in demand}
    kept = complete_assignment(views, demand, kept)
    best = complete_assignment(views, demand, recent_models(views, demand) if not former else {})
    if lot_time_s(views, demand, kept) <= MIN_REASSIGNMENT_GAIN * lot_time_s(views, demand, best):
        return kept
    return best


def recent_models(views: list[EngineView], demand: Mapping[str, float]) -> dict[str, str]:
    """Return for each engine the model of which it has a newer version than of all others.

    With this a process that becomes coordinator continues the assignment of the former coordinator.
    """
    found = {}
    for view in views:
        versions = sorted((view.versions.get(model, 0), model) for model in demand)
        if len(versions) == 1 or versions[-1][0] > versions[-2][0]:
            found[view.id] = versions[-1][1]
    return found


def complete_assignment(
    views: list[EngineView], demand: Mapping[str, float], fixed: Mapping[str, str]
) -> dict[str, str]:
    """Assign each engine without a fixed model to the model in greatest need, fastest first."""
    assigned = dict(fixed)
    capacity = dict.fromkeys(demand, 0.0)
    for view in views:
        if view.id in assigned:
            capacity[assigned[view.id]] += view.capacity()
    for view in sorted(views, key=lambda view: (-view.capacity(), view.id)):
        if view.id in assigned:
            continue
        model = max(demand, key=lambda name: (model_need(demand[name], capacity[name]), name))
        assigned[view.id] = model
        capacity[model] += view.capacity()
    return assigned


def model_need(events: float, capacity: float) -> tuple[float, float]:
    """Return a sort key for a model's need of engines, highest for a model without any.

    The first element is the time that a lot of the model takes.
    """
    if capacity <= 0:
        return (float("inf"), events)
    return (events / capacity, events)


def lot_time_s(
    views: list[EngineView], demand: Mapping[str, float], assigned: Mapping[str, str]
) -> float:
    """Return the time that a lot takes for the model whose lots take longest."""
    capacity = dict.fromkeys(demand, 0.0)
    for view in views:
        capacity[assigned[view.id]] += view.capacity()
    return max(model_need(demand[model], capacity[model])[0] for model in demand)


def plan_orders(
    engines: Iterable[EngineView],
    requested_versions: Mapping[str, int],
    assigned: Mapping[str, str],
    max_loading: int,
    deferred: Collection[str] = (),
) -> list[LoadOrder]:
    """Return the orders to send now.

    Load pattern: a version is requested just before the arrival of a lot that may also use the
    previous version. During a load, which takes about a second, an engine rejects new requests for
    the model while running ones continue. A load is therefore cheapest when all slots have just
    been occupied, and at most half of the engines of a model load at the same time. An engine whose
    version is too old for the lot is useless until it has loaded, so it loads immediately.

    Parameters
    ----------
    engines : iterable of EngineView
        Engines that accept requests.
    requested_versions : dict of str to int
        Newest version of each model that a trainer has requested.
    assigned : dict of str to str
        Model that each engine serves, by engine id.
    max_loading : int
        Maximum number of engines that load at the same time.
    deferred : collection of str
        Models with a lot about to arrive; their loads wait until the first items have started.

    Returns
    -------
    list of LoadOrder
        Orders to send now, at most one for each engine.
    """
    views = list(engines)
    loading = sum(1 for view in views if view.loading)
    by_model: dict[str, list[EngineView]] = {}
    for view in views:
        model = assigned.get(view.id)
        if model is not None:
            by_model.setdefault(model, []).append(view)
    orders = []
    for model, group in sorted(by_model.items()):
        loading_of_model = sum(1 for view in group if view.loading)
        max_loading_of_model = max(len(group) // 2, 1)
        for view in outdated_engines(group, model, requested_versions[model]):
            is_too_old = view.versions.get(model, 0) < requested_versions[model] - 1
            if loading >= max_loading:
                break
            if not is_too_old and (loading_of_model >= max_loading_of_model or model in deferred):
                break
            orders.append(LoadOrder(view.id, model, requested_versions[model]))
            loading += 1
            loading_of_model += 1
    return orders


def outdated_engines(group: list[EngineView], model: str, version: int) -> list[EngineView]:
    """Return the engines with an older version, by version and then slowest first."""
    found = []
    for view in group:
        if not view.loading and view.versions.get(model, 0) < version:
            found.append(view)
    return sorted(found, key=lambda view: (view.versions.get(model, 0), view.capacity(), view.id))
