"""Writes the results of a lot to its log, several at a time."""

import asyncio
from collections.abc import Awaitable, Callable

from turmericreach.batches.log import BatchLog, SegmentConflict
from turmericreach.batches.model import ItemResult
from turmericreach.metadata import MetadataError
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ResultWriter"]

# Results wait this long for the others of their group, so that fewer objects are written.
GROUPING_S = 0.4
# Results of a complete group wait this long for results that become ready at the same time.
COMPLETE_GROUP_S = 0.05
RETRY_PAUSE_S = 0.1


class ResultWriter:
    """Writes results to the log and reports them as listed once they are durable.

    Load pattern: a trainer waits for complete groups, and each write to the store has a cost. So
    results wait for their group, but not for long.

    Parameters
    ----------
    log : BatchLog
        Log of the lot's results.
    total : int
        Number of items in the lot.
    completes_group : callable
        Returns whether any of the given results belongs to a complete group.
    on_listed : callable
        Called after each write.
    on_conflict : coroutine function
        Called when another process has listed results of the lot; returns once it is certain that
        the lot still runs here, and is cancelled if it does not.

    Attributes
    ----------
    ready : list of ItemResult
        Results that wait to be written.
    ready_since : float
        Loop time in seconds at which the oldest of them was added.
    listed_changed : asyncio.Event
        Set when further results are listed, and then replaced by a new event.
    """

    def __init__(
        self,
        log: BatchLog,
        total: int,
        completes_group: Callable[[list[ItemResult]], bool],
        on_listed: Callable[[], None],
        on_conflict: Callable[[], Awaitable[None]],
    ):
        self.log = log
        self.total = total
        self.completes_group = completes_group
        self.on_listed = on_listed
        self.on_conflict = on_conflict
        self.loop = asyncio.get_running_loop()
        self.ready: list[ItemResult] = []
        self.ready_since = 0.0
        self.ready_changed = asyncio.Event()
        self.listed_changed = asyncio.Event()

    def add(self, result: ItemResult) -> None:
        """Add a result to be written."""
        if not self.ready:
            self.ready_since = self.loop.time()
        self.ready.append(result)
        self.ready_changed.set()

    async def run(self) -> None:
        """Write results until all items are listed."""
        while len(self.log.results) < self.total:
            await self.ready_changed.wait()
            self.ready_changed.clear()
            if not self.ready:
                continue
            await self.wait_for_group()
            results, self.ready = self.ready, []
            try:
                for part in self.log.split(results):
                    await self.write(part)
            except Exception:
                # The log skips those of them that it has listed already.
                self.ready = results + self.ready
                self.ready_changed.set()
                raise

    async def wait_for_group(self) -> None:
        """Wait until a group is complete or the oldest result has waited long enough."""
        while not self.completes_group(self.ready):
            remaining_s = self.ready_since + GROUPING_S - self.loop.time()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await self.ready_changed.wait()
            except TimeoutError:
                return
            self.ready_changed.clear()
        await asyncio.sleep(COMPLETE_GROUP_S)

    async def write(self, results: list[ItemResult]) -> None:
        """Write results and retry until they are durable."""
        started_at = self.loop.time()
        while True:
            try:
                added = await self.log.append(results)
                break
            except SegmentConflict:
                await self.reload()
                # A former owner must not list results that the new one does not know of.
                await self.on_conflict()
            except MetadataError:
                # The client logs that the store is unavailable; the write is retried.
                await asyncio.sleep(RETRY_PAUSE_S)
        self.on_listed()
        self.listed_changed.set()
        self.listed_changed = asyncio.Event()
        log_event(
            events.RESULTS_LISTED,
            lot=self.log.lot,
            total=len(self.log.results),
            items=self.total,
            added=added,
            segment=self.log.segments,
            ms=round((self.loop.time() - started_at) * 1000),
        )

    async def reload(self) -> None:
        """Read the results that another process has listed, retrying until it succeeds."""
        while True:
            try:
                await self.log.load()
                return
            except MetadataError:
                # The client logs that the store is unavailable.
                await asyncio.sleep(RETRY_PAUSE_S)
