"""A single run of an item at an engine."""

import asyncio
import enum

import attrs

from turmericreach.batches.event_stream import EventParser, follows
from turmericreach.batches.model import BatchItem, Progress
from turmericreach.batches.text_memory import TextMemory, encoded_bytes, max_text_bytes
from turmericreach.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ResponseIncomplete,
)
from turmericreach.platform import targets as wire
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.names import REPORT_PATH
from turmericreach.services import Target, TargetDirectory, has_lost_request
from turmericreach.services.identity import verify_run

__all__ = ["ItemOutcome", "RunConstraints", "RunReport", "run_item"]

# A run ends if its engine sends no event for this long. Loading weights takes about a second and
# pauses the runs of an engine.
FIRST_EVENT_TIMEOUT_S = 3.0
EVENT_TIMEOUT_S = 2.5
REPORT_TIMEOUT_S = 0.5
# Interval of the checks whether an engine that has sent no event yet has lost the request.
CHECK_INTERVAL_S = 0.3


class ItemOutcome(enum.StrEnum):
    """How a run ended.

    The metric of item runs is labelled with the first two words of the value and the detail.

    Attributes
    ----------
    COMPLETE
        All events arrived.
    NOT_RUN
        The engine rejected the request without running it.
    NO_CONNECTION
        The connection failed.
    INTERRUPTED
        The response ended early or was not valid.
    TIMED_OUT
        No event arrived in time, or the engine lost the request.
    FAILED
        The engine responded with status 500.
    IMPOSSIBLE
        The engine can never run the item (status 422).
    OLD_VERSION
        The version of the weights is too old, or differs from that of the text so far.
    MOVED
        The run was cancelled to continue at another engine.
    UNCONFIRMED
        A response without a length ended, which does not tell whether the text has.
    UNEXPECTED
        An error that nobody expected ended the run.
    """

    COMPLETE = "whole"
    NOT_RUN = "not run"
    NO_CONNECTION = "no connection"
    INTERRUPTED = "broken off"
    TIMED_OUT = "silent"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    OLD_VERSION = "old version"
    MOVED = "moved"
    UNCONFIRMED = "end unconfirmed"
    UNEXPECTED = "unexpected"


@attrs.frozen
class RunConstraints:
    """Constraints of a run.

    Attributes
    ----------
    host : str
        Host of the lot's route, sent as ``Host`` to the engine.
    model : str
        Model that generates the text.
    min_version : int
        Oldest version of the weights that may generate the text.
    single_version : bool
        Whether a single version of the weights must generate all events.
    remaining_s : float
        Seconds after which the result is of no use.
    tenant : str or None
        Tenant that the engine is told, or empty for none; None to send what the item says.
    """

    host: str
    model: str
    min_version: int
    single_version: bool
    remaining_s: float
    tenant: str | None = None


@attrs.frozen
class RunReport:
    """Outcome of a run.

    Attributes
    ----------
    outcome : ItemOutcome
        How the run ended.
    detail : str
        Explanation for the log, such as the status code or the error.
    first_event_ms : float or None
        Milliseconds from the request to the first event, None if there was none.
    """

    outcome: ItemOutcome
    detail: str = ""
    first_event_ms: float | None = None


async def run_item(
    item: BatchItem,
    progress: Progress,
    target: Target,
    constraints: RunConstraints,
    pool: ConnectionPool,
    directory: TargetDirectory,
    texts: TextMemory | None = None,
) -> RunReport:
    """Run an item at a target and add the generated events to its progress.

    A run resumes after the last event of the progress. Cancelling the task closes the
    connection, and the engine then cancels the request. `texts` bounds the memory of all texts.
    """
    try:
        connection = await pool.acquire(target.record.address, echo=wire.echo_field(item.id))
        await verify_run(connection, target, directory)
    except ConnectFailed as error:
        return RunReport(ItemOutcome.NO_CONNECTION, str(error))
    run = ItemRun(item, progress, target, constraints, connection, directory, texts)
    try:
        report = await run.execute()
    except BaseException:
        connection.close()
        raise
    if report.outcome is ItemOutcome.COMPLETE and connection.until_close:
        report = await confirm_end(run, report, pool)
    progress.whole = report.outcome is ItemOutcome.COMPLETE
    if connection.complete:
        pool.release(connection)
    else:
        connection.close()
    return report


