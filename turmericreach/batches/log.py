"""The durable list of a lot's results."""

from typing import Any

import msgspec

from turmericreach.batches.model import ItemResult
from turmericreach.metadata import Conflict, MetadataClient

__all__ = ["BatchLog", "LogTaken", "segment_kind"]

# Below the store's largest object, with room for what surrounds the results.
SEGMENT_BYTES = 600_000
# Bytes of a result besides its text.
RESULT_OVERHEAD_BYTES = 300


class LogTaken(Exception):
    """Another process has written the next segment."""


def segment_kind(lot: str) -> str:
    """Return the kind of objects that holds a lot's results."""
    return f"lot-{lot}"


class BatchLog:
    """Results of a lot in their order.

    Each append creates the next numbered object, and an object is created once only. So two
    processes that append at the same time never list different results at one position, and one
    that has not read the last segment cannot append. This holds without any lease.

    Attributes
    ----------
    results : list of ItemResult
        What is known to be durable.
    segments : int
        Objects that hold them.
    """

    def __init__(self, client: MetadataClient, lot: str, writer: str):
        self.client = client
        self.lot = lot
        self.writer = writer
        self.results: list[ItemResult] = []
        self.listed: set[str] = set()
        self.segments = 0

    async def load(self) -> None:
        """Read all segments.

        Raises
        ------
        Unavailable
            If the store does not answer.
        """
        objects, _ = await self.client.list_all(segment_kind(self.lot))
        objects.sort(key=lambda object: object.name)
        for object in objects[self.segments :]:
            self.take(object.spec)

    async def append(self, results: list[ItemResult]) -> int:
        """Write results behind the last one and return how many; they are durable then.

        Items that are listed already are left out.

        Raises
        ------
        LogTaken
            If another process has appended; the log must be loaded again.
        """
        fresh = [result for result in results if result.item not in self.listed]
        if not fresh:
            return 0
        number = self.segments
        name = f"{number:06d}"
        spec = {
            "writer": self.writer,
            "first": len(self.results),
            "results": msgspec.to_builtins(fresh),
        }
        try:
            await self.client.create(segment_kind(self.lot), name, spec)
        except Conflict as error:
            raise LogTaken(name) from error
        if self.segments == number:
            # A read may have met the object before this call had its answer.
            self.take(spec)
        return len(fresh)

    def take(self, spec: Any) -> None:
        """Add the results of a segment."""
        for value in spec["results"]:
            result = msgspec.convert(value, ItemResult)
            self.results.append(result)
            self.listed.add(result.item)
        self.segments += 1

    def split(self, results: list[ItemResult]) -> list[list[ItemResult]]:
        """Return the results in parts that fit into one segment each."""
        parts, size = [[]], 0
        for result in results:
            cost = len(result.text.encode()) * 2 + RESULT_OVERHEAD_BYTES
            if parts[-1] and size + cost > SEGMENT_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(result)
            size += cost
        return parts
