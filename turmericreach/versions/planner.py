"""Planning of load orders: which engine loads which version. There is no input or output here."""

from collections.abc import Collection, Iterable, Mapping

import attrs

from turmericreach.versions.engine_view import EngineView

__all__ = ["LoadOrder", "max_concurrent_loads", "plan_orders"]

# Fraction of the engines that may load concurrently. The data sheets of the deployments specify
# 2 of 4, 2 of 5, 8 of 19 and 9 of 22 engines.
CONCURRENT_LOADS_SHARE = 0.41
MIN_CONCURRENT_LOADS = 2


@attrs.frozen
class LoadOrder:
    """An order to a target to load a version of a model."""

    target: str
    model: str
    version: int


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines may load concurrently without slowing each other down."""
    return max(MIN_CONCURRENT_LOADS, round(CONCURRENT_LOADS_SHARE * engines))


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