async def confirm_end(run: "ItemRun", report: RunReport, pool: ConnectionPool) -> RunReport:
    """Return the report of a complete response without a length, unless its text may be cut.

    Such a response ends with its connection, and so does that of an engine that is killed. An
    engine that is asked to continue after the last event of a text sends nothing, so a text has
    ended if a run adds nothing to it at an engine that still lives.
    """
    if run.adds_events():
        return attrs.evolve(
            report, outcome=ItemOutcome.UNCONFIRMED, detail="after a response without a length"
        )
    # The text may be discarded during the call.
    if await is_alive(run.target, pool) and not run.adds_events():
        return report
    return attrs.evolve(report, outcome=ItemOutcome.INTERRUPTED, detail="the engine has ended")


async def is_alive(target: Target, pool: ConnectionPool) -> bool:
    """Return whether a target answers a call for its report in the run that is listed."""
    try:
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            head, body = await pool.fetch(
                target.record.address,
                "GET",
                REPORT_PATH,
                wire.report_fields(),
                echo=wire.echo_field(),
            )
        report = wire.decode_report(body) if head.status == 200 else None
    except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError):
        # The caller logs that the run was interrupted.
        return False
    if report is None:
        return False
    return report.started_ms in (0, target.record.started_ms) or not target.record.started_ms


