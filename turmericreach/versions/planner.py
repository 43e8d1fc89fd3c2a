"""Which targets are to load which versions, apart from input and output."""

from collections.abc import Iterable, Mapping

import attrs

__all__ = ["EngineView", "LoadOrder", "assign_models", "plan_orders"]


@attrs.frozen
class EngineView:
    """A target that generates.

    Attributes
    ----------
    id : str
        The target.
    versions : dict of str to int
        Loaded versions by model.
    running : int
        Requests of this system there, as far as known.
    loading : bool
        Whether an order is in progress or may be.
    """

    id: str
    versions: Mapping[str, int]
    running: int = 0
    loading: bool = False


@attrs.frozen
class LoadOrder:
    """A target is to load a version."""

    target: str
    model: str
    version: int


def assign_models(
    engines: Iterable[EngineView], named: Mapping[str, int], former: Mapping[str, str]
) -> dict[str, str]:
    """Return the model that each engine serves.

    Each engine keeps one model up to date, since each load costs about a second of its time and
    the loads of all models at all engines would cost a multiple. Engines keep their model while
    the numbers differ by one at most.

    Parameters
    ----------
    named : dict of str to int
        Newest version of each model.
    former : dict of str to str
        Assignment so far.
    """
    models = sorted(named)
    views = sorted(engines, key=lambda engine: engine.id)
    if not models:
        return {}
    most = -(-len(views) // len(models))
    assigned: dict[str, str] = {}
    counts = dict.fromkeys(models, 0)
    for engine in views:
        model = former.get(engine.id) or newest_model(engine, named)
        if model not in counts or counts[model] >= most:
            continue
        assigned[engine.id] = model
        counts[model] += 1
    for engine in views:
        if engine.id in assigned:
            continue
        model = min(models, key=lambda name: (counts[name], name))
        assigned[engine.id] = model
        counts[model] += 1
    move_surplus(assigned, counts)
    return assigned


def move_surplus(assigned: dict[str, str], counts: dict[str, int]) -> None:
    """Move engines from models with two more than others."""
    while max(counts.values()) - min(counts.values()) > 1:
        giver = max(counts, key=lambda name: (counts[name], name))
        taker = min(counts, key=lambda name: (counts[name], name))
        moved = max(engine for engine, model in assigned.items() if model == giver)
        assigned[moved] = taker
        counts[giver] -= 1
        counts[taker] += 1


def newest_model(engine: EngineView, named: Mapping[str, int]) -> str | None:
    """Return the model of which an engine lags least behind, None if several do alike."""
    lags = {model: version - engine.versions.get(model, 0) for model, version in named.items()}
    if not lags:
        return None
    least = min(lags.values())
    closest = [model for model, lag in lags.items() if lag == least]
    return closest[0] if len(closest) == 1 else None


def plan_orders(
    engines: Iterable[EngineView],
    named: Mapping[str, int],
    assigned: Mapping[str, str],
    at_once: int,
) -> list[LoadOrder]:
    """Return the orders to give now.

    Load pattern: a version is named just before a lot that may use the version before it too, so
    that the engines of a model need not load at the same moment. Those that lag most, then the
    least busy, load first, and for each model at most half of its engines load at a time unless
    they are too old to be used.
    """
    views = list(engines)
    loading = sum(1 for engine in views if engine.loading)
    by_model: dict[str, list[EngineView]] = {}
    for engine in views:
        model = assigned.get(engine.id)
        if model is not None:
            by_model.setdefault(model, []).append(engine)
    orders = []
    for model, group in sorted(by_model.items()):
        busy = sum(1 for engine in group if engine.loading)
        lagging = [
            engine
            for engine in group
            if not engine.loading and engine.versions.get(model, 0) < named[model]
        ]
        lagging.sort(key=lambda view: (view.versions.get(model, 0), view.running, view.id))
        half = max(len(group) // 2, 1)
        for engine in lagging:
            unusable = engine.versions.get(model, 0) < named[model] - 1
            if loading >= at_once or (busy >= half and not unusable):
                break
            orders.append(LoadOrder(engine.id, model, named[model]))
            loading += 1
            busy += 1
    return orders
