"""Which targets are to load which versions, apart from input and output."""

from collections.abc import Collection, Iterable, Mapping

import attrs

__all__ = ["EngineView", "LoadOrder", "assign_models", "max_concurrent_loads", "plan_orders"]

# Assumed until an engine has produced events.
DEFAULT_EVENT_S = 0.045
# An engine changes its model only where the busiest model gains at least this factor, since the
# change costs a load.
MOVE_GAIN = 1.3
# The deployments' sheets name 2 of 4, 2 of 5, 8 of 19 and 9 of 22 engines.
LOADS_SHARE = 0.41
LEAST_LOADS_AT_ONCE = 2


@attrs.frozen
class EngineView:
    """A target that generates.

    Attributes
    ----------
    id : str
        The target.
    versions : dict of str to int
        Loaded versions by model.
    slots : int
        Requests processed at once.
    event_s : float
        Seconds an event, 0 if not known.
    loading : bool
        Whether an order is in progress or may be.
    """

    id: str
    versions: Mapping[str, int]
    slots: int = 1
    event_s: float = 0.0
    loading: bool = False

    def capacity(self) -> float:
        """Return events a second with all slots taken."""
        return self.slots / (self.event_s or DEFAULT_EVENT_S)


@attrs.frozen
class LoadOrder:
    """A target is to load a version."""

    target: str
    model: str
    version: int


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines may load together without slowing each other down."""
    return max(LEAST_LOADS_AT_ONCE, round(LOADS_SHARE * engines))


def assign_models(
    engines: Iterable[EngineView], demand: Mapping[str, float], former: Mapping[str, str]
) -> dict[str, str]:
    """Return the model that each engine serves.

    Load pattern: several trainers whose lots differ in work, at engines that differ in speed.
    Each engine keeps one model up to date, since every load costs; the engines are divided so
    that the lots of all models would take about the same time. The former division stays unless
    a new one is clearly better.

    Parameters
    ----------
    demand : dict of str to float
        Expected events of a lot of each model.
    former : dict of str to str
        Division so far, of engines that may be gone.
    """
    views = list(engines)
    if not demand or not views:
        return {}
    kept = {view.id: former[view.id] for view in views if former.get(view.id) in demand}
    kept = divide(views, demand, kept)
    best = divide(views, demand, recent_models(views, demand) if not former else {})
    if lot_time_s(views, demand, kept) <= MOVE_GAIN * lot_time_s(views, demand, best):
        return kept
    return best


def recent_models(views: list[EngineView], demand: Mapping[str, float]) -> dict[str, str]:
    """Return the model of which each engine has a newer version than of the others.

    A process that begins to give orders so takes over its forerunner's division.
    """
    found = {}
    for view in views:
        versions = sorted((view.versions.get(model, 0), model) for model in demand)
        if len(versions) == 1 or versions[-1][0] > versions[-2][0]:
            found[view.id] = versions[-1][1]
    return found


def divide(
    views: list[EngineView], demand: Mapping[str, float], fixed: Mapping[str, str]
) -> dict[str, str]:
    """Give each engine that is not fixed, the fastest first, to the model that lacks most."""
    assigned = dict(fixed)
    capacity = dict.fromkeys(demand, 0.0)
    for view in views:
        if view.id in assigned:
            capacity[assigned[view.id]] += view.capacity()
    for view in sorted(views, key=lambda view: (-view.capacity(), view.id)):
        if view.id in assigned:
            continue
        model = max(demand, key=lambda name: (need(demand[name], capacity[name]), name))
        assigned[view.id] = model
        capacity[model] += view.capacity()
    return assigned


def need(events: float, capacity: float) -> tuple[float, float]:
    """Return how badly a model lacks engines; one that has none lacks most."""
    if capacity <= 0:
        return (float("inf"), events)
    return (events / capacity, events)


def lot_time_s(
    views: list[EngineView], demand: Mapping[str, float], assigned: Mapping[str, str]
) -> float:
    """Return the longest time that a lot of any model takes."""
    capacity = dict.fromkeys(demand, 0.0)
    for view in views:
        capacity[assigned[view.id]] += view.capacity()
    return max(need(demand[model], capacity[model])[0] for model in demand)


def plan_orders(
    engines: Iterable[EngineView],
    requested_versions: Mapping[str, int],
    assigned: Mapping[str, str],
    max_loading: int,
    deferred: Collection[str] = (),
) -> list[LoadOrder]:
    """Return the orders to give now.

    Load pattern: a version is named just before a lot that may use the version before it too. A
    load refuses new requests of its model for about a second while running ones go on, so it is
    cheapest when all slots have just been taken, and the engines of a model load in turn. An
    engine that is too old for the lot is of no use until it has loaded, and loads at once.

    Parameters
    ----------
    held : collection of str
        Models whose lot is about to arrive, so that loads wait for its first items to start.
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
        busy = sum(1 for view in group if view.loading)
        half = max(len(group) // 2, 1)
        for view in lagging_engines(group, model, requested_versions[model]):
            unusable = view.versions.get(model, 0) < requested_versions[model] - 1
            if loading >= max_loading:
                break
            if not unusable and (busy >= half or model in deferred):
                break
            orders.append(LoadOrder(view.id, model, requested_versions[model]))
            loading += 1
            busy += 1
    return orders


def lagging_engines(group: list[EngineView], model: str, version: int) -> list[EngineView]:
    """Return the engines below a version, the oldest and then the slowest first."""
    found = []
    for view in group:
        if not view.loading and view.versions.get(model, 0) < version:
            found.append(view)
    return sorted(found, key=lambda view: (view.versions.get(model, 0), view.capacity(), view.id))
