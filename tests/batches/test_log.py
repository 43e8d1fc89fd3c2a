"""The log of results with concurrent writers and lost responses."""

import asyncio

import pytest

from turmericreach.batches.log import BatchLog, SegmentConflict
from turmericreach.batches.model import ItemResult
from turmericreach.batches.result_writer import ResultWriter


def results(*names):
    """Return completed results."""
    return [ItemResult(name, True, f"text of {name}", [1], "stamp") for name in names]


async def test_second_writer_must_read_before_it_appends(client):
    """Guards against two different results at one position."""
    first, second = BatchLog(client, "lot", "h1"), BatchLog(client, "lot", "h2")
    await first.append(results("a"))
    with pytest.raises(SegmentConflict):
        await second.append(results("b"))
    await second.load()
    await second.append(results("b"))
    assert [result.item for result in second.results] == ["a", "b"]


async def test_results_listed_by_another_owner_are_left_out(client):
    """Guards against an item at two positions after the log was loaded again.

    The store rejected the requests of one process for seconds. Its waiting results were then
    appended although the new owner had listed the same items.
    """
    first, second = BatchLog(client, "lot", "h1"), BatchLog(client, "lot", "h2")
    await second.append(results("a", "b"))
    await first.load()
    assert await first.append(results("a", "b", "c")) == 1
    assert [result.item for result in first.results] == ["a", "b", "c"]


async def test_append_of_only_listed_results_writes_nothing(client, store):
    """Guards against empty segments."""
    log = BatchLog(client, "lot", "h1")
    await log.append(results("a"))
    assert await log.append(results("a")) == 0
    assert store.names("lot-lot") == ["000000"]


async def test_lost_response_lists_results_once(client, store):
    """Guards against a segment that is written twice because a response was lost."""
    log = BatchLog(client, "lot", "h1")
    store.faults.lose_write_responses = 1
    await log.append(results("a"))
    await log.append(results("b"))
    read = BatchLog(client, "lot", "h2")
    await read.load()
    assert [result.item for result in read.results] == ["a", "b"]


async def test_reading_while_a_write_is_under_way_lists_results_once(client, store):
    """Guards against duplicates in memory when a load reads a segment still being written."""
    log = BatchLog(client, "lot", "h1")
    store.faults.lose_write_responses = 1
    task = asyncio.create_task(log.append(results("a")))
    await asyncio.sleep(0.1)
    await log.load()
    await task
    assert [result.item for result in log.results] == ["a"]
    await log.append(results("b"))
    assert store.names("lot-lot") == ["000000", "000001"]


async def test_late_segment_of_a_former_owner_changes_nothing(client, store):
    """Guards against a delayed write of a former owner after a write of the new owner."""
    former, owner = BatchLog(client, "lot", "h1"), BatchLog(client, "lot", "h2")
    store.faults.late_writes = 1
    task = asyncio.create_task(former.append(results("a")))
    await asyncio.sleep(0.1)
    task.cancel()
    await owner.load()
    await owner.append(results("b"))
    await asyncio.sleep(1.2)
    read = BatchLog(client, "lot", "h3")
    await read.load()
    assert [result.item for result in read.results] == ["b"]


def test_long_results_are_split_over_segments():
    """Guards against an object that exceeds the store's size limit."""
    log = BatchLog(None, "lot", "h1")
    long = [ItemResult(str(n), True, "x" * 200_000, [1], "s") for n in range(4)]
    assert [len(part) for part in log.split(long)] == [1, 1, 1, 1]


async def test_former_owner_cannot_list_results_after_a_takeover(client):
    """Guards against a new owner that does not show results that readers have already seen.

    Seen at 101 gateways and 1,001 targets: a busy owner was replaced, listed one more result, and
    the new owner answered the next read without it.
    """
    former, new = BatchLog(client, "lot", "h1"), BatchLog(client, "lot", "h2")
    await former.append(results("a"))
    await new.fence()
    with pytest.raises(SegmentConflict):
        await former.append(results("b"))
    assert [result.item for result in new.results] == ["a"]
    await new.append(results("b"))
    await former.load()
    assert [result.item for result in former.results] == ["a", "b"]


async def test_fence_includes_what_was_listed_while_it_was_written(client, store):
    """Guards against a fence that overlooks a segment written between its load and its write."""
    former, new = BatchLog(client, "lot", "h1"), BatchLog(client, "lot", "h2")
    load = new.load

    async def load_late():
        await load()
        if not former.results:
            await former.append(results("a"))

    new.load = load_late
    await new.fence()
    assert [result.item for result in new.results] == ["a"]
    assert store.names("lot-lot") == ["000000", "000001"]


async def test_former_owner_lists_nothing_before_it_has_checked_its_ownership(client, store):
    """Guards against results of a former owner behind the fence of the new one."""
    former, owner = BatchLog(client, "lot", "h1"), BatchLog(client, "lot", "h2")
    await owner.fence()
    checked = asyncio.Event()
    writer = ResultWriter(former, 1, lambda results: True, lambda: None, checked.wait)
    writer.add(results("a")[0])
    task = asyncio.create_task(writer.run())
    await asyncio.sleep(0.4)
    assert store.names("lot-lot") == ["000000"]
    checked.set()
    await asyncio.sleep(0.2)
    assert store.names("lot-lot") == ["000000", "000001"]
    await task
