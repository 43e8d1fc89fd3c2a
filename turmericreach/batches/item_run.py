"""One run of an item at an engine."""

import asyncio
import enum

import attrs

from turmericreach.batches.event_stream import EventParser
from turmericreach.batches.model import BatchItem, Progress
from turmericreach.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ResponseIncomplete,
)
from turmericreach.platform import targets as wire
from turmericreach.services import LoadReport, Target, has_lost_request

__all__ = ["ItemBounds", "ItemOutcome", "RunReport", "run_item"]

# An engine that sends nothing for this long is given up. Loading weights takes about a second and
# pauses its runs.
FIRST_EVENT_TIMEOUT_S = 3.0
EVENT_TIMEOUT_S = 2.5
# Between looks at an engine that has sent nothing yet.
CHECK_INTERVAL_S = 0.3


class ItemOutcome(enum.StrEnum):
    """How a run ended."""

    WHOLE = "whole"
    NOT_RUN = "not run"
    NO_CONNECTION = "no connection"
    BROKEN = "broken off"
    SILENT = "silent"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    OLD_VERSION = "old version"
    MOVED = "moved"


@attrs.frozen
class ItemBounds:
    """What a run must keep to.

    Attributes
    ----------
    host : str
        Host of the lot's route.
    model : str
        Model that generates.
    min_version : int
        Oldest version of the weights.
    single_version : bool
        Whether all events must come from one version.
    time_left_s : float
        Time after which the result is of no use.
    """

    host: str
    model: str
    min_version: int
    single_version: bool
    time_left_s: float


@attrs.frozen
class RunReport:
    """How a run ended, and why.

    Attributes
    ----------
    outcome : ItemOutcome
        How it ended.
    detail : str
        What was seen.
    first_event_ms : float or None
        From the request to the first event, None if there was none.
    """

    outcome: ItemOutcome
    detail: str = ""
    first_event_ms: float | None = None


async def run_item(
    item: BatchItem,
    progress: Progress,
    target: Target,
    bounds: ItemBounds,
    pool: ConnectionPool,
) -> RunReport:
    """Run an item, adding to its progress.

    A run goes on after the last event of the progress. Cancelling the task closes the
    connection, upon which the engine drops the request.
    """
    try:
        connection = await pool.acquire(target.record.address)
    except ConnectFailed as error:
        return RunReport(ItemOutcome.NO_CONNECTION, str(error))
    run = ItemRun(item, progress, target, bounds, connection)
    try:
        report = await run.report()
    except asyncio.CancelledError:
        connection.close()
        raise
    if connection.complete:
        pool.release(connection)
    else:
        connection.close()
    return report


