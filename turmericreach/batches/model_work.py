"""The work of the lots that a process runs, by model."""

from collections.abc import Iterable

import attrs

from turmericreach.batches.items import ItemPhase
from turmericreach.batches.run import BatchRun

__all__ = ["ModelWork", "join_work", "work_of_runs"]


@attrs.frozen
class ModelWork:
    """Items of a model that are not listed yet.

    Attributes
    ----------
    model : str
        Name of the model.
    waiting : int
        Number of items that wait for an engine.
    running : int
        Number of items that run at one.
    services : list of str
        Services to which the present routes of the lots lead.
    due_s : float
        Least time in seconds from the submission of one of the lots until it is due.
    """

    model: str
    waiting: int
    running: int
    services: list[str]
    due_s: float


def work_of_runs(runs: Iterable[BatchRun]) -> list[ModelWork]:
    """Return the work of lots, without that of lots that no engine may run now."""
    found = []
    for run in runs:
        route = run.items.route()
        if run.stopped or not run.loaded or route is None:
            continue
        phases = [state.phase for state in run.items.states.values()]
        waiting, running = phases.count(ItemPhase.WAITING), phases.count(ItemPhase.RUNNING)
        if not waiting and not running:
            continue
        services = route.route.active_services()
        due_s = run.items.terms.due_s
        found.append(ModelWork(run.spec.model, waiting, running, services, due_s))
    return list(join_work(found).values())


def join_work(works: Iterable[ModelWork]) -> dict[str, ModelWork]:
    """Return the sum of some work by model."""
    found: dict[str, ModelWork] = {}
    for work in works:
        known = found.get(work.model)
        if known is None:
            found[work.model] = work
            continue
        found[work.model] = ModelWork(
            work.model,
            known.waiting + work.waiting,
            known.running + work.running,
            sorted({*known.services, *work.services}),
            min(known.due_s, work.due_s),
        )
    return found
