"""Append-only log of a lot's results in the metadata store."""

from typing import Any

import attrs
import msgspec

from turmericreach.batches.model import ItemResult
from turmericreach.batches.text_memory import encoded_bytes
from turmericreach.metadata import Conflict, MetadataClient
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["BatchLog", "SegmentConflict", "segment_kind"]

# Below the size limit of an object in the store, with room for the envelope of the results. Texts
# count twice, or as encoded if that is more, since most of their characters need one byte in JSON.
SEGMENT_BYTES = 600_000
# Encoded size of a result without its text.
RESULT_OVERHEAD_BYTES = 300


@attrs.frozen
class Segment:
    """Stored part of a log.

    Attributes
    ----------
    results : list of ItemResult
        Results in the order in which they are listed.
    """

    results: list[ItemResult]


class SegmentConflict(Exception):
    """Another process has already written the next segment."""


def segment_kind(lot: str) -> str:
    """Return the kind of the objects that hold a lot's results."""
    return f"lot-{lot}"


class BatchLog:
    """Ordered log of a lot's results, stored in numbered segments.

    Each append creates the object with the next number, and an object can be created only once.
    So two processes that append at the same time never list different results at one position,
    and a process that has not read the last segment cannot append. No lease is needed.

    Parameters
    ----------
    client : MetadataClient
        Client of the metadata store.
    lot : str
        Id of the lot.
    writer : str
        Identifies this process in the segments that it writes.

    Attributes
    ----------
    results : list of ItemResult
        Results that are known to be durable, in their order.
    listed : set of str
        Ids of the items of these results.
    segments : int
        Number of segments that hold these results.
    text_bytes : int
        Encoded size of the texts of these results.
    """

    def __init__(self, client: MetadataClient, lot: str, writer: str):
        self.client = client
        self.lot = lot
        self.writer = writer
        self.results: list[ItemResult] = []
        self.listed: set[str] = set()
        self.segments = 0
        self.text_bytes = 0

    async def load(self) -> None:
        """Read all segments and add the unknown ones.

        Raises
        ------
        Unavailable
            If the store is unavailable.
        """
        objects, _ = await self.client.list_all(segment_kind(self.lot))
        objects.sort(key=lambda object: object.name)
        for object in objects[self.segments :]:
            self.add_segment(object.spec)

    async def append(self, results: list[ItemResult]) -> int:
        """Append results durably and return how many were new.

        Results of items that are already listed are skipped.

        Raises
        ------
        SegmentConflict
            If another process has appended a segment; the log must be loaded again.
        """
        unlisted = [result for result in results if result.item not in self.listed]
        if not unlisted:
            return 0
        await self.append_segment(unlisted)
        return len(unlisted)

    async def fence(self) -> None:
        """Read all segments and append an empty one, so that no former owner can append.

        Load pattern: an owner that responds too late is replaced while it still works. It would
        list further results at positions at which this process would not find them.

        Raises
        ------
        MetadataError
            If the store is unavailable.
        """
        while True:
            await self.load()
            try:
                await self.append_segment([])
                return
            except SegmentConflict:
                # Another process has appended since the load.
                continue

    async def append_segment(self, results: list[ItemResult]) -> None:
        """Create the next segment.

        Raises
        ------
        SegmentConflict
            If another process has created it.
        """
        number = self.segments
        name = f"{number:06d}"
        spec = {
            "writer": self.writer,
            "first": len(self.results),
            "results": msgspec.to_builtins(results),
        }
        try:
            await self.client.create(segment_kind(self.lot), name, spec)
        except Conflict as error:
            raise SegmentConflict(name) from error
        if self.segments == number:
            # A concurrent load may have read the object before the response to this call arrived.
            self.add_segment(spec)

    def add_segment(self, spec: Any) -> None:
        """Add the results of a stored segment.

        A segment of another writer that cannot be decoded counts as empty, at every process alike.
        """
        for result in self.decode_segment(spec):
            self.results.append(result)
            self.text_bytes += encoded_bytes(result.text)
            self.listed.add(result.item)
        self.segments += 1

    def decode_segment(self, spec: Any) -> list[ItemResult]:
        """Return the results of a stored segment, none if it cannot be decoded."""
        try:
            return msgspec.convert(spec, Segment).results
        except msgspec.ValidationError as error:
            log_event(
                events.STORE_OBJECT_UNREADABLE, kind=segment_kind(self.lot), problem=str(error)
            )
            return []

    def split(self, results: list[ItemResult]) -> list[list[ItemResult]]:
        """Split results into parts that fit into one segment each."""
        parts, size = [[]], 0
        for result in results:
            cost = max(len(result.text.encode()) * 2, encoded_bytes(result.text))
            cost += RESULT_OVERHEAD_BYTES
            if parts[-1] and size + cost > SEGMENT_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(result)
            size += cost
        return parts
