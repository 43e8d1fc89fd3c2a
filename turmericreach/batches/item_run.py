"""One run of an item at an engine."""

import asyncio
import enum

import attrs

from turmericreach.batches.event_stream import EventParser
from turmericreach.batches.model import BatchItem, Progress
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseIncomplete
from turmericreach.platform import targets as wire
from turmericreach.services import LoadReport, Target

__all__ = ["ItemBounds", "ItemOutcome", "RunReport", "run_item"]

# An engine that sends nothing for this long is given up. Loading weights takes about a second and
# pauses its runs.
FIRST_EVENT_TIMEOUT_S = 3.0
EVENT_TIMEOUT_S = 2.5


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
    """How a run ended, and why."""

    outcome: ItemOutcome
    detail: str = ""


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
    loop = asyncio.get_running_loop()
    try:
        connection = await pool.acquire(target.record.address)
    except ConnectFailed as error:
        return RunReport(ItemOutcome.NO_CONNECTION, str(error))
    try:
        async with asyncio.timeout(FIRST_EVENT_TIMEOUT_S) as limit:
            report = await exchange(connection, item, progress, target, bounds, limit, loop)
    except TimeoutError:
        report = RunReport(ItemOutcome.SILENT, "no event in time")
    except ResponseIncomplete as error:
        report = RunReport(ItemOutcome.BROKEN, str(error))
    except asyncio.CancelledError:
        connection.close()
        raise
    if connection.complete:
        pool.release(connection)
    else:
        connection.close()
    return report


async def exchange(connection, item, progress, target, bounds, limit, loop) -> RunReport:
    """Send the request and read its events."""
    fields = wire.item_fields(
        bounds.host,
        item.id,
        item.fields,
        target.id,
        bounds.time_left_s,
        progress.last_event_id,
        None,
    )
    head = await connection.request("POST", item.path, fields, item.body, wire.echo_of(item.id))
    answer = wire.read_answer(head.status, head.headers)
    note_load(target, answer, loop.time())
    if answer.status != 200:
        body = await connection.read_body()
        return classify(answer, body)
    if not answer.stamp:
        return RunReport(ItemOutcome.BROKEN, "no stamp")
    version = answer.weight_version or 0
    if version < bounds.min_version:
        target.model_versions[bounds.model] = version
        return RunReport(ItemOutcome.OLD_VERSION, f"version {version}")
    if version:
        target.note_version(bounds.model, version)
    if bounds.single_version and progress.versions and progress.versions != [version]:
        progress.clear()
        return RunReport(ItemOutcome.OLD_VERSION, f"version {version} after another")
    return await read_events(connection, progress, target, bounds, version, limit, loop)


async def read_events(connection, progress, target, bounds, version, limit, loop) -> RunReport:
    """Add the events of a response to the progress."""
    parser = EventParser()
    last_at = None
    async for chunk in connection.body_chunks():
        for event in parser.feed(chunk):
            for line in event.other_lines:
                version = wire.version_of_line(line) or version
            if not follows(progress.last_event_id, event.id):
                return RunReport(
                    ItemOutcome.BROKEN, f"event {event.id} after {progress.last_event_id}"
                )
            if bounds.single_version and progress.versions not in ([], [version]):
                progress.clear()
                return RunReport(ItemOutcome.OLD_VERSION, f"version {version} after another")
            progress.add(event.id, event.data, version)
            target.note_version(bounds.model, version)
            now = loop.time()
            if last_at is not None:
                target.note_latency(now - last_at)
            last_at = now
            limit.reschedule(now + EVENT_TIMEOUT_S)
    if parser.rest.strip():
        return RunReport(ItemOutcome.BROKEN, "ended inside an event")
    progress.whole = True
    return RunReport(ItemOutcome.WHOLE)


def follows(last_event_id: int | None, event_id: int | None) -> bool:
    """Return whether an event is the next one."""
    if event_id is None:
        return False
    if last_event_id is None:
        return event_id <= 1
    return event_id == last_event_id + 1


def classify(answer: wire.TargetAnswer, body: bytes) -> RunReport:
    """Return what an answer without events means."""
    detail = f"status {answer.status}"
    if answer.not_run:
        return RunReport(ItemOutcome.NOT_RUN, detail)
    if answer.status == 422:
        return RunReport(ItemOutcome.IMPOSSIBLE, detail)
    if answer.status == 500:
        return RunReport(ItemOutcome.FAILED, detail)
    return RunReport(ItemOutcome.BROKEN, f"{detail} {body[:80]!r}")


def note_load(target: Target, answer: wire.TargetAnswer, now: float) -> None:
    """Keep the load that a target tells."""
    if answer.load is None:
        return
    running, waiting, slots = answer.load
    target.load = LoadReport(running, waiting, slots, now)
    target.others = max(running + waiting - target.in_flight, 0)