class ItemRun:
    """One run of an item over one connection.

    Attributes
    ----------
    timeout : asyncio.Timeout
        Timeout of the next event, rescheduled at each event.
    started_at : float
        Loop time in seconds at which the request was sent.
    first_event_ms : float or None
        Milliseconds from then to the first event, None if there was none.
    resumed_after : int or None
        Id of the event after which the run continues, None if it begins anew.
    first_event_check : asyncio.TimerHandle or None
        Next check whether the engine has lost the request.
    """

    def __init__(
        self,
        item: BatchItem,
        progress: Progress,
        target: Target,
        constraints: RunConstraints,
        connection: ClientConnection,
        directory: TargetDirectory,
        texts: TextMemory | None = None,
    ):
        self.item = item
        self.progress = progress
        self.target = target
        self.constraints = constraints
        self.connection = connection
        self.directory = directory
        self.texts = texts
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.timeout = asyncio.timeout(FIRST_EVENT_TIMEOUT_S)
        self.first_event_ms: float | None = None
        self.resumed_after = progress.last_event_id
        self.first_event_check: asyncio.TimerHandle | None = None

    def adds_events(self) -> bool:
        """Return whether the run has added events to the text."""
        return self.progress.last_event_id != self.resumed_after

    async def execute(self) -> RunReport:
        """Run the item and return how it ended."""
        self.first_event_check = self.loop.call_later(CHECK_INTERVAL_S, self.check_first_event)
        try:
            async with self.timeout:
                report = await self.exchange()
        except TimeoutError:
            report = RunReport(ItemOutcome.TIMED_OUT, "no event before the timeout")
        except ResponseIncomplete as error:
            report = RunReport(ItemOutcome.INTERRUPTED, str(error))
        finally:
            self.first_event_check.cancel()
        return attrs.evolve(report, first_event_ms=self.first_event_ms)

    def check_first_event(self) -> None:
        """End the run if the engine has lost the request, else schedule the next check."""
        now = self.loop.time()
        if self.first_event_ms is not None or self.timeout.expired():
            return
        if has_lost_request(self.target, now - self.started_at, now):
            self.timeout.reschedule(now)
            return
        self.first_event_check = self.loop.call_later(CHECK_INTERVAL_S, self.check_first_event)

    async def exchange(self) -> RunReport:
        """Send the request and read the events of the response."""
        item, target, constraints = self.item, self.target, self.constraints
        fields = wire.item_fields(
            constraints.host,
            item.id,
            item.fields,
            target.id,
            constraints.remaining_s,
            self.progress.last_event_id,
            None,
            constraints.tenant,
        )
        head = await self.connection.request(
            "POST", item.path, fields, item.body, wire.echo_field(item.id)
        )
        response = wire.read_response_head(head.status, head.headers)
        self.directory.record_state(target, response, self.started_at, self.loop.time())
        if response.load is not None:
            running, waiting, _ = response.load
            target.other_requests = max(running + waiting - target.in_flight, 0)
        if response.status != 200:
            body = await self.connection.read_body()
            return classify_response(response, body)
        if not response.stamp:
            return RunReport(ItemOutcome.INTERRUPTED, "response has no stamp")
        version = response.weight_version or 0
        if self.is_too_old(version):
            return RunReport(ItemOutcome.OLD_VERSION, f"version {version}")
        if version:
            target.record_version(constraints.model, version)
        if self.clear_on_version_change(version):
            return RunReport(ItemOutcome.OLD_VERSION, f"version {version} after another")
        return await self.read_events(version)

    def is_too_old(self, version: int) -> bool:
        """Return whether a version must not generate the text, and record it for the target.

        An engine may go back to an older version while it generates: it carries out an order whose
        response was lost seconds late, and after a restart it no longer knows newer ones.
        """
        if version >= self.constraints.min_version:
            return False
        self.target.model_versions[self.constraints.model] = version
        return True

    def clear_on_version_change(self, version: int) -> bool:
        """Discard the progress if it must have a single version and this one differs.

        Returns
        -------
        bool
            Whether the progress was discarded.
        """
        if not self.constraints.single_version or self.progress.versions in ([], [version]):
            return False
        self.progress.clear()
        return True

    async def read_events(self, version: int) -> RunReport:
        """Add the events of a response to the progress.

        The text may be discarded at any time, also between its last event and the end of the
        response.
        """
        newest_id = self.progress.last_event_id
        parser = EventParser()
        last_at = None
        text_bytes = sum(map(encoded_bytes, self.progress.events))
        async for chunk in self.connection.body_chunks():
            for event in parser.feed(chunk):
                if len(self.progress.events) >= self.item.tokens > 0:
                    # Each event holds at least one token, so these are not the item's events.
                    self.progress.clear()
                    return RunReport(ItemOutcome.INTERRUPTED, "more events than tokens")
                for line in event.other_lines:
                    version = wire.version_of_line(line) or version
                last_id = self.progress.last_event_id
                if event.is_comment():
                    continue
                if event.spliced or not event.valid:
                    return RunReport(ItemOutcome.INTERRUPTED, "an event holds other bytes")
                if not follows(last_id, event.id):
                    return RunReport(ItemOutcome.INTERRUPTED, f"event {event.id} after {last_id}")
                if self.is_too_old(version):
                    detail = f"version {version} from event {event.id} on"
                    return RunReport(ItemOutcome.OLD_VERSION, detail)
                if self.clear_on_version_change(version):
                    return RunReport(ItemOutcome.OLD_VERSION, f"version {version} after another")
                text_bytes += encoded_bytes(event.data)
                if text_bytes > max_text_bytes(self.item):
                    self.progress.clear()
                    return RunReport(ItemOutcome.INTERRUPTED, "text larger than its tokens")
                self.progress.add(event.id, event.data, version, self.target.record.software)
                newest_id = event.id
                self.target.record_version(self.constraints.model, version)
                last_at = self.record_event(last_at)
                if self.texts is not None:
                    self.texts.add(event.data)
        if parser.rest.strip():
            return RunReport(ItemOutcome.INTERRUPTED, "stream ended inside an event")
        if newest_id is None:
            # A resumed stream may have nothing left, a new one has at least one event.
            return RunReport(ItemOutcome.INTERRUPTED, "stream without an event")
        if self.progress.last_event_id != newest_id:
            return RunReport(ItemOutcome.INTERRUPTED, "text discarded before the end")
        return RunReport(ItemOutcome.COMPLETE)

    def record_event(self, last_at: float | None) -> float:
        """Record the latency of an event at its engine and return the loop time of its arrival."""
        now = self.loop.time()
        self.target.record_response(now)
        if last_at is None:
            seconds = now - self.started_at
            self.first_event_ms = seconds * 1000
            self.target.record_first_event(seconds)
        else:
            self.target.record_event(now - last_at, now)
        self.timeout.reschedule(now + EVENT_TIMEOUT_S)
        return now


def classify_response(response: wire.TargetResponseHead, body: bytes) -> RunReport:
    """Return the outcome of a response with a status other than 200."""
    detail = f"status {response.status}"
    if response.not_run:
        return RunReport(ItemOutcome.NOT_RUN, detail)
    if response.status == 422:
        return RunReport(ItemOutcome.IMPOSSIBLE, detail)
    if response.status == 500:
        return RunReport(ItemOutcome.FAILED, detail)
    return RunReport(ItemOutcome.INTERRUPTED, f"{detail} {body[:80]!r}")
