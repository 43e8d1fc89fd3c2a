"""Registry of all known lots; runs those that this host owns."""

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterator

import attrs

from turmericreach.batches.arrivals import ModelArrival, next_arrival
from turmericreach.batches.checkpoints import CheckpointStore, CheckpointSwitch
from turmericreach.batches.items import ItemState, ItemTable
from turmericreach.batches.log import BatchLog, segment_kind
from turmericreach.batches.lot_route import RouteLookup
from turmericreach.batches.model import BatchSpec, ItemResult, Progress
from turmericreach.batches.records import AcceptedTerms, BatchRecord, read_record
from turmericreach.batches.run import BatchRun
from turmericreach.batches.scheduler import ItemScheduler
from turmericreach.batches.scoring import ScorerCalls
from turmericreach.batches.text_memory import TEXT_MEMORY_SHARE, TextMemory, held_bytes
from turmericreach.coordination.names import CHECKPOINTS_KIND, LOTS_KIND
from turmericreach.http1 import ConnectionPool
from turmericreach.metadata import (
    Conflict,
    MetadataClient,
    MetadataError,
    StoredObject,
    Unavailable,
)
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.lots import decode_submission
from turmericreach.services import Configuration
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.unexpected import log_unexpected

__all__ = ["BatchRegistry"]

# Maximum number of items whose text is cached for a later lot.
MAX_CACHED_PROGRESS = 512
START_RETRY_S = 0.2
OBJECT_DELAY_S = 0.05
# Pause after an unexpected error, which may come again at once.
UNEXPECTED_PAUSE_S = 0.5


