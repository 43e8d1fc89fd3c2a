"""All lots, and which of them this process runs."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs

from turmericreach.batches.items import ItemTable
from turmericreach.batches.log import BatchLog, segment_kind
from turmericreach.batches.model import BatchSpec, ItemResult, Progress
from turmericreach.batches.records import BatchRecord, read_record
from turmericreach.batches.run import BatchRun
from turmericreach.batches.scheduler import ItemScheduler
from turmericreach.batches.scoring import ScorerCalls
from turmericreach.coordination.names import LOTS_KIND
from turmericreach.http1 import ConnectionPool
from turmericreach.metadata import Conflict, MetadataClient, MetadataError, StoredObject
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.lots import decode_submission
from turmericreach.services import Configuration
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["BatchRegistry", "ModelArrival"]

# Texts of ended lots that may be asked for again are kept for as many items.
KEPT_PROGRESS = 512
START_RETRY_S = 0.2
OBJECT_PAUSE_S = 0.05


@attrs.frozen
class ModelArrival:
    """The newest lot of a model: loop time of its arrival here, and its expected tokens."""

    at: float
    expected_tokens: float


class BatchRegistry:
    """Follows the stored lots; runs those whose owner is this host.

    Attributes
    ----------
    records : dict of str to BatchRecord
        Known lots.
    kept : dict of str to Progress
        Text of items whose lot ended before they were listed.
    arrivals : dict of str to ModelArrival
        Newest lot of each model.
    given : dict of str to int
        Lots handed to other processes, with the revision at which they were.
    used_at : dict of str to float
        Loop time at which each lot was last changed or read here.
    may_vouch : callable
        Returns whether this process can be sure that it still owns its lots.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        client: MetadataClient,
        scheduler: ItemScheduler,
        pool: ConnectionPool,
        scorer_calls: ScorerCalls,
        configuration: Callable[[], Configuration | None],
    ):
        self.host = host
        self.incarnation = incarnation
        self.client = client
        self.scheduler = scheduler
        self.pool = pool
        self.scorer_calls = scorer_calls
        self.configuration = configuration
        self.records: dict[str, BatchRecord] = {}
        self.logs: dict[str, BatchLog] = {}
        self.kept: dict[str, Progress] = {}
        self.arrivals: dict[str, ModelArrival] = {}
        self.starting: dict[str, asyncio.Task] = {}
        self.given: dict[str, int] = {}
        self.used_at: dict[str, float] = {}
        self.checks: set[asyncio.Task] = set()
        self.may_vouch: Callable[[], bool] = lambda: True

    # Changes in the store

    def object_changed(self, object: StoredObject) -> None:
        """Take a lot's object."""
        try:
            record = read_record(object)
        except (KeyError, TypeError) as error:
            log_event(
                events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=f"{object.name}: {error}"
            )
            return
        self.take_record(record)

    def take_record(self, record: BatchRecord) -> None:
        """Take a lot's state unless a newer one is known; its object is kept if it has none."""
        known = self.records.get(record.lot)
        if known is not None and known.revision >= record.revision:
            if known.object is None and record.object is not None:
                self.records[record.lot] = attrs.evolve(known, object=record.object)
            return
        self.used_at[record.lot] = asyncio.get_running_loop().time()
        if record.object is None and known is not None:
            record = attrs.evolve(record, object=known.object)
        if known is None and record.object is not None and not record.ended:
            self.note_demand(record)
        self.records[record.lot] = record
        self.reconcile(record)

    def note_demand(self, record: BatchRecord) -> None:
        """Keep when a lot of a model came last, and its expected work."""
        now = asyncio.get_running_loop().time()
        self.arrivals[record.model] = ModelArrival(now, record.expected_tokens)

    def object_removed(self, object: StoredObject) -> None:
        """Forget a lot that was collected."""
        lot = object.name
        self.stop_run(lot, "removed")
        self.forget(lot)

    def forget(self, lot: str) -> None:
        """Drop all that is known of a lot."""
        self.records.pop(lot, None)
        self.given.pop(lot, None)
        self.logs.pop(lot, None)
        self.used_at.pop(lot, None)

    def forget_unused(self, idle_s: float) -> None:
        """Drop lots that are not run here and that nobody has asked for lately.

        Only the coordinator hears of the removal of lots. One that is asked for again is read
        from the store.
        """
        now = asyncio.get_running_loop().time()
        for lot, used_at in list(self.used_at.items()):
            if now - used_at > idle_s and lot not in self.scheduler.runs:
                self.forget(lot)

    def reconcile(self, record: BatchRecord) -> None:
        """Start or stop a lot here as its record says."""
        mine = record.owner == self.host and not record.ended
        if mine and self.given.get(record.lot) == record.revision:
            return
        running = record.lot in self.scheduler.runs or record.lot in self.starting
        if mine and not running:
            task = asyncio.get_running_loop().create_task(self.start_run(record))
            self.starting[record.lot] = task
            task.add_done_callback(lambda done: self.start_done(record.lot, done))
        elif running and not mine:
            self.stop_run(record.lot, "ended" if record.ended else f"owned by {record.owner}")

    # Runs

    async def start_run(self, record: BatchRecord) -> None:
        """Start a lot here once its object and its route are known."""
        if record.object is None:
            record = await self.read_whole(record.lot)
        if record is None:
            return
        run = await self.make_run(record)
        if run is None:
            return
        self.scheduler.runs[record.lot] = run
        await run.start(self.kept)
        log_event(
            events.BATCH_TAKEN,
            lot=record.lot,
            listed=len(run.log.results),
            items=len(run.items.states),
            reason="owner in the store",
            first_owner=record.object.spec["owner"],
            revision=record.revision,
        )

    def start_done(self, lot: str, task: asyncio.Task) -> None:
        """Forget a start that has ended; log an unexpected end."""
        if self.starting.get(lot) is task:
            del self.starting[lot]
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        log_event(
            events.TASK_FAILED, task=f"start of {lot}", error=f"{type(error).__name__}: {error}"
        )

    async def read_whole(self, lot: str) -> BatchRecord | None:
        """Return a lot with its object; None if it is gone or not run here any more."""
        # The process that accepted the lot sends its object at the same moment.
        await asyncio.sleep(OBJECT_PAUSE_S)
        while True:
            record = self.records.get(lot)
            if record is None or record.ended or record.owner != self.host:
                return None
            if record.object is not None:
                return record
            try:
                if await self.fetch(lot) is None:
                    return None
            except MetadataError:
                await asyncio.sleep(START_RETRY_S)

    async def make_run(self, record: BatchRecord) -> BatchRun | None:
        """Return a run of a lot, None if it cannot be read."""
        try:
            spec = decode_submission(record.lot, record.host, record.path, record.document)
        except DecodeError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=LOTS_KIND, problem=str(error))
            return None
        loop = asyncio.get_running_loop()
        while True:
            configuration = self.configuration()
            route = None
            if configuration is not None:
                route = configuration.find_route(record.host, record.path)
            if route is not None:
                break
            await asyncio.sleep(START_RETRY_S)
        items = ItemTable(
            spec,
            route,
            submitted_at=loop.time() - record.age_s(),
            tokens_per_event=configuration.tokens_per_event(route),
            carried=self.carried_items(spec),
        )
        return BatchRun(
            items=items,
            log=self.log_of(record.lot),
            directory=self.scheduler.directory,
            pool=self.pool,
            scorer_calls=self.scorer_calls,
            on_wake=self.scheduler.wake,
            on_conflict=lambda: self.check_owner(spec.id),
        )

    def carried_items(self, spec: BatchSpec) -> frozenset[str]:
        """Return the items of a lot that stood in an earlier one."""
        earlier: set[str] = set()
        for run in self.scheduler.runs.values():
            if run.spec.id != spec.id:
                earlier.update(run.items.states)
        earlier.update(self.kept)
        return frozenset(item.id for item in spec.items if item.id in earlier)

    def stop_run(self, lot: str, reason: str) -> None:
        """Stop a lot here and keep the text of its unlisted items."""
        task = self.starting.pop(lot, None)
        if task is not None:
            task.cancel()
        run = self.scheduler.runs.pop(lot, None)
        if run is None:
            return
        self.keep(run.progress_so_far())
        run.stop(reason)
        self.scheduler.wake()

    def check_owner(self, lot: str) -> None:
        """Read a lot again whose results another process has listed as well."""
        task = asyncio.get_running_loop().create_task(self.fetch_quietly(lot))
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)

    async def fetch_quietly(self, lot: str) -> None:
        """Read a lot; the writes of a former owner fail in any case."""
        with contextlib.suppress(MetadataError):
            await self.fetch(lot)

    def progress_of(self, lot: str) -> dict[str, Progress]:
        """Return the text so far of the unlisted items of a lot that is run here."""
        run = self.scheduler.runs.get(lot)
        return {} if run is None else run.progress_so_far()

    def release(self, lot: str, reason: str) -> None:
        """Stop running a lot that another process has taken."""
        record = self.records.get(lot)
        if record is not None and record.owner == self.host:
            self.given[lot] = record.revision
        self.stop_run(lot, reason)

    def keep(self, progress: dict[str, Progress]) -> None:
        """Keep text that another lot, or another owner of the lot, may go on from."""
        self.kept.update(progress)
        while len(self.kept) > KEPT_PROGRESS:
            del self.kept[next(iter(self.kept))]

    def log_of(self, lot: str) -> BatchLog:
        """Return the log of a lot; there is one a process."""
        self.used_at[lot] = asyncio.get_running_loop().time()
        log = self.logs.get(lot)
        if log is None:
            log = BatchLog(self.client, lot, f"{self.host}/{self.incarnation}")
            self.logs[lot] = log
        return log

    def owned(self) -> list[BatchRecord]:
        """Return the lots that this host runs and that are not finished."""
        found = []
        for lot, run in self.scheduler.runs.items():
            if lot in self.records and not run.is_finished():
                found.append(self.records[lot])
        return found

    # Writes

    async def write_status(
        self, lot: str, owner: str | None = None, ended: bool | None = None, timeout_s: float = 3.0
    ) -> BatchRecord | None:
        """Change a lot's owner or end it; return the record, or None if there is no such lot.

        Raises
        ------
        MetadataError
            If the store did not answer in time.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + timeout_s
        record = self.records.get(lot) or await self.fetch(lot)
        while record is not None:
            if owner is not None and record.ended:
                return record
            status = record.status(owner, ended)
            if status == record.status():
                return record
            try:
                object = await self.client.set_status(
                    LOTS_KIND, lot, status, record.revision, give_up_at
                )
            except Conflict as conflict:
                if conflict.current is None:
                    return None
                former = record
                record = self.take(conflict.current)
                if owner is not None and record.owner != former.owner:
                    # Another process was first to change the owner.
                    return record
                continue
            return self.take(object)
        return None

    def take(self, object: StoredObject) -> BatchRecord:
        """Take an object that a call returned and return its record."""
        record = read_record(object)
        self.take_record(record)
        return record

    async def fetch(self, lot: str) -> BatchRecord | None:
        """Read a lot from the store; None means that there is none."""
        object = await self.client.get(LOTS_KIND, lot)
        return None if object is None else self.take(object)

    async def collect(self, lot: str) -> None:
        """Remove a lot whose lifetime is over."""
        objects, _ = await self.client.list_all(segment_kind(lot))
        for object in objects:
            await self.client.delete(segment_kind(lot), object.name)
        await self.client.delete(LOTS_KIND, lot)
        log_event(events.LOT_COLLECTED, lot=lot)

    # Reading

    def is_starting(self, lot: str) -> bool:
        """Return whether a lot is about to be run here."""
        run = self.scheduler.runs.get(lot)
        return lot in self.starting or (run is not None and not run.loaded)

    def local_results(self, lot: str) -> tuple[list[ItemResult], asyncio.Event] | None:
        """Return the results of a lot that is run here, and an event set by the next ones."""
        run = self.scheduler.runs.get(lot)
        if run is None or not run.loaded or not self.may_vouch():
            return None
        return run.log.results, run.writer.listed_changed

    async def stored_results(self, lot: str, after: int) -> list[ItemResult]:
        """Return the results of a lot from the store, read again if they end at a position."""
        log = self.log_of(lot)
        if len(log.results) <= after:
            await log.load()
        return log.results
