"""Why an item waits although an engine has a free slot."""

import enum
from collections.abc import Sequence

from turmericreach.placement.engines import EngineState, WaitingItem

__all__ = ["WaitReason", "wait_reason"]


class WaitReason(enum.StrEnum):
    """Why an item waits although an engine has a free slot.

    Attributes
    ----------
    NO_ROUTE
        The configuration in force has no route for the lot.
    NO_SERVICE
        No target of the route's services accepts requests.
    NO_ENGINE
        No engine with a free slot has the model.
    OLD_VERSION
        The weights of all of these are too old.
    REJECTED
        All that are new enough have just rejected, failed or interrupted the item.
    LOADING
        The others load weights.
    DIVISION
        The others serve another model, and the item's model has an engine of its own.
    NO_PERMIT
        The limits of the others permit no request now.
    SCORERS
        The scorers are behind, so that no item that needs a score starts.
    SUSPECTED
        The others have failed recently and get one request at a time.
    PLANNED
        The item is expected to end sooner at an engine that is not free yet.
    """

    NO_ROUTE = "no route"
    NO_SERVICE = "no service"
    NO_ENGINE = "no engine of the model"
    OLD_VERSION = "version too old"
    REJECTED = "rejected"
    LOADING = "loading"
    DIVISION = "division"
    NO_PERMIT = "no permit"
    SCORERS = "scorers behind"
    SUSPECTED = "suspected"
    PLANNED = "planned later"


def wait_reason(
    item: WaitingItem,
    engines: Sequence[EngineState],
    divided: Sequence[EngineState],
    held_back: bool,
) -> WaitReason | None:
    """Return why an item that may go to some engines waits, None if none of them has a free slot.

    Parameters
    ----------
    item : WaitingItem
        Item that did not start.
    engines : sequence of EngineState
        Engines of the route's services that accept requests.
    divided : sequence of EngineState
        The same engines without the versions of the models that they are closed to.
    held_back : bool
        Whether the item was to start but for the scorers.
    """
    if not engines:
        return WaitReason.NO_SERVICE
    reached = [
        engine for engine in engines if item.services is None or engine.service in item.services
    ]
    free = [engine for engine in reached if len(engine.busy_s) < engine.slots]
    if not free:
        return None
    if held_back:
        return WaitReason.SCORERS
    if not any(engine.versions.get(item.model) for engine in free):
        return WaitReason.NO_ENGINE
    new_enough = [engine for engine in free if engine.suits(item)]
    if not new_enough:
        return WaitReason.OLD_VERSION
    accepting = [engine for engine in new_enough if engine.id not in item.excluded_s]
    if not accepting:
        return WaitReason.REJECTED
    loaded = [engine for engine in accepting if engine.ready_in_s <= 0]
    if not loaded:
        return WaitReason.LOADING
    open_ids = {engine.id for engine in divided if engine.suits(item)}
    open_engines = [engine for engine in loaded if engine.id in open_ids]
    if not open_engines:
        return WaitReason.DIVISION
    permitted = [engine for engine in open_engines if engine.permits != 0]
    if not permitted:
        return WaitReason.NO_PERMIT
    if all(engine.suspected for engine in permitted):
        return WaitReason.SUSPECTED
    return WaitReason.PLANNED