class BatchRegistry:
    """Follows the stored lots and runs those whose owner is this host.

    Parameters
    ----------
    host : str
        Name of this host, as it is stored in the owner field of a lot.
    incarnation : str
        Unique id of this run of the process.
    configuration : callable
        Returns the configuration in force, None before the first one.

    Attributes
    ----------
    records : dict of str to BatchRecord
        Known lots by id.
    logs : dict of str to BatchLog
        Results of lots that run or were read here, by lot.
    cached_progress : dict of str to Progress
        Text by item, for items whose run here stopped before their result was listed.
    arrivals : dict of str to ModelArrival
        Newest lot of each model.
    starting : dict of str to asyncio.Task
        Lots that are about to run here, with the task that starts each.
    handed_over : dict of str to int
        Lots handed over to other processes, with the revision of the record at that time. The
        record may still name this host as the owner until the change becomes known here.
    used_at : dict of str to float
        Loop time in seconds at which each lot was last changed or read here.
    ownership_checks : set of asyncio.Task
        Reads of lots whose ownership is in doubt.
    newest_revision : int
        Highest revision of a lot that was read, written or reported here.
    can_confirm_ownership : callable
        Returns whether this process can be sure that it still owns its lots.
    text_bytes : int
        Largest memory of the texts of unlisted items, and of the cached ones.
    texts : TextMemory
        Bounds the texts of the items of lots that run here.
    checkpoint_switch : CheckpointSwitch or None
        Tells whether copies of long texts are kept in the metadata store; never without it.
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
        memory_bytes: int,
        checkpoint_switch: CheckpointSwitch | None = None,
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
        self.cached_progress: dict[str, Progress] = {}
        self.arrivals: dict[str, ModelArrival] = {}
        self.starting: dict[str, asyncio.Task] = {}
        self.handed_over: dict[str, int] = {}
        self.used_at: dict[str, float] = {}
        self.ownership_checks: set[asyncio.Task] = set()
        self.newest_revision = 0
        self.can_confirm_ownership: Callable[[], bool] = lambda: True
        self.text_bytes = int(memory_bytes * TEXT_MEMORY_SHARE)
        self.texts = TextMemory(self.text_bytes, self.unlisted_items)
        self.checkpoint_switch = checkpoint_switch

    # Changes in the store

    def object_changed(self, object: StoredObject) -> None:
        """Apply a stored lot that changed."""
        try:
            record = read_record(object)
        except DecodeError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=str(error))
            return
        self.apply_record(record)

    def apply_record(self, record: BatchRecord) -> None:
        """Apply the record of a lot unless it is stale; keep the known object if it has none."""
        known = self.records.get(record.lot)
        self.newest_revision = max(self.newest_revision, record.revision)
        if known is not None and known.revision >= record.revision:
            if known.object is None and record.object is not None:
                self.records[record.lot] = attrs.evolve(known, object=record.object)
            return
        self.used_at[record.lot] = asyncio.get_running_loop().time()
        if record.object is None and known is not None:
            record = attrs.evolve(record, object=known.object)
        if known is None and record.object is not None and not record.ended:
            self.record_demand(record)
        self.records[record.lot] = record
        self.reconcile(record)

    def record_demand(self, record: BatchRecord) -> None:
        """Record the arrival of the newest lot of a model and its expected work."""
        now = asyncio.get_running_loop().time()
        former = self.arrivals.get(record.model)
        self.arrivals[record.model] = next_arrival(
            former, now, record.expected_tokens, record.item_count, record.host, record.path
        )

    def object_removed(self, object: StoredObject) -> None:
        """Stop and remove a lot that was removed from the store."""
        lot = object.name
        self.stop_run(lot, "removed")
        self.remove(lot)

    def remove(self, lot: str) -> None:
        """Remove the local state of a lot."""
        self.records.pop(lot, None)
        self.handed_over.pop(lot, None)
        self.logs.pop(lot, None)
        self.used_at.pop(lot, None)

    def evict_unused(self, idle_s: float) -> None:
        """Evict lots that do not run here and were not used for `idle_s` seconds.

        If the results of such lots exceed their memory, those used least recently are evicted too.

        Only the coordinator is notified when lots are removed from the store. An evicted lot that
        is requested again is read from the store.
        """
        now = asyncio.get_running_loop().time()
        idle = {lot: at for lot, at in self.used_at.items() if lot not in self.scheduler.runs}
        held = sum(self.logs[lot].text_bytes for lot in idle if lot in self.logs)
        for lot, used_at in sorted(idle.items(), key=lambda entry: entry[1]):
            if now - used_at > idle_s:
                self.remove(lot)
            elif held > self.text_bytes and lot in self.logs:
                held -= self.logs.pop(lot).text_bytes

    def reconcile(self, record: BatchRecord) -> None:
        """Start or stop a lot here according to its record."""
        mine = record.owner == self.host and not record.ended
        if mine and self.handed_over.get(record.lot) == record.revision:
            return
        running = record.lot in self.scheduler.runs or record.lot in self.starting
        if mine and not running:
            task = asyncio.get_running_loop().create_task(self.start_run(record))
            self.starting[record.lot] = task
            task.add_done_callback(lambda done: self.on_start_done(record.lot, done))
        elif running and not mine:
            self.stop_run(record.lot, "ended" if record.ended else f"owned by {record.owner}")

    # Runs

    async def start_run(self, record: BatchRecord) -> None:
        """Run a lot here once its object is known."""
        if record.object is None:
            record = await self.read_with_object(record.lot)
        if record is None:
            return
        run = await self.make_run(record)
        if run is None:
            return
        self.scheduler.runs[record.lot] = run
        await run.start(self.cached_progress, record.may_have_former_owner())
        log_event(
            events.BATCH_TAKEN,
            lot=record.lot,
            listed=len(run.log.results),
            items=len(run.items.states),
            reason="owner according to the store",
            first_owner=record.object.spec["owner"],
            revision=record.revision,
        )

    def on_start_done(self, lot: str, task: asyncio.Task) -> None:
        """Remove a finished start task and log its failure."""
        if self.starting.get(lot) is task:
            del self.starting[lot]
        if task.cancelled() or task.exception() is None:
            return
        log_unexpected("start of a lot", lot, task.exception())
        asyncio.get_running_loop().call_later(UNEXPECTED_PAUSE_S, self.start_again, lot)

    def start_again(self, lot: str) -> None:
        """Start a lot again whose start an unexpected error has ended."""
        record = self.records.get(lot)
        run = self.scheduler.runs.get(lot)
        if run is not None and not run.loaded:
            del self.scheduler.runs[lot]
            run.stop("the start failed")
        if record is not None:
            self.reconcile(record)

    async def read_with_object(self, lot: str) -> BatchRecord | None:
        """Return a record with its object, or None if the lot should no longer run here."""
        # The process that accepted the lot sends its object at the same time, which saves a read.
        await asyncio.sleep(OBJECT_DELAY_S)
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
        """Create the run of a lot once it is known where it may run; None if it is unreadable."""
        try:
            spec = decode_submission(
                record.lot, record.host, record.path, record.document, record.tenant
            )
        except DecodeError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=LOTS_KIND, problem=str(error))
            return None
        while True:
            if self.configuration() is not None:
                break
            await asyncio.sleep(START_RETRY_S)
        items = ItemTable(
            spec,
            RouteLookup(spec, self.configuration),
            submitted_at=asyncio.get_running_loop().time() - record.age_s(),
            terms=record.terms or self.present_terms(record.host, record.path),
            carried=self.carried_items(spec),
        )
        return BatchRun(
            items=items,
            log=self.get_log(record.lot),
            directory=self.scheduler.directory,
            pool=self.pool,
            scorer_calls=self.scorer_calls,
            on_wake=self.scheduler.wake,
            on_conflict=lambda: self.confirm_owner(spec.id),
            texts=self.texts,
            checkpoints=self.checkpoints_of(spec.id),
            tenants_apply=self.tenants_apply,
        )

    def present_terms(self, host: str, path: str) -> AcceptedTerms:
        """Return the terms on which a lot would be accepted now."""
        configuration = self.configuration()
        route = None if configuration is None else configuration.find_route(host, path)
        return AcceptedTerms.of_route(route)

    def checkpoints_of(self, lot: str) -> CheckpointStore | None:
        """Return the store of the copies of a lot's texts, None if none are kept."""
        if self.checkpoint_switch is None:
            return None
        return CheckpointStore(self.client, lot, self.checkpoint_switch)

    def tenants_apply(self) -> bool:
        """Return whether tenants are configured."""
        configuration = self.configuration()
        return configuration is not None and configuration.tenants is not None

    def carried_items(self, spec: BatchSpec) -> frozenset[str]:
        """Return the ids of the items of a lot that were also in an earlier lot."""
        earlier: set[str] = set()
        for run in self.scheduler.runs.values():
            if run.spec.id != spec.id:
                earlier.update(run.items.states)
        earlier.update(self.cached_progress)
        return frozenset(item.id for item in spec.items if item.id in earlier)

    def stop_run(self, lot: str, reason: str) -> None:
        """Stop a lot here and cache the text of its unlisted items."""
        task = self.starting.pop(lot, None)
        if task is not None:
            task.cancel()
        run = self.scheduler.runs.pop(lot, None)
        if run is None:
            return
        self.cache_progress(run.progress_so_far())
        run.stop(reason)
        self.scheduler.wake()

    async def confirm_owner(self, lot: str) -> None:
        """Read a lot again until the store responds; its run stops if another process owns it."""
        while True:
            try:
                if await self.fetch(lot) is None:
                    self.stop_run(lot, "removed")
                break
            except MetadataError:
                # The client logs that the store is unavailable.
                await asyncio.sleep(START_RETRY_S)
        # A run that was stopped is cancelled here, before it writes anything.
        await asyncio.sleep(0)

    def check_owner(self, lot: str) -> None:
        """Read a lot again in the background, since another process may own it."""
        task = asyncio.get_running_loop().create_task(self.fetch_ignoring_errors(lot))
        self.ownership_checks.add(task)
        task.add_done_callback(self.ownership_checks.discard)

    async def fetch_ignoring_errors(self, lot: str) -> None:
        """Read a lot and ignore errors, since the writes of a former owner fail anyway."""
        with contextlib.suppress(MetadataError):
            await self.fetch(lot)

    def progress_of(self, lot: str) -> dict[str, Progress]:
        """Return the text so far of the unlisted items of a lot that runs here."""
        run = self.scheduler.runs.get(lot)
        return {} if run is None else run.progress_so_far()

    def release(self, lot: str, reason: str) -> None:
        """Stop running a lot that another process has accepted."""
        record = self.records.get(lot)
        if record is not None and record.owner == self.host:
            self.handed_over[lot] = record.revision
        self.stop_run(lot, reason)

    def cache_progress(self, progress: dict[str, Progress]) -> None:
        """Cache text from which a later lot, or this host as the new owner, can resume."""
        self.cached_progress.update(progress)
        total = sum(map(held_bytes, self.cached_progress.values()))
        for item, text in list(self.cached_progress.items()):
            if len(self.cached_progress) <= MAX_CACHED_PROGRESS and total <= self.text_bytes:
                return
            total -= held_bytes(text)
            del self.cached_progress[item]

    def unlisted_items(self) -> Iterator[ItemState]:
        """Yield the states of the items of all lots that run here."""
        for run in self.scheduler.runs.values():
            yield from run.items.states.values()

    def get_log(self, lot: str) -> BatchLog:
        """Return the log of a lot, one per process; create it if needed."""
        self.used_at[lot] = asyncio.get_running_loop().time()
        log = self.logs.get(lot)
        if log is None:
            log = BatchLog(self.client, lot, f"{self.host}/{self.incarnation}")
            self.logs[lot] = log
        return log

    def models_of_absent_owners(self, present: Collection[str]) -> set[str]:
        """Return the models of the open lots whose owner is not among the present hosts."""
        found = set()
        for record in self.records.values():
            if record.ended or record.object is None or record.owner in present:
                continue
            if record.terms is None or record.age_s() < record.terms.item_lifetime_s:
                found.add(record.model)
        return found

    def owned_records(self) -> list[BatchRecord]:
        """Return the records of the unfinished lots that run here."""
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

        An ended lot keeps its owner, and so does a lot whose owner another process has changed
        meanwhile.

        Raises
        ------
        MetadataError
            If the store did not respond before the timeout.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        record = self.records.get(lot) or await self.fetch(lot)
        while record is not None:
            if owner is not None and record.ended:
                return record
            status = record.status(owner, ended)
            if status == record.status():
                return record
            try:
                object = await self.client.set_status(
                    LOTS_KIND, lot, status, record.revision, deadline
                )
            except Conflict as conflict:
                if conflict.current is None:
                    return None
                former = record
                record = self.apply_object(conflict.current)
                if owner is not None and record.owner != former.owner:
                    # Another process changed the owner first.
                    return record
                continue
            return self.apply_object(object)
        return None

    def apply_object(self, object: StoredObject) -> BatchRecord:
        """Apply an object that the store returned and return its record.

        Raises
        ------
        Unavailable
            If the object is not the record of a lot.
        """
        try:
            record = read_record(object)
        except DecodeError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=str(error))
            raise Unavailable(str(error)) from error
        self.apply_record(record)
        return record

    async def fetch(self, lot: str) -> BatchRecord | None:
        """Read a lot from the store; return None if it does not exist."""
        object = await self.client.get(LOTS_KIND, lot)
        return None if object is None else self.apply_object(object)

    async def collect(self, lot: str) -> None:
        """Remove an expired lot and its results from the store."""
        objects, _ = await self.client.list_all(segment_kind(lot))
        for object in objects:
            await self.client.delete(segment_kind(lot), object.name)
        if self.checkpoint_switch is not None and self.checkpoint_switch.is_on():
            await self.client.delete(CHECKPOINTS_KIND, lot)
        await self.client.delete(LOTS_KIND, lot)
        log_event(events.LOT_COLLECTED, lot=lot)

    # Reading

    def is_starting(self, lot: str) -> bool:
        """Return whether a lot is starting here and has not loaded its results yet."""
        run = self.scheduler.runs.get(lot)
        return lot in self.starting or (run is not None and not run.loaded)

    def local_results(self, lot: str) -> tuple[list[ItemResult], asyncio.Event] | None:
        """Return the results of a lot that runs here, and an event set on further results.

        Returns None if the lot does not run here or its ownership cannot be confirmed.
        """
        run = self.scheduler.runs.get(lot)
        if run is None or not run.loaded or not self.can_confirm_ownership():
            return None
        return run.log.results, run.writer.listed_changed

    async def stored_results(self, lot: str, after: int) -> list[ItemResult]:
        """Return the results of a lot; read the store if none after position `after` is known."""
        log = self.get_log(lot)
        if len(log.results) <= after:
            await log.load()
        return log.results
