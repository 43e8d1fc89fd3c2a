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
    extend_segment,
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
OVERFLOW_REASON = "the buffer overflowed"
# Limit on the segments that one flush tries, since another daemon may have filled or replaced some.
MAX_SEGMENTS_PER_FLUSH = 4


class AuditLog:
    """Buffers audit records and writes them into segments.

    Normally one daemon in each data centre writes at a time. If two write for a while, no record is
    lost or duplicated, since every write is conditional. A record whose write has an unknown result
    stays in the buffer. It is written again to the same segment unless the segment contains it by
    then. If the segment was replaced in between, any copy of the record in it was replaced as well.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API, which stores the segments.
    data_centre : str
        Data centre whose ring of segments is written.
    daemon : str
        Name of this daemon, used in gap records and in record ids.
    capacity : int
        Number of records that the buffer can hold.
    clock : callable
        Returns Unix time in seconds, for gap records.
    on_lost : callable, optional
        Called with the number of records that were lost.

    Attributes
    ----------
    pending : OrderedDict of str to AuditRecord
        Records that are not known to be written, by record id.
    lost : dict of str to int
        Number of lost records that have no gap record yet, by reason.
    sequence : int or None
        Segment that is being written; None before the first flush.
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
        """Add a record to the buffer; return False if the buffer is full and the record is lost."""
        if len(self.pending) >= self.capacity:
            self.record_loss(OVERFLOW_REASON, 1)
            return False
        bounded = bound_record(record, self.next_id())
        self.pending.setdefault(bounded.record_id, bounded)
        return True

    async def run(self) -> None:
        """Flush once a second until cancelled; failures are logged and retried."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            try:
                await self.flush()
            except ObjectStoreError:
                self.log_delay(asyncio.get_running_loop().time())

    def log_delay(self, now: float) -> None:
        """Log that records are waiting, at most once in `DELAY_LOG_S` seconds."""
        if now - self.delay_logged_at < DELAY_LOG_S:
            return
        self.delay_logged_at = now
        log_event(events.AUDIT_DELAYED, pending=len(self.pending))

    async def flush(self) -> int:
        """Write buffered records, at most once a second, and return how many left the buffer.

        Raises
        ------
        ObjectStoreError
            If the write failed or its result is unknown; the records stay in the buffer.
        """
        now = asyncio.get_running_loop().time()
        self.add_gap_records()
        if not self.pending or now < self.next_flush_at:
            return 0
        self.next_flush_at = now + FLUSH_INTERVAL_S
        if self.sequence is None:
            self.sequence = await find_newest(self.store, self.data_centre)
        before = len(self.pending)
        for _ in range(MAX_SEGMENTS_PER_FLUSH):
            try:
                await self.write_pending()
                return before - len(self.pending)
            except SegmentFull:
                self.sequence += 1
            except SegmentReplaced as error:
                self.sequence = error.sequence
        return before - len(self.pending)

    async def write_pending(self) -> None:
        """Write as many records as fit into the segment and remove them from the buffer.

        Raises
        ------
        SegmentFull
            If not even one record fits.
        SegmentReplaced
            If the slot holds a later segment.
        ObjectStoreError
            If the write failed or its result is unknown.
        """
        records = list(self.pending.values())
        change_id = self.next_id()

        def make_value(stored: StoredObject | None) -> bytes | None:
            current = decode_segment(stored.value) if stored else None
            return self.make_segment(current, change_id, records)

        settled = await write_confirmed(
            self.store,
            AUDIT_KIND,
            segment_name(self.data_centre, self.sequence),
            make_value,
            lambda value: lineage_of(value)[0],
            lineage_of,
            max_attempts=1,
        )
        self.remove_written(decode_segment(settled.stored.value))

    def make_segment(
        self, current: Segment | None, change_id: str, records: list[AuditRecord]
    ) -> bytes | None:
        """Return the new value of the slot, or None if it already holds all records."""
        if current and current.sequence > self.sequence:
            raise SegmentReplaced(current.sequence)
        if current and current.sequence == self.sequence:
            self.remove_written(current)
            records = [record for record in records if record.record_id in self.pending]
            if not records:
                return None
        segment = extend_segment(current, self.sequence, change_id, records)
        if segment is None:
            raise SegmentFull
        return encode_segment(segment)

    def remove_written(self, segment: Segment | None) -> None:
        """Remove the records that a segment contains from the buffer."""
        for record in segment.records if segment else ():
            self.pending.pop(record.record_id, None)

    def record_loss(self, reason: str, count: int) -> None:
        """Count lost records until a gap record can be added for them."""
        if not self.lost:
            self.lost_since = self.clock()
        if reason not in self.lost:
            log_event(events.AUDIT_GAP, lost=count, reason=reason)
        self.lost[reason] = self.lost.get(reason, 0) + count
        if self.on_lost is not None:
            self.on_lost(count)

    def add_gap_records(self) -> None:
        """Add a gap record for each reason of loss, as far as the buffer has room."""
        for reason, count in list(self.lost.items()):
            gap = AuditRecord(
                self.lost_since, self.daemon, self.daemon, GAP_ACTION, "audit", reason, str(count)
            )
            if len(self.pending) >= self.capacity:
                return
            del self.lost[reason]
            self.append(gap)

    def next_id(self) -> str:
        """Return an id that no other daemon, nor this one after a restart, uses."""
        self.last_number += 1
        return f"{self.prefix}-{self.last_number}"

    async def drain(
        self, timeout_s: float, transfer: Callable[[], Awaitable[bool]] | None = None
    ) -> int:
        """Write the remaining records before a stop; return and log the number of records lost.

        Parameters
        ----------
        timeout_s : float
            Longest time in seconds for writing.
        transfer : callable, optional
            Sends the unwritten records to another daemon, and returns whether that daemon has all
            of them.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while (self.pending or self.lost) and loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    await asyncio.sleep(max(0.0, self.next_flush_at - loop.time()))
                    await self.flush()
            except (ObjectStoreError, TimeoutError):
                continue
        if self.pending and transfer is not None and await transfer():
            self.pending.clear()
        remaining = len(self.pending) + sum(self.lost.values())
        if remaining:
            log_event(events.AUDIT_GAP, lost=remaining, reason="the daemon stopped")
        return remaining


class SegmentFull(Exception):
    """The segment has no room for another record."""


class SegmentReplaced(Exception):
    """The slot holds a later segment, written by another daemon.

    Parameters
    ----------
    sequence : int
        Sequence of the later segment.
    """

    def __init__(self, sequence: int):
        super().__init__(sequence)
        self.sequence = sequence
