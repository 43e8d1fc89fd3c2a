"""The buffered writer of the audit trail."""

import asyncio
import time
import uuid
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from turmericreach.audit.record import GAP_ACTION, AuditRecord, bound_record
from turmericreach.audit.segment import (
    AUDIT_KIND,
    Segment,
    decode_segment,
    encode_segment,
    extend,
    find_newest,
    lineage_of,
    segment_name,
)
from turmericreach.objectstore import (
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    write_confirmed,
)
from turmericreach.telemetry import events, log_event

__all__ = ["AuditLog"]

CAPACITY = 4096
FLUSH_INTERVAL_S = 1.0
DELAY_LOG_S = 30.0
OVERFLOW = "the buffer overflowed"
# Segments that one flush may find full or replaced, because another daemon wrote them.
MAX_STEPS = 4


class AuditLog:
    """Buffers records and writes them into segments.

    One daemon in each data centre writes at a time; two of them for a while lose and duplicate
    nothing, since every write is conditional. A record whose write has an unknown result stays in
    the buffer and is written again to the same segment, unless that holds it by then. If the
    segment was replaced meanwhile, so was any copy in it.

    Parameters
    ----------
    store : ObjectStore
        Where the segments are kept.
    data_centre : str
        Whose ring of segments is written.
    daemon : str
        Name in gap records.
    capacity : int
        Records that may wait.
    clock : callable
        Returns Unix time in seconds, for gap records.
    on_lost : callable, optional
        Takes the number of records that were lost.
    """

    def __init__(
        self,
        store: ObjectStore,
        data_centre: str,
        daemon: str,
        capacity: int = CAPACITY,
        clock: Callable[[], float] = time.time,
        on_lost: Callable[[int], None] | None = None,
    ):
        self.store = store
        self.data_centre = data_centre
        self.daemon = daemon
        self.capacity = capacity
        self.clock = clock
        self.on_lost = on_lost
        self.prefix = f"{daemon}-{uuid.uuid4().hex[:12]}"
        self.last_number = 0
        self.pending: OrderedDict[str, AuditRecord] = OrderedDict()
        self.lost: dict[str, int] = {}
        self.lost_since = 0.0
        self.sequence: int | None = None
        self.next_flush_at = 0.0
        self.delay_logged_at = float("-inf")

    def append(self, record: AuditRecord) -> bool:
        """Add a record to the buffer; return False if it is full and the record is lost."""
        if len(self.pending) >= self.capacity:
            self.lose(OVERFLOW, 1)
            return False
        bounded = bound_record(record, self.next_id())
        self.pending.setdefault(bounded.record_id, bounded)
        return True

    async def run(self) -> None:
        """Flush once a second until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            try:
                await self.flush()
            except ObjectStoreError:
                self.report_delay(asyncio.get_running_loop().time())

    def report_delay(self, now: float) -> None:
        """Log that records wait, not more often than `DELAY_LOG_S`."""
        if now - self.delay_logged_at < DELAY_LOG_S:
            return
        self.delay_logged_at = now
        log_event(events.AUDIT_DELAYED, pending=len(self.pending))

    async def flush(self) -> int:
        """Write buffered records, at most once a second, and return how many are settled.

        Raises
        ------
        ObjectStoreError
            If the write failed or its result is unknown; the records stay in the buffer.
        """
        now = asyncio.get_running_loop().time()
        self.add_gaps()
        if not self.pending or now < self.next_flush_at:
            return 0
        self.next_flush_at = now + FLUSH_INTERVAL_S
        if self.sequence is None:
            self.sequence = await find_newest(self.store, self.data_centre)
        before = len(self.pending)
        for _ in range(MAX_STEPS):
            try:
                await self.write_batch()
                return before - len(self.pending)
            except SegmentFull:
                self.sequence += 1
            except SegmentReplaced as error:
                self.sequence = error.sequence
        return before - len(self.pending)

    async def write_batch(self) -> None:
        """Write as many records as fit into the segment and drop them from the buffer."""
        batch = list(self.pending.values())
        change_id = self.next_id()

        def make_value(stored: StoredObject | None) -> bytes | None:
            current = decode_segment(stored.value) if stored else None
            return self.make_segment(current, change_id, batch)

        settled = await write_confirmed(
            self.store,
            AUDIT_KIND,
            segment_name(self.data_centre, self.sequence),
            make_value,
            lambda value: lineage_of(value)[0],
            lineage_of,
            max_attempts=1,
        )
        self.drop(decode_segment(settled.stored.value))

    def make_segment(
        self, current: Segment | None, change_id: str, batch: list[AuditRecord]
    ) -> bytes | None:
        """Return the new value of the slot, None if it holds all records already."""
        if current and current.sequence > self.sequence:
            raise SegmentReplaced(current.sequence)
        if current and current.sequence == self.sequence:
            self.drop(current)
            batch = [record for record in batch if record.record_id in self.pending]
            if not batch:
                return None
        segment = extend(current, self.sequence, change_id, batch)
        if segment is None:
            raise SegmentFull
        return encode_segment(segment)

    def drop(self, segment: Segment | None) -> None:
        """Drop the records that a segment holds from the buffer."""
        for record in segment.records if segment else ():
            self.pending.pop(record.record_id, None)

    def lose(self, reason: str, count: int) -> None:
        """Count lost records until the gap can be recorded."""
        if not self.lost:
            self.lost_since = self.clock()
        if reason not in self.lost:
            log_event(events.AUDIT_GAP, lost=count, reason=reason)
        self.lost[reason] = self.lost.get(reason, 0) + count
        if self.on_lost is not None:
            self.on_lost(count)

    def add_gaps(self) -> None:
        """Put gap records into the buffer when there is room."""
        for reason, count in list(self.lost.items()):
            gap = AuditRecord(
                self.lost_since, self.daemon, self.daemon, GAP_ACTION, "audit", reason, str(count)
            )
            if len(self.pending) >= self.capacity:
                return
            del self.lost[reason]
            self.append(gap)

    def next_id(self) -> str:
        """Return an id that no other daemon or incarnation uses."""
        self.last_number += 1
        return f"{self.prefix}-{self.last_number}"

    async def drain(
        self, timeout_s: float, hand_over: Callable[[], Awaitable[bool]] | None = None
    ) -> int:
        """Write what is left before a stop; return and log the number of records lost.

        Parameters
        ----------
        hand_over : callable, optional
            Passes the unwritten records on to another daemon, and returns whether that has them
            all.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while (self.pending or self.lost) and loop.time() < end:
            try:
                async with asyncio.timeout_at(end):
                    await asyncio.sleep(max(0.0, self.next_flush_at - loop.time()))
                    await self.flush()
            except (ObjectStoreError, TimeoutError):
                continue
        if self.pending and hand_over is not None and await hand_over():
            self.pending.clear()
        left = len(self.pending) + sum(self.lost.values())
        if left:
            log_event(events.AUDIT_GAP, lost=left, reason="the daemon stopped")
        return left


class SegmentFull(Exception):
    """The next record does not fit into the segment."""


class SegmentReplaced(Exception):
    """The slot holds a later segment, written by another daemon."""

    def __init__(self, sequence: int):
        super().__init__(sequence)
        self.sequence = sequence
