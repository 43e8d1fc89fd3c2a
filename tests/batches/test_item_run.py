"""Tests of single runs of items at engines that break the protocol."""

import asyncio

import pytest

from turmericreach.batches.item_run import ItemOutcome, RunConstraints, run_item
from turmericreach.batches.model import BatchItem, Progress
from turmericreach.http1 import ConnectionPool
from turmericreach.services import Target, TargetDirectory, TargetRecord
from turmericreach_standins.fleet import TargetStandIn

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Weight-Versions: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


async def serve_stream(parts):
    """Start a server that responds to a request with a head and the given parts as chunks."""

    async def handle(reader, writer):
        await reader.read(65_536)
        writer.write(HEAD)
        try:
            for part in parts:
                writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        except ConnectionError:
            return
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def endless_events():
    """Yield numbered events without end."""
    number = 0
    while True:
        number += 1
        yield f"id: {number}\ndata: x\n\n".encode()


def endless_event():
    """Yield an event that never ends."""
    while True:
        yield b"data: " + b"x" * 4096 + b"\n"


def endless_blank_lines():
    """Yield line breaks without end."""
    while True:
        yield b"\n" * 65_536


@pytest.mark.parametrize(
    ("parts", "outcome"),
    [
        (endless_events, ItemOutcome.INTERRUPTED),
        (endless_event, ItemOutcome.INTERRUPTED),
        (endless_blank_lines, ItemOutcome.INTERRUPTED),
    ],
)
async def test_stream_without_end_ends_the_run(parts, outcome):
    """Guards against an engine that fills the memory of a gateway or holds an item for ever."""
    server, address = await serve_stream(parts())
    record = TargetRecord("e1", 1, "engines", address, "a", 4, False)
    item = BatchItem("i1", "/x", [], b"", 100, "g", 20.0, None)
    progress = Progress()
    pool = ConnectionPool(1.0)
    constraints = RunConstraints("h", "m", 1, False, 10.0)
    async with asyncio.timeout(8):
        report = await run_item(
            item, progress, Target(record), constraints, pool, TargetDirectory()
        )
    assert report.outcome is outcome
    assert len(progress.events) <= item.tokens
    assert pool.buffers.held_bytes == 0
    assert pool.idle.get(address, []) == []
    server.close()


async def test_run_is_not_sent_to_a_target_that_has_started_again():
    """Guards against a text of two software versions where the entry of an engine is old."""
    engine = TargetStandIn("e1", "engines", models={"m": 1})
    await engine.start()
    engine.started_ms = 2000
    directory = TargetDirectory()
    record = TargetRecord("e1", 1000, "engines", engine.address, "a", 4, False, {"m": 1})
    other = TargetRecord("e2", 1000, "engines", engine.address, "a", 4, False, {"m": 1})
    directory.update(record)
    directory.update(other)
    item = BatchItem("i1", "/x", [], b"", 100, "g", 20.0, None)
    constraints = RunConstraints("h", "m", 1, False, 10.0)
    pool = ConnectionPool(1.0)
    report = await run_item(item, Progress(), Target(record), constraints, pool, directory)
    assert report.outcome is ItemOutcome.NO_CONNECTION
    assert engine.runs == []
    pool.close()
    await engine.stop()


@pytest.mark.parametrize("head_version", [3, 4])
async def test_event_of_an_older_version_than_the_lot_accepts_is_not_kept(head_version):
    """Guards against a result under a version that is older than the oldest of its lot.

    Found by review/8: an engine that had restarted carried out an old order, and its runs went on
    under the version of that order.
    """
    stream = [
        b"x-weight-versions: %d\nid: 1\ndata: a\n\n" % head_version,
        b"x-weight-versions: 2\nid: 2\ndata: b\n\n",
        b"x-weight-versions: 4\nid: 3\ndata: c\n\n",
    ]
    server, address = await serve_stream(stream)
    target = Target(TargetRecord("e1", 1, "engines", address, "a", 4, False))
    item = BatchItem("i1", "/x", [], b"", 100, "g", 20.0, None)
    progress = Progress()
    pool = ConnectionPool(1.0)
    constraints = RunConstraints("h", "m", 3, False, 10.0)
    async with asyncio.timeout(5):
        report = await run_item(item, progress, target, constraints, pool, TargetDirectory())
    server.close()
    assert report.outcome is ItemOutcome.OLD_VERSION
    assert (progress.events, progress.versions) == (["a"], [head_version])
    assert not progress.whole
    assert target.model_versions["m"] == 2


class DiscardAtEvent:
    """Discards a text once it has a number of events, as the bound on all texts does."""

    def __init__(self, progress, count):
        self.progress = progress
        self.count = count

    def add(self, event):
        if len(self.progress.events) == self.count:
            self.progress.clear()


@pytest.mark.parametrize("kept", [0, 2])
@pytest.mark.parametrize("count", [1, 3, None])
async def test_text_that_was_discarded_before_the_end_is_not_whole(kept, count):
    """Guards against a completed result with an empty text.

    Found by review/7: the longest texts are discarded first, so those that have their last event.
    """
    progress = Progress()
    for number in range(1, kept + 1):
        progress.add(number, "x", 3, "v1")
    stream = [f"id: {n}\ndata: x\n\n".encode() for n in range(kept + 1, 4)]
    server, address = await serve_stream(stream)
    target = Target(TargetRecord("e1", 1, "engines", address, "a", 4, False))
    item = BatchItem("i1", "/x", [], b"", 100, "g", 20.0, None)
    pool = ConnectionPool(1.0)
    constraints = RunConstraints("h", "m", 1, False, 10.0)
    texts = DiscardAtEvent(progress, count)
    async with asyncio.timeout(5):
        report = await run_item(item, progress, target, constraints, pool, TargetDirectory(), texts)
    server.close()
    discarded = count is not None and count > kept
    assert progress.whole is not discarded
    assert (report.outcome is ItemOutcome.COMPLETE) is not discarded
    assert len(progress.events) == (0 if discarded else 3)


async def test_stream_without_an_event_is_not_a_whole_text():
    """Guards against an empty result of an engine that ends its response at once."""
    server, address = await serve_stream([])
    target = Target(TargetRecord("e1", 1, "engines", address, "a", 4, False))
    item = BatchItem("i1", "/x", [], b"", 100, "g", 20.0, None)
    progress = Progress()
    async with asyncio.timeout(5):
        report = await run_item(
            item,
            progress,
            target,
            RunConstraints("h", "m", 1, False, 10.0),
            ConnectionPool(1.0),
            TargetDirectory(),
        )
    server.close()
    assert report.outcome is ItemOutcome.INTERRUPTED
    assert not progress.whole
