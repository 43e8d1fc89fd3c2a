"""A lot that this process runs."""

import asyncio
from collections.abc import Callable

from turmericreach.batches.item_run import ItemBounds, ItemOutcome, RunReport, run_item
from turmericreach.batches.items import ItemPhase, ItemState, ItemTable
from turmericreach.batches.log import BatchLog
from turmericreach.batches.model import ItemResult, Progress
from turmericreach.batches.result_writer import ResultWriter
from turmericreach.batches.scoring import ScorerCalls
from turmericreach.http1 import ConnectionPool
from turmericreach.metadata import MetadataError
from turmericreach.placement import RunningItem, WaitingItem
from turmericreach.services import Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["BatchRun"]

# After a run that was broken off, so that a failing engine is not asked in a tight loop.
RETRY_PAUSE_S = 0.1
REFUSED_PAUSE_S = 0.1
NO_CONNECTION_PAUSE_S = 0.5
# An engine that lost one answer and goes on working may take the item again.
LOST_ANSWER_PAUSE_S = 0.5
SUSPECT_S = 3.0
LOAD_RETRY_S = 0.2


class BatchRun:
    """Runs the items of a lot and lists their results.

    Attributes
    ----------
    items : ItemTable
        Its items and their states.
    spec : BatchSpec
        The lot.
    route : Route
        Its route.
    log : BatchLog
        Results that are durable.
    """

    def __init__(
        self,
        items: ItemTable,
        log: BatchLog,
        directory: TargetDirectory,
        pool: ConnectionPool,
        scorer_calls: ScorerCalls,
        on_wake: Callable[[], None],
        on_conflict: Callable[[], None],
    ):
        self.items = items
        self.spec = items.spec
        self.route = items.route
        self.log = log
        self.directory = directory
        self.pool = pool
        self.scorer_calls = scorer_calls
        self.on_wake = on_wake
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task] = set()
        self.writer = ResultWriter(
            log, len(self.spec.items), self.completes_group, self.mark_listed, on_conflict
        )
        self.loaded = False
        self.stopped = False

    # Life

    async def start(self, known: dict[str, Progress]) -> None:
        """Read what is listed already, then let the items wait for engines.

        Parameters
        ----------
        known : dict of str to Progress
            Text of items that was generated before, here or for an earlier lot.
        """
        while not self.loaded:
            try:
                await self.log.load()
                self.loaded = True
            except MetadataError:
                # The client logs a store that is away.
                await asyncio.sleep(RETRY_PAUSE_S)
        now = self.loop.time()
        for state in self.items.states.values():
            state.waiting_since = now
            self.adopt(state, known.get(state.item.id))
        self.mark_listed()
        self.spawn(self.write_results())
        self.on_wake()

    def adopt(self, state: ItemState, progress: Progress | None) -> None:
        """Go on from text that was generated before, if the lot's bounds allow it."""
        if progress is None or state.item.id in self.log.listed:
            return
        if not progress.fits(self.spec.min_version, self.route.single_version):
            return
        scorer = state.item.scorer
        if scorer is None or progress.scorer != scorer.id:
            # The same item may return with another call that scores it.
            progress.score = ""
        state.progress = progress
        if progress.whole:
            self.begin_scoring(state)

    def stop(self, reason: str) -> None:
        """End all work on the lot; engines drop the requests as their connections close."""
        if self.stopped:
            return
        self.stopped = True
        for task in list(self.tasks):
            task.cancel()
        self.writer.listed_changed.set()
        log_event(events.BATCH_LEFT, lot=self.spec.id, reason=reason)

    def is_active(self) -> bool:
        """Return whether items wait for an engine or run at one."""
        if self.stopped or not self.loaded:
            return False
        return self.items.has_active()

    def is_finished(self) -> bool:
        """Return whether all items are listed."""
        return len(self.log.results) >= len(self.items.states)

    def mark_listed(self) -> None:
        """Take over from the log which items are listed."""
        for item_id in self.log.listed:
            state = self.items.states.get(item_id)
            if state is not None:
                state.phase = ItemPhase.LISTED

    # Placement

    def waiting_items(self, now: float) -> list[WaitingItem]:
        """Return the items that may start now."""
        if self.stopped or not self.loaded:
            return []
        found = []
        for state in self.items.states.values():
            if state.phase is not ItemPhase.WAITING or now < state.not_before:
                continue
            if self.give_up_if_late(state, now):
                continue
            found.append(self.items.waiting_item(state, now))
        return found

    def move(self, item: RunningItem, target: Target) -> None:
        """Let an item go on at another engine after its last event."""
        state = self.items.states[item.item]
        former = self.directory.targets.get(item.engine)
        if item.first_event_wait_s and former is not None:
            reason = f"no event within {item.first_event_wait_s:.2f} s"
            self.directory.record_failure(former, reason, SUSPECT_S, self.loop.time())
        state.move_to = target
        state.moves += 1
        state.task.cancel()

    def give_up_if_late(self, state: ItemState, now: float) -> bool:
        """Give up an item whose lifetime is over."""
        if self.items.time_left_s(now) > 0:
            return False
        self.give_up(state, "its lifetime is over")
        return True

    def begin(self, item_id: str, target: Target) -> None:
        """Start an item at a target."""
        state = self.items.states[item_id]
        state.phase = ItemPhase.RUNNING
        state.target = target.id
        state.started_at = self.loop.time()
        state.events_before = len(state.progress.events)
        target.in_flight += 1
        target.groups.add(state.item.group)
        log_event(
            events.ITEM_STARTED,
            item=item_id,
            lot=self.spec.id,
            target=target.id,
            resumed_after=state.progress.last_event_id,
            version=target.model_versions.get(self.spec.model),
            in_flight=target.in_flight,
            waited_s=round(self.loop.time() - state.waiting_since, 3),
        )
        state.task = self.spawn(self.run_once(state, target))

    async def run_once(self, state: ItemState, target: Target) -> None:
        """Run an item once and decide how it goes on."""
        began = self.loop.time()
        bounds = ItemBounds(
            host=self.spec.host,
            model=self.spec.model,
            min_version=self.spec.min_version,
            single_version=self.route.single_version,
            time_left_s=self.items.time_left_s(began),
        )
        report = RunReport(ItemOutcome.BROKEN, "stopped")
        try:
            report = await run_item(state.item, state.progress, target, bounds, self.pool)
        except asyncio.CancelledError:
            if self.stopped or state.move_to is None:
                raise
            report = RunReport(ItemOutcome.MOVED, f"to {state.move_to.id}")
        finally:
            target.in_flight -= 1
            intended = report.outcome in (ItemOutcome.WHOLE, ItemOutcome.MOVED)
            log_event(
                events.ITEM_STOPPED if intended else events.ITEM_BROKEN,
                item=state.item.id,
                lot=self.spec.id,
                target=target.id,
                outcome=f"{report.outcome} {report.detail}".strip(),
                ms=(self.loop.time() - began) * 1000,
                events=len(state.progress.events),
                versions=str(state.progress.versions),
                first_event_ms=report.first_event_ms,
            )
        self.take_report(state, target, report)
        self.on_wake()

    def take_report(self, state: ItemState, target: Target, report: RunReport) -> None:
        """Decide how an item goes on after a run."""
        now = self.loop.time()
        state.phase = ItemPhase.WAITING
        state.waiting_since = now
        outcome = report.outcome
        move_to, state.move_to = state.move_to, None
        if outcome is ItemOutcome.MOVED:
            self.begin(state.item.id, move_to)
        elif outcome is ItemOutcome.WHOLE:
            self.directory.record_success(target, now)
            self.begin_scoring(state)
        elif outcome is ItemOutcome.NOT_RUN:
            state.refused_by[target.id] = now + REFUSED_PAUSE_S
            target.loading_until = max(target.loading_until, now + LOAD_RETRY_S)
        elif outcome is ItemOutcome.NO_CONNECTION:
            state.refused_by[target.id] = now + NO_CONNECTION_PAUSE_S
            self.directory.suspect(target, report.detail, SUSPECT_S, now)
        elif outcome is ItemOutcome.OLD_VERSION:
            state.refused_by[target.id] = now + LOAD_RETRY_S
        elif outcome is ItemOutcome.IMPOSSIBLE:
            self.give_up(state, f"{target.id} cannot run it: {report.detail}")
        elif outcome is ItemOutcome.FAILED:
            state.failures += 1
            state.not_before = now + RETRY_PAUSE_S
            if state.failures >= self.route.max_attempts:
                self.give_up(state, f"{state.failures} runs failed")
        else:
            state.not_before = now + RETRY_PAUSE_S
            self.directory.record_failure(target, report.detail, SUSPECT_S, now)
            pause_s = SUSPECT_S if target.is_suspected(now) else LOST_ANSWER_PAUSE_S
            state.refused_by[target.id] = now + pause_s

    # Results

    def begin_scoring(self, state: ItemState) -> None:
        """Score a text that is complete, or make it a result if there is nothing to score."""
        state.phase = ItemPhase.SCORING
        if state.item.scorer is None or state.progress.score:
            self.complete(state)
            return
        self.spawn(self.score(state))

    async def score(self, state: ItemState) -> None:
        """Get the score of an item."""
        result = await self.scorer_calls.score(self.spec.id, state.item.id, state.item.scorer)
        if not result.stamp:
            self.give_up(state, "its scorer failed")
            return
        state.progress.score = result.stamp
        state.progress.scorer = state.item.scorer.id
        self.complete(state)

    def complete(self, state: ItemState) -> None:
        """Make a complete text a result."""
        progress = state.progress
        self.add_ready(
            state,
            ItemResult(
                item=state.item.id,
                completed=True,
                text="\n".join(progress.events),
                versions=list(progress.versions),
                score=progress.score,
            ),
        )

    def give_up(self, state: ItemState, reason: str) -> None:
        """List an item as abandoned."""
        log_event(events.ITEM_ABANDONED, item=state.item.id, lot=self.spec.id, reason=reason)
        self.add_ready(state, ItemResult(state.item.id, completed=False))

    def add_ready(self, state: ItemState, result: ItemResult) -> None:
        """Hand a result to the writer."""
        state.phase = ItemPhase.READY
        self.writer.add(result)

    def completes_group(self, results: list[ItemResult]) -> bool:
        """Return whether results make a group complete."""
        return any(
            self.items.is_group_done(self.items.states[result.item].item.group)
            for result in results
        )

    async def write_results(self) -> None:
        """Write results until all items are listed."""
        await self.writer.run()
        log_event(
            events.BATCH_FINISHED,
            lot=self.spec.id,
            items=len(self.items.states),
            seconds=self.loop.time() - self.items.submitted_at,
        )

    def progress_so_far(self) -> dict[str, Progress]:
        """Return the text of items that are not listed."""
        found = {}
        for state in self.items.states.values():
            if state.phase is ItemPhase.LISTED or not state.progress.events:
                continue
            found[state.item.id] = state.progress
        return found

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine that ends with the lot."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)
        return task

    def task_done(self, task: asyncio.Task) -> None:
        """Forget a task; log an unexpected end."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        log_event(
            events.TASK_FAILED, task=f"lot {self.spec.id}", error=f"{type(error).__name__}: {error}"
        )
