"""Tests of the bounds on the texts that engines send for the items of lots."""

import asyncio
import sys

import msgspec
import pytest

from tests.builders.fleet_world import item as lot_item
from tests.builders.fleet_world import submission
from tests.builders.rawserver import RawServer
from turmericreach.batches.item_run import ItemOutcome, RunConstraints, run_item
from turmericreach.batches.items import ItemPhase, ItemState
from turmericreach.batches.log import SEGMENT_BYTES
from turmericreach.batches.model import BatchItem, Progress
from turmericreach.batches.text_memory import (
    MAX_TEXT_BYTES,
    TextMemory,
    encoded_bytes,
    held_bytes,
    max_text_bytes,
)
from turmericreach.http1 import ConnectionPool
from turmericreach.services import Target, TargetDirectory, TargetRecord

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Weight-Versions: 3\r\n\r\n"


def batch_item(name="i1", tokens=6816):
    """Return an item of a lot."""
    return BatchItem(name, "/x", [], b"", tokens, "g", 20.0, None)


def numbered_events(data, count):
    """Return the bytes of events with ids from 1 on."""
    return b"".join(b"id: %d\ndata: %b\n\n" % (n, data) for n in range(1, count + 1))


# An ASCII letter, characters of two to four bytes, and one that JSON encodes in six bytes.
@pytest.mark.parametrize("character", ["x", "\u0142", "\u4e2d", "\U0001f600", "\x01", '"'])
@pytest.mark.parametrize("event_chars", [100, 15_000])
async def test_text_of_one_item_is_bounded_in_bytes(character, event_chars):
    """Guards against a stream that fills the memory of a gateway with fewer events than tokens."""
    data = (character * event_chars).encode()
    item = batch_item()
    async with RawServer(HEAD + numbered_events(data, 2_000_000 // len(data))) as server:
        address = server.url.removeprefix("http://")
        record = TargetRecord("e1", 1, "engines", address, "a", 4, False)
        progress, pool = Progress(), ConnectionPool(1.0)
        async with asyncio.timeout(20):
            report = await run_item(
                item,
                progress,
                Target(record),
                RunConstraints("h", "m", 1, False, 10.0),
                pool,
                TargetDirectory(),
            )
        assert report.outcome is ItemOutcome.INTERRUPTED
        assert "larger" in report.detail
        assert progress.events == []
        pool.close()


@pytest.mark.parametrize("character", ["x", "\x01", "\U0001f600"])
def test_largest_text_fits_into_an_object_of_the_store(character):
    """Guards against a complete text that can never be listed, and blocks the results after it."""
    limit = max_text_bytes(batch_item(tokens=10**9))
    text = character * (limit // (encoded_bytes(character) - 2))
    assert len(msgspec.json.encode({"text": text})) < SEGMENT_BYTES
    assert limit == MAX_TEXT_BYTES


def test_longest_texts_are_discarded_when_all_exceed_their_memory():
    """Guards against texts within their own limits that together fill the memory."""
    states = [ItemState(batch_item(f"i{n}"), ItemPhase.RUNNING) for n in range(12)]
    memory = TextMemory(1_000_000, lambda: states)
    usual = states[0]
    usual.progress.add(1, "a text of usual length", 1, "s")
    for number in range(1, 60):
        for state in states[1:]:
            state.progress.add(number, "x" * 10_000, 1, "s")
            memory.add(state.progress.events[-1])
            total = sum(held_bytes(state.progress) for state in states)
            assert total <= 1_000_000 + 1_000_000 + sys.getsizeof("x" * 10_000)
    assert usual.progress.events == ["a text of usual length"]


def test_text_of_a_run_that_began_anew_counts():
    """Guards against a bound that a text replaced by a new run escapes."""
    state = ItemState(batch_item(), ItemPhase.RUNNING)
    state.fresh = Progress()
    memory = TextMemory(100_000, lambda: [state])
    for number in range(1, 40):
        state.fresh.add(number, "x" * 10_000, 1, "s")
        memory.add(state.fresh.events[-1])
    assert held_bytes(state.fresh) < 200_000


async def test_items_are_completed_while_an_engine_sends_texts_that_are_too_long(world):
    """Guards against usual texts that are lost with those of an engine in trouble."""
    world.targets["e1"].event_prefix = "x" * 30_000
    gateway = await world.add_gateway("g1")
    gateway.registry.texts.limit_bytes = 100_000
    items = [lot_item(f"i{n}", group=f"g{n}") for n in range(16)]
    await world.submit(gateway, "lot1", submission(items))
    results = await world.read_all(gateway, "lot1", 16)
    for result in results:
        expected = [f"{result['id']}-{number}" for number in range(1, 6)]
        assert result["text"].split("\n") == expected


async def test_results_of_idle_lots_are_evicted_by_their_size(world):
    """Guards against a process that keeps the texts of all lots that were read at it."""
    gateway = await world.add_gateway("g1")
    for lot in ("lot1", "lot2"):
        await world.submit(gateway, lot, submission([lot_item(f"i-{lot}")]))
        await world.read_all(gateway, lot, 1)
        await world.call(gateway, "DELETE", f"/api/lots/{lot}")
    registry = gateway.registry
    registry.text_bytes = registry.logs["lot2"].text_bytes
    registry.used_at["lot1"] -= 1.0
    registry.evict_unused(600.0)
    assert set(registry.logs) == {"lot2"}
    assert len(await world.read_all(gateway, "lot1", 1)) == 1
