"""Reports of items that wait although a target of their route has a free slot."""

from collections.abc import Collection, Sequence

from turmericreach.batches.items import ItemState
from turmericreach.batches.run import BatchRun
from turmericreach.placement import EngineState, WaitingItem
from turmericreach.placement.engines import restrict_versions
from turmericreach.placement.wait_reasons import WaitReason, wait_reason
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["WaitReports"]

# An item that has waited for this long is reported.
REPORT_AFTER_S = 3.0
# Interval of looking for such items.
CHECK_INTERVAL_S = 0.5


class WaitReports:
    """Logs once for each wait of an item why it does not start, if a target has a free slot.

    Attributes
    ----------
    checked_at : float
        Loop time in seconds of the last look at the items.
    due : bool
        Whether the items are looked at in the present planning.
    """

    def __init__(self):
        self.checked_at = float("-inf")
        self.due = False

    def begin_planning(self, now: float) -> None:
        """Decide whether the items are looked at in the planning that begins now."""
        self.due = now - self.checked_at >= CHECK_INTERVAL_S
        if self.due:
            self.checked_at = now

    def report(
        self,
        run: BatchRun,
        waiting: Sequence[WaitingItem],
        engines: Sequence[EngineState],
        division: dict[str, str],
        held_back: Collection[str],
        now: float,
    ) -> None:
        """Report the items of a lot that have waited for long and did not start.

        Parameters
        ----------
        run : BatchRun
            Lot of the items.
        waiting : sequence of WaitingItem
            Its items that could have started.
        engines : sequence of EngineState
            Engines at which they could.
        division : dict of str to str
            Model that each engine serves, by engine id.
        held_back : collection of str
            Items that the scorers could not keep up with.
        now : float
            Loop time in seconds.
        """
        if not self.due:
            return
        late = [item for item in waiting if self.is_late(run.items.states[item.item], now)]
        if not late:
            return
        divided = restrict_versions(list(waiting), list(engines), division)
        for item in late:
            reason = wait_reason(item, engines, divided, item.item in held_back)
            if reason is not None:
                self.log(run, run.items.states[item.item], reason, engines, now)

    def report_without_route(self, run: BatchRun, now: float) -> None:
        """Report the items of a lot without a route that have waited for long."""
        if not self.due:
            return
        for state in run.items.states.values():
            if self.is_late(state, now):
                self.log(run, state, WaitReason.NO_ROUTE, [], now)

    def is_late(self, state: ItemState, now: float) -> bool:
        """Return whether an item has waited for long and is not reported yet."""
        if state.waiting_since == state.reported_wait:
            return False
        return state.is_waiting() and now - state.waiting_since >= REPORT_AFTER_S

    def log(
        self,
        run: BatchRun,
        state: ItemState,
        reason: WaitReason,
        engines: Sequence[EngineState],
        now: float,
    ) -> None:
        """Log the reason of a wait."""
        state.reported_wait = state.waiting_since
        model = run.spec.model
        log_event(
            events.ITEM_WAITS,
            item=state.item.id,
            lot=run.spec.id,
            reason=str(reason),
            waited_s=round(now - state.waiting_since, 3),
            model=model,
            min_version=run.spec.min_version,
            free_slots=sum(max(engine.slots - len(engine.busy_s), 0) for engine in engines),
            engines=str({engine.id: engine.versions.get(model, 0) for engine in engines}),
        )