class ItemRun:
    """One run of an item over one connection.

    Attributes
    ----------
    limit : asyncio.Timeout
        When the engine is given up.
    began : float
        Loop time of the request.
    first_event_ms : float or None
        From then to the first event.
    """

    def __init__(
        self,
        item: BatchItem,
        progress: Progress,
        target: Target,
        bounds: ItemBounds,
        connection: ClientConnection,
    ):
        self.item = item
        self.progress = progress
        self.target = target
        self.bounds = bounds
        self.connection = connection
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.limit = asyncio.timeout(FIRST_EVENT_TIMEOUT_S)
        self.first_event_ms: float | None = None
        self.check: asyncio.TimerHandle | None = None

    async def report(self) -> RunReport:
        """Run the item and return how it ended."""
        self.check = self.loop.call_later(CHECK_INTERVAL_S, self.check_first_event)
        try:
            async with self.limit:
                report = await self.exchange()
        except TimeoutError:
            report = RunReport(ItemOutcome.SILENT, "no event in time")
        except ResponseIncomplete as error:
            report = RunReport(ItemOutcome.BROKEN, str(error))
        finally:
            self.check.cancel()
        return attrs.evolve(report, first_event_ms=self.first_event_ms)

    def check_first_event(self) -> None:
        """End the run if the engine has lost it; look again later otherwise."""
        now = self.loop.time()
        if self.first_event_ms is not None or self.limit.expired():
            return
        if has_lost_request(self.target, now - self.began, now):
            self.limit.reschedule(now)
            return
        self.check = self.loop.call_later(CHECK_INTERVAL_S, self.check_first_event)

    async def exchange(self) -> RunReport:
        """Send the request and read its events."""
        item, target, bounds = self.item, self.target, self.bounds
        fields = wire.item_fields(
            bounds.host,
            item.id,
            item.fields,
            target.id,
            bounds.time_left_s,
            self.progress.last_event_id,
            None,
        )
        head = await self.connection.request(
            "POST", item.path, fields, item.body, wire.echo_field(item.id)
        )
        answer = wire.read_response_head(head.status, head.headers)
        note_load(target, answer, self.loop.time())
        if answer.status != 200:
            body = await self.connection.read_body()
            return classify(answer, body)
        if not answer.stamp:
            return RunReport(ItemOutcome.BROKEN, "no stamp")
        version = answer.weight_version or 0
        if version < bounds.min_version:
            target.model_versions[bounds.model] = version
            return RunReport(ItemOutcome.OLD_VERSION, f"version {version}")
        if version:
            target.note_version(bounds.model, version)
        if self.is_other_version(version):
            return RunReport(ItemOutcome.OLD_VERSION, f"version {version} after another")
        return await self.read_events(version)

    def is_other_version(self, version: int) -> bool:
        """Return whether an item of one version only meets another; drop its text then."""
        if not self.bounds.single_version or self.progress.versions in ([], [version]):
            return False
        self.progress.clear()
        return True

    async def read_events(self, version: int) -> RunReport:
        """Add the events of a response to the progress."""
        parser = EventParser()
        last_at = None
        async for chunk in self.connection.body_chunks():
            for event in parser.feed(chunk):
                for line in event.other_lines:
                    version = wire.version_of_line(line) or version
                last_id = self.progress.last_event_id
                if not follows(last_id, event.id):
                    return RunReport(ItemOutcome.BROKEN, f"event {event.id} after {last_id}")
                if self.is_other_version(version):
                    return RunReport(ItemOutcome.OLD_VERSION, f"version {version} after another")
                self.progress.add(event.id, event.data, version)
                self.target.note_version(self.bounds.model, version)
                last_at = self.note_event(last_at)
        if parser.rest.strip():
            return RunReport(ItemOutcome.BROKEN, "ended inside an event")
        self.progress.whole = True
        return RunReport(ItemOutcome.WHOLE)

    def note_event(self, last_at: float | None) -> float:
        """Keep what an event tells of its engine and return its loop time."""
        now = self.loop.time()
        self.target.note_sign_of_life(now)
        if last_at is None:
            seconds = now - self.began
            self.first_event_ms = seconds * 1000
            self.target.note_first_event(seconds)
        else:
            self.target.note_latency(now - last_at)
        self.limit.reschedule(now + EVENT_TIMEOUT_S)
        return now


def follows(last_event_id: int | None, event_id: int | None) -> bool:
    """Return whether an event is the next one."""
    if event_id is None:
        return False
    if last_event_id is None:
        return event_id <= 1
    return event_id == last_event_id + 1


def classify(answer: wire.TargetResponseHead, body: bytes) -> RunReport:
    """Return what an answer without events means."""
    detail = f"status {answer.status}"
    if answer.not_run:
        return RunReport(ItemOutcome.NOT_RUN, detail)
    if answer.status == 422:
        return RunReport(ItemOutcome.IMPOSSIBLE, detail)
    if answer.status == 500:
        return RunReport(ItemOutcome.FAILED, detail)
    return RunReport(ItemOutcome.BROKEN, f"{detail} {body[:80]!r}")


def note_load(target: Target, answer: wire.TargetResponseHead, now: float) -> None:
    """Keep the load that a target tells."""
    if answer.load is None:
        return
    running, waiting, slots = answer.load
    target.load = LoadReport(running, waiting, slots, now)
    target.others = max(running + waiting - target.in_flight, 0)
