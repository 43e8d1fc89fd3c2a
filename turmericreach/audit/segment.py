"""Segments of the audit trail: stored objects that form one ring for each data centre."""

import attrs
import msgspec

from turmericreach.audit.record import GAP_ACTION, AuditRecord
from turmericreach.objectstore import ObjectStore, StoredObject

__all__ = [
    "AUDIT_KIND",
    "MAX_SEGMENTS",
    "SEGMENT_BYTES",
    "Segment",
    "decode_segment",
    "encode_segment",
    "extend_segment",
    "find_newest",
    "lineage_of",
    "read_audit",
    "segment_name",
]

AUDIT_KIND = "audit"
MAX_SEGMENTS = 64
SEGMENT_BYTES = 256 * 1024


@attrs.frozen
class Segment:
    """Records that are stored together in one object, a slot of the ring.

    Attributes
    ----------
    sequence : int
        Number of the segment, from 0; the next one is stored in the next slot of the ring.
    changes : list of str
        Change ids of the writes, oldest first, preceded by the id of the last write of the segment
        that this one replaced. They show whether a write took effect whose response was lost.
    records : list of AuditRecord
        The records in the order in which they were written.
    """

    sequence: int
    changes: list[str]
    records: list[AuditRecord]


def segment_name(data_centre: str, sequence: int) -> str:
    """Return the object name of the slot that a segment is stored in."""
    return f"{data_centre}-{sequence % MAX_SEGMENTS:02d}"


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment as JSON."""
    return msgspec.json.encode(segment)


def decode_segment(data: bytes) -> Segment | None:
    """Decode a segment from JSON, or return None if it is damaged."""
    try:
        return msgspec.json.decode(data, type=Segment)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def lineage_of(data: bytes) -> list[str]:
    """Return the change ids of the writes of an encoded segment, newest first."""
    segment = decode_segment(data)
    return (segment.changes[::-1] if segment else []) or [""]


def extend_segment(
    current: Segment | None, sequence: int, change_id: str, records: list[AuditRecord]
) -> Segment | None:
    """Return a segment with as many of the records added as fit, in their order.

    Parameters
    ----------
    current : Segment or None
        Segment that the slot holds; one with a lower sequence is replaced.
    sequence : int
        Sequence of the segment to extend.
    change_id : str
        Change id of this write.
    records : list of AuditRecord
        Records to add; those that the segment already contains are skipped.

    Returns
    -------
    Segment or None
        The extended segment, None if no record can be added.
    """
    base = current if current and current.sequence == sequence else None
    if base is None:
        base = Segment(sequence, [current.changes[-1] if current and current.changes else ""], [])
    known = {record.record_id for record in base.records}
    size = len(encode_segment(base)) + len(change_id) + 3
    added = []
    for record in records:
        if record.record_id in known:
            continue
        size += len(msgspec.json.encode(record)) + 1
        if size > SEGMENT_BYTES:
            break
        added.append(record)
    if not added:
        return None
    return Segment(sequence, [*base.changes, change_id], [*base.records, *added])


async def find_newest(store: ObjectStore, data_centre: str) -> int:
    """Return the sequence of the newest segment of a data centre, 0 if there is none.

    The sequences rise by one from slot to slot, from the first slot to that of the newest segment.
    A binary search therefore reads only 7 of the 64 segments.
    """
    first = await read_sequence(store, data_centre, 0)
    if first is None:
        return 0
    low, high = 0, MAX_SEGMENTS - 1
    while low < high:
        middle = (low + high + 1) // 2
        if await read_sequence(store, data_centre, middle) == first + middle:
            low = middle
        else:
            high = middle - 1
    return first + low


async def read_sequence(store: ObjectStore, data_centre: str, slot: int) -> int | None:
    """Return the sequence of the segment in a slot, None if it is empty or damaged."""
    stored = await store.get(AUDIT_KIND, segment_name(data_centre, slot))
    segment = decode_segment(stored.value) if stored else None
    return segment.sequence if segment else None


async def read_audit(store: ObjectStore) -> list[AuditRecord]:
    """Return all records, ordered by time and without duplicates.

    A gap record stands for each damaged segment.

    Raises
    ------
    ObjectStoreError
        If the object API failed.
    """
    found: dict[str, AuditRecord] = {}
    for item in (await store.list(AUDIT_KIND)).items:
        segment = decode_segment(item.value)
        records = segment.records if segment else [damaged_record(item)]
        for record in records:
            found.setdefault(record.record_id, record)
    return sorted(found.values(), key=lambda record: (record.at, record.record_id))


def damaged_record(item: StoredObject) -> AuditRecord:
    """Return the gap record for a damaged segment."""
    reason = "the segment is damaged"
    return AuditRecord(0.0, "", "", GAP_ACTION, item.name, reason, record_id=f"gap-{item.name}")
