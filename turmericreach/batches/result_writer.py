"""Writes the results of a lot in groups."""

import asyncio
from collections.abc import Callable

from turmericreach.batches.log import BatchLog, LogTaken
from turmericreach.batches.model import ItemResult
from turmericreach.metadata import MetadataError
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ResultWriter"]

# Results wait this long for others of their group, so that fewer objects are written.
GROUPING_S = 0.4
# Results of a complete group wait for those that end at the same moment.
COMPLETE_GROUP_S = 0.05
RETRY_PAUSE_S = 0.1


class ResultWriter:
    """Lists results once they are durable.

    Load pattern: a trainer waits for whole groups, and each write of the store is paid for. So
    results wait for their group, but not for long.

    Parameters
    ----------
    log : BatchLog
        The lot's results.
    total : int
        Number of the lot's items.
    completes_group : callable
        Returns whether some results make a group complete.
    on_listed : callable
        Called after each write.
    on_conflict : callable
        Called when another process has listed results of the lot.
    """

    def __init__(
        self,
        log: BatchLog,
        total: int,
        completes_group: Callable[[list[ItemResult]], bool],
        on_listed: Callable[[], None],
        on_conflict: Callable[[], None],
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
        """Take a result to be written."""
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
            batch, self.ready = self.ready, []
            for part in self.log.split(batch):
                await self.write(part)

    async def wait_for_group(self) -> None:
        """Wait until a group is complete or the oldest result has waited long enough."""
        while not self.completes_group(self.ready):
            left_s = self.ready_since + GROUPING_S - self.loop.time()
            if left_s <= 0:
                return
            try:
                async with asyncio.timeout(left_s):
                    await self.ready_changed.wait()
            except TimeoutError:
                return
            self.ready_changed.clear()
        await asyncio.sleep(COMPLETE_GROUP_S)

    async def write(self, results: list[ItemResult]) -> None:
        """Write results until they are durable."""
        began = self.loop.time()
        while True:
            try:
                added = await self.log.append(results)
                break
            except LogTaken:
                await self.reload()
                self.on_conflict()
            except MetadataError:
                # The client logs a store that is away; the results wait for it.
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
            ms=round((self.loop.time() - began) * 1000),
        )

    async def reload(self) -> None:
        """Read what another process has listed."""
        while True:
            try:
                await self.log.load()
                return
            except MetadataError:
                # The client logs a store that is away.
                await asyncio.sleep(RETRY_PAUSE_S)
