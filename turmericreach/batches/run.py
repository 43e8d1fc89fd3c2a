"""Execution of one lot by its owner."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from turmericreach.batches.checkpoints import CheckpointStore
from turmericreach.batches.item_run import ItemOutcome, RunConstraints, RunReport, run_item
from turmericreach.batches.items import ItemPhase, ItemState, ItemTable
from turmericreach.batches.log import BatchLog
from turmericreach.batches.model import ItemResult, Progress
from turmericreach.batches.result_writer import ResultWriter
from turmericreach.batches.scoring import ScorerCalls
from turmericreach.batches.text_memory import TextMemory
from turmericreach.http1 import ConnectionPool
from turmericreach.metadata import MetadataError
from turmericreach.placement import RunningItem, WaitingItem
from turmericreach.services import Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.unexpected import log_unexpected

__all__ = ["BatchRun"]

# Delay after an interrupted run, so that requests to a failing engine do not form a tight loop.
RETRY_PAUSE_S = 0.1
REFUSED_PAUSE_S = 0.1
NO_CONNECTION_PAUSE_S = 0.5
# An engine that lost one response and otherwise works may run the item again after this time.
LOST_RESPONSE_PAUSE_S = 0.5
SUSPECT_S = 3.0
LOAD_RETRY_S = 0.2
# No text is saved of a lot that was submitted more recently.
CHECKPOINT_MIN_AGE_S = 1.5
# A route that is missing for this long counts as removed.
ROUTE_REMOVED_AFTER_S = 5.0
INTENDED_OUTCOMES = (ItemOutcome.COMPLETE, ItemOutcome.MOVED, ItemOutcome.UNCONFIRMED)
# Pause after an unexpected error, which may come again at once.
UNEXPECTED_PAUSE_S = 0.5


class BatchRun:
    """Runs the items of a lot and lists their results.

    Attributes
    ----------
    items : ItemTable
        Items of the lot and their states.
    spec : BatchSpec
        The lot as submitted.
    log : BatchLog
        Log of the durable results.
    directory : TargetDirectory
        Known targets.
    on_wake : callable
        Called when the scheduler should plan again.
    texts : TextMemory
        Bounds the memory of the texts of all items of this process.
    checkpoints : CheckpointStore or None
        Keeps copies of long texts, None if there are none.
    tenants_apply : callable
        Returns whether tenants are configured.
    tasks : set of asyncio.Task
        Tasks that are cancelled when the lot stops.
    loaded : bool
        Whether the durable results have been read.
    stopped : bool
        Whether the lot no longer runs here.
    """

    def __init__(
        self,
        items: ItemTable,
        log: BatchLog,
        directory: TargetDirectory,
        pool: ConnectionPool,
        scorer_calls: ScorerCalls,
        on_wake: Callable[[], None],
        on_conflict: Callable[[], Awaitable[None]],
        texts: TextMemory,
        checkpoints: CheckpointStore | None = None,
        tenants_apply: Callable[[], bool] = lambda: False,
    ):
        self.items = items
        self.spec = items.spec
        self.log = log
        self.directory = directory
        self.pool = pool
        self.scorer_calls = scorer_calls
        self.on_wake = on_wake
        self.texts = texts
        self.checkpoints = checkpoints
        self.tenants_apply = tenants_apply
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task] = set()
        self.writer = ResultWriter(
            log, len(self.spec.items), self.completes_group, self.update_listed, on_conflict
        )
        self.loaded = False
        self.stopped = False

    # Start and stop

    async def start(self, earlier_progress: dict[str, Progress], taken_over: bool) -> None:
        """Read the listed results, then let the remaining items wait for engines.

        Parameters
        ----------
        earlier_progress : dict of str to Progress
            Text by item that was generated before, by another run of this lot or for an earlier
            lot.
        taken_over : bool
            Whether another process may have run the lot and may still list results of it.
        """
        # No item may start before its saved text is known, since a run extends the text it has.
        saved = {} if self.checkpoints is None else await self.load_checkpoint()
        while not self.loaded:
            try:
                await (self.log.fence() if taken_over else self.log.load())
                self.loaded = True
            except MetadataError:
                # The client logs that the store is unavailable.
                await asyncio.sleep(RETRY_PAUSE_S)
        now = self.loop.time()
        for state in self.items.states.values():
            state.waiting_since = now
            known = (earlier_progress.get(state.item.id), saved.get(state.item.id))
            self.resume_from(state, longest_text(known))
        self.update_listed()
        self.spawn(self.write_results())
        if self.checkpoints is not None:
            self.spawn(self.checkpoints.run(self.progress_so_far))
        self.on_wake()

    async def load_checkpoint(self) -> dict[str, Progress]:
        """Return the saved texts, none for a lot too young to have any."""
        if self.loop.time() - self.items.submitted_at < CHECKPOINT_MIN_AGE_S:
            return {}
        if not self.checkpoints.switch.may_be_on():
            return {}
        return await self.checkpoints.load()

    def resume_from(self, state: ItemState, progress: Progress | None) -> None:
        """Resume from earlier text if the lot's constraints on versions allow it."""
        if progress is None or state.item.id in self.log.listed:
            return
        if not progress.allowed_by(self.spec.min_version, self.items.single_version()):
            return
        scorer = state.item.scorer
        if scorer is None or progress.scorer != scorer.id:
            # The same item may be submitted again with another scoring request.
            progress.score = ""
        state.progress = progress
        if progress.whole:
            self.start_scoring(state)

    def stop(self, reason: str) -> None:
        """Cancel all work on the lot; engines cancel the requests when their connections close."""
        if self.stopped:
            return
        self.stopped = True
        for task in list(self.tasks):
            task.cancel()
        self.writer.listed_changed.set()
        log_event(events.BATCH_LEFT, lot=self.spec.id, reason=reason)

    def is_active(self) -> bool:
        """Return whether any item waits for an engine or runs at one."""
        if self.stopped or not self.loaded:
            return False
        return self.items.has_active()

    def is_finished(self) -> bool:
        """Return whether all items are listed."""
        return len(self.log.results) >= len(self.items.states)

    def update_listed(self) -> None:
        """Set the phase of the items that the log lists."""
        for item_id in self.log.listed:
            state = self.items.states.get(item_id)
            if state is not None:
                state.phase = ItemPhase.LISTED
                # The log holds the text from now on.
                state.progress = Progress()

    # Placement

    def waiting_items(
        self, now: float, services_of: Callable[[ItemState], frozenset[str] | None] | None = None
    ) -> list[WaitingItem]:
        """Return the items that may start now; abandon those whose lifetime is over.

        Parameters
        ----------
        services_of : callable, optional
            Returns the services that may run an item, None for any.
        """
        if self.stopped or not self.loaded:
            return []
        surplus = self.items.surplus_groups()
        found = []
        for state in self.items.states.values():
            if state.phase is not ItemPhase.WAITING or now < state.not_before:
                continue
            if self.abandon_if_expired(state, now):
                continue
            services = None if services_of is None else services_of(state)
            found.append(self.items.waiting_item(state, now, surplus, services))
        return found

    def abandon_unrouted(self, now: float) -> None:
        """Abandon the waiting items of a lot whose route was removed, unless it may be back soon.

        Configurations may follow each other within seconds and restore a route.
        """
        if self.stopped or not self.loaded:
            return
        removed = self.items.routes.missing_s(now) > ROUTE_REMOVED_AFTER_S
        for state in self.items.states.values():
            if state.phase is not ItemPhase.WAITING:
                continue
            if not self.abandon_if_expired(state, now) and removed:
                self.abandon(state, "the route of the lot was removed")

    def move_item(self, item: RunningItem, target: Target) -> None:
        """Move an item to another engine, where it resumes after its last event."""
        state = self.items.states[item.item]
        former = self.directory.targets.get(item.engine)
        if item.first_event_wait_s and former is not None:
            reason = f"no event within {item.first_event_wait_s:.2f} s"
            self.directory.record_failure(former, reason, SUSPECT_S, self.loop.time())
        state.move_to = target
        state.moves += 1
        state.task.cancel()

    def abandon_if_expired(self, state: ItemState, now: float) -> bool:
        """Abandon an item whose lifetime is over; return whether it was abandoned."""
        if self.items.remaining_s(now) > 0:
            return False
        self.abandon(state, "item lifetime is over")
        return True

    def start_item(self, item_id: str, target: Target) -> None:
        """Start a run of an item at a target."""
        state = self.items.states[item_id]
        state.phase = ItemPhase.RUNNING
        state.target = target.id
        state.started_at = self.loop.time()
        begun_with = state.progress.software
        text = state.begin_run(target)
        target.in_flight += 1
        target.record_group(state.item.group)
        log_event(
            events.ITEM_STARTED,
            item=item_id,
            lot=self.spec.id,
            target=target.id,
            resumed_after=text.last_event_id,
            version=target.model_versions.get(self.spec.model),
            in_flight=target.in_flight,
            waited_s=round(self.loop.time() - state.waiting_since, 3),
            software=target.record.software,
            begun_with=begun_with,
            leaving_s=self.directory.leaving_s(target, state.started_at),
        )
        state.task = self.spawn_for(state, self.run_once(state, target))

    async def run_once(self, state: ItemState, target: Target) -> None:
        """Run an item once and apply the outcome."""
        started_at = self.loop.time()
        constraints = RunConstraints(
            host=self.spec.host,
            model=self.spec.model,
            min_version=self.spec.min_version,
            single_version=self.items.single_version(),
            remaining_s=self.items.remaining_s(started_at),
            tenant=self.sent_tenant(),
        )
        report = RunReport(ItemOutcome.INTERRUPTED, "stopped")
        try:
            report = await run_item(
                state.item,
                state.run_text(),
                target,
                constraints,
                self.pool,
                self.directory,
                self.texts,
            )
        except asyncio.CancelledError:
            if self.stopped or state.move_to is None:
                raise
            report = RunReport(ItemOutcome.MOVED, f"to {state.move_to.id}")
        except Exception as error:
            log_unexpected("item run", state.item.id, error)
            report = RunReport(ItemOutcome.UNEXPECTED, type(error).__name__)
        finally:
            target.in_flight -= 1
            state.end_run()
            intended = report.outcome in INTENDED_OUTCOMES
            log_event(
                events.ITEM_STOPPED if intended else events.ITEM_BROKEN,
                item=state.item.id,
                lot=self.spec.id,
                target=target.id,
                outcome=f"{report.outcome} {report.detail}".strip(),
                ms=(self.loop.time() - started_at) * 1000,
                events=len(state.progress.events),
                versions=str(state.progress.versions),
                first_event_ms=report.first_event_ms,
                software=state.progress.software,
            )
        self.apply_report(state, target, report)
        self.on_wake()

    def sent_tenant(self) -> str | None:
        """Return the tenant that engines are told, None to send what the items say."""
        return self.spec.tenant if self.spec.tenant or self.tenants_apply() else None

    def apply_report(self, state: ItemState, target: Target, report: RunReport) -> None:
        """Update an item and its target after a run and decide how the item continues."""
        now = self.loop.time()
        outcome = report.outcome
        move_to, state.move_to = state.move_to, None
        if state.phase is ItemPhase.LISTED:
            # Another process has listed the item meanwhile.
            return
        state.phase = ItemPhase.WAITING
        state.waiting_since = now
        if outcome is ItemOutcome.MOVED:
            self.start_item(state.item.id, move_to)
        elif outcome is ItemOutcome.COMPLETE:
            self.directory.record_success(target, now)
            self.start_scoring(state)
        elif outcome is ItemOutcome.UNCONFIRMED:
            self.directory.record_success(target, now)
        elif outcome is ItemOutcome.NOT_RUN:
            state.refused_by[target.id] = now + REFUSED_PAUSE_S
            target.loading_until = max(target.loading_until, now + LOAD_RETRY_S)
        elif outcome is ItemOutcome.NO_CONNECTION:
            state.refused_by[target.id] = now + NO_CONNECTION_PAUSE_S
            self.directory.suspect(target, report.detail, SUSPECT_S, now)
        elif outcome is ItemOutcome.OLD_VERSION:
            state.refused_by[target.id] = now + LOAD_RETRY_S
        elif outcome is ItemOutcome.IMPOSSIBLE:
            self.abandon(state, f"{target.id} cannot run the item: {report.detail}")
        elif outcome is ItemOutcome.FAILED:
            state.failures += 1
            state.not_before = now + RETRY_PAUSE_S
            if state.failures >= self.items.max_attempts():
                self.abandon(state, f"{state.failures} runs failed")
        else:
            state.not_before = now + RETRY_PAUSE_S
            self.directory.record_failure(target, report.detail, SUSPECT_S, now)
            pause_s = SUSPECT_S if target.is_suspected(now) else LOST_RESPONSE_PAUSE_S
            state.refused_by[target.id] = now + pause_s

    # Results

    def start_scoring(self, state: ItemState) -> None:
        """Request the score of a complete text, or submit the result if no score is needed."""
        state.phase = ItemPhase.SCORING
        if state.item.scorer is None or state.progress.score:
            self.complete(state)
            return
        self.spawn_for(state, self.score(state))

    async def score(self, state: ItemState) -> None:
        """Request the score of an item; abandon the item if its scorer fails."""
        result = await self.scorer_calls.score(
            self.spec.id,
            state.item.id,
            state.item.scorer,
            lambda: self.items.score_urgency(state),
            lambda: self.items.remaining_s(self.loop.time()),
        )
        if not result.stamp:
            self.abandon(state, "scorer failed")
            return
        state.progress.score = result.stamp
        state.progress.scorer = state.item.scorer.id
        self.complete(state)

    def complete(self, state: ItemState) -> None:
        """Submit the result of an item whose text is complete and scored if required."""
        progress = state.progress
        self.submit_result(
            state,
            ItemResult(
                item=state.item.id,
                completed=True,
                text="\n".join(progress.events),
                versions=list(progress.versions),
                score=progress.score,
            ),
        )

    def abandon(self, state: ItemState, reason: str) -> None:
        """Submit the result of an item that was not completed."""
        log_event(events.ITEM_ABANDONED, item=state.item.id, lot=self.spec.id, reason=reason)
        self.submit_result(state, ItemResult(state.item.id, completed=False))

    def submit_result(self, state: ItemState, result: ItemResult) -> None:
        """Pass a result to the writer."""
        state.phase = ItemPhase.READY
        self.writer.add(result)

    def completes_group(self, results: list[ItemResult]) -> bool:
        """Return whether any of the results belongs to a complete group."""
        return any(
            self.items.is_group_done(self.items.states[result.item].item.group)
            for result in results
        )

    async def write_results(self) -> None:
        """Write results until all items are listed, again after an unexpected error."""
        while True:
            try:
                await self.writer.run()
                break
            except Exception as error:
                log_unexpected("result writer", self.spec.id, error)
                await asyncio.sleep(UNEXPECTED_PAUSE_S)
        log_event(
            events.BATCH_FINISHED,
            lot=self.spec.id,
            items=len(self.items.states),
            seconds=self.loop.time() - self.items.submitted_at,
        )

    def progress_so_far(self) -> dict[str, Progress]:
        """Return the text generated so far by item, for items that are not listed."""
        found = {}
        for state in self.items.states.values():
            text = state.newest_text()
            if state.phase is ItemPhase.LISTED or not text.events:
                continue
            found[state.item.id] = text
        return found

    def spawn(self, coroutine) -> asyncio.Task:
        """Start a task that is cancelled when the lot stops."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def spawn_for(self, state: ItemState, coroutine) -> asyncio.Task:
        """Start a task of an item; the item is taken up again if an unexpected error ends it."""
        task = self.spawn(coroutine)
        task.add_done_callback(lambda done: self.resume_after_error(state, done))
        return task

    def resume_after_error(self, state: ItemState, task: asyncio.Task) -> None:
        """Take an item up again after a pause if an unexpected error has ended its task."""
        if self.stopped or task.cancelled() or task.exception() is None:
            return
        if state.phase is ItemPhase.SCORING:
            self.loop.call_later(UNEXPECTED_PAUSE_S, self.score_again, state)
            return
        if state.phase is not ItemPhase.RUNNING:
            return
        state.phase = ItemPhase.WAITING
        state.waiting_since = self.loop.time()
        state.not_before = state.waiting_since + UNEXPECTED_PAUSE_S
        self.on_wake()

    def score_again(self, state: ItemState) -> None:
        """Request the score of an item again after an unexpected error."""
        if not self.stopped and state.phase is ItemPhase.SCORING:
            self.spawn_for(state, self.score(state))

    def on_task_done(self, task: asyncio.Task) -> None:
        """Remove a finished task and log its failure."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_unexpected("lot", self.spec.id, task.exception())


def longest_text(texts: Iterable[Progress | None]) -> Progress | None:
    """Return the text with the most events, None if there is none."""
    found = [text for text in texts if text is not None]
    return max(found, key=lambda text: (text.whole, len(text.events)), default=None)
