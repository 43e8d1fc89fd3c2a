"""Tests of the audit trail with outages, buffer overflow and two writers."""

import asyncio

import looptime
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders.objectstore import MemoryObjectStore
from turmericreach.audit import (
    AUDIT_KIND,
    GAP_ACTION,
    MAX_SEGMENTS,
    SEGMENT_BYTES,
    AuditLog,
    AuditRecord,
    read_audit,
)
from turmericreach.audit.segment import Segment, decode_segment, encode_segment, find_newest
from turmericreach.objectstore import ObjectStoreError

FAULTS = ["ok", "down", "lost_response", "lost_request", "late", "land"]


def record(number, text=""):
    return AuditRecord(float(number), "g1", "ci", "apply", f"s{number}", after=text)


def set_faults(store, step):
    store.faults.down = step == "down"
    store.faults.lose_answers = int(step == "lost_response")
    store.faults.lose_requests = int(step == "lost_request")
    store.faults.late_writes = int(step == "late")
    if step == "land":
        store.apply_late_writes()


async def try_flush(log):
    await asyncio.sleep(1)
    try:
        await log.flush()
    except ObjectStoreError:
        return


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.lists(st.tuples(st.sampled_from(FAULTS), st.integers(0, 1)), max_size=14))
def test_each_record_once_under_faults(steps):
    """Guards against records lost or duplicated by outages, lost responses or two writers."""

    async def scenario():
        store = MemoryObjectStore()
        logs = [AuditLog(store, "turku", f"g{n}", clock=lambda: 0.0) for n in range(2)]
        number = 0
        for step, writer in steps:
            # Large records fill segments quickly, so that the writers change segments often.
            for _ in range(14):
                number += 1
                logs[writer].append(record(number, "x" * 8000))
            set_faults(store, step)
            await try_flush(logs[writer])
        set_faults(store, "land")
        assert [await log.drain(60) for log in logs] == [0, 0]
        store.apply_late_writes()
        stored = [r for o in store.objects.values() for r in segment_of(o).records]
        assert sorted(r.at for r in stored) == list(range(1, number + 1))
        assert [r.at for r in await read_audit(store)] == list(range(1, number + 1))

    loop = looptime.new_event_loop()
    loop.run_until_complete(scenario())
    loop.close()


def segment_of(stored):
    assert len(stored.value) <= SEGMENT_BYTES
    return decode_segment(stored.value)


@pytest.mark.looptime
async def test_overflow_leaves_a_gap_record():
    """Guards against records that are lost without a gap record."""
    store = MemoryObjectStore()
    log = AuditLog(store, "turku", "g1", capacity=3, clock=lambda: 2.5)
    store.faults.down = True
    assert [log.append(record(n)) for n in range(1, 6)] == [True, True, True, False, False]
    await try_flush(log)
    store.faults.down = False
    assert await log.drain(10) == 0
    found = await read_audit(store)
    assert [r.action for r in found] == ["apply", "apply", GAP_ACTION, "apply"]
    assert (found[2].before, found[2].after) == ("the buffer overflowed", "2")


@pytest.mark.looptime
async def test_replaced_segment_does_not_lose_the_record():
    """Guards against a lost record when another daemon replaced a segment of unknown state.

    The response of the write is lost and the write takes effect late, after the replacement.
    """
    store = MemoryObjectStore()
    log = AuditLog(store, "turku", "g1")
    log.append(record(1))
    store.faults.lose_answers = 1
    store.faults.late_writes = 1
    await try_flush(log)
    later = encode_segment(Segment(MAX_SEGMENTS, ["other"], []))
    store.apply_put(AUDIT_KIND, "turku-00", later, None, False)
    store.apply_late_writes()
    assert await log.drain(10) == 0
    assert [r.subject for r in await read_audit(store)] == ["s1"]


@pytest.mark.looptime
async def test_rate_and_ring_are_bounded():
    """Guards against more than one write per second and against an unbounded audit trail."""
    store = MemoryObjectStore()
    log = AuditLog(store, "turku", "g1", capacity=10**6)
    for number in range(MAX_SEGMENTS * 35):
        log.append(record(number, "x" * 8000))
    assert await log.flush() > 0
    assert await log.flush() == 0
    start = asyncio.get_running_loop().time()
    assert await log.drain(1000) == 0
    assert asyncio.get_running_loop().time() - start >= MAX_SEGMENTS
    assert len(store.objects) == MAX_SEGMENTS
    assert await find_newest(store, "turku") == log.sequence > MAX_SEGMENTS
    assert (await read_audit(store))[-1].subject == f"s{MAX_SEGMENTS * 35 - 1}"


@pytest.mark.looptime
async def test_secrets_and_sizes():
    """Guards against secrets in the audit trail and against a record too large for a segment."""
    store = MemoryObjectStore()
    log = AuditLog(store, "turku", "g1")
    log.append(record(1, "token: hunter2 " + "\0" * 10**6))
    assert await log.drain(5) == 0
    (found,) = await read_audit(store)
    assert "hunter2" not in found.after


async def test_damaged_segment_is_a_gap():
    """Guards against a damaged object that makes the whole audit trail unreadable."""
    store = MemoryObjectStore()
    await store.put(AUDIT_KIND, "turku-00", b"\xff")
    assert [r.action for r in await read_audit(store)] == [GAP_ACTION]
