"""Copies of long texts, from which a lot resumes after the loss of its owner."""

import asyncio
from types import SimpleNamespace

from tests.builders.item_tables import fixed_table
from turmericreach.batches.checkpoints import MAX_BYTES, CheckpointStore, select_texts
from turmericreach.batches.model import BatchItem, BatchSpec, Progress
from turmericreach.batches.run import BatchRun
from turmericreach.coordination.names import CHECKPOINTS_KIND
from turmericreach.services import Route, RouteKind
from turmericreach.services.configuration import WeightedService

ALWAYS = SimpleNamespace(is_on=lambda: True, may_be_on=lambda: True)


def text(events, size=10):
    """Return a text of a number of events."""
    return Progress(["x" * size] * events, [3], events, software="s v1")


def test_only_long_texts_with_news_are_saved():
    """Guards against writes to the store that would save less time than they cost."""
    progress = {"long": text(100), "short": text(39)}
    assert set(select_texts(progress, {})) == {"long"}
    assert select_texts(progress, {"long": 81}) == {}
    assert set(select_texts(progress, {"long": 80})) == {"long"}
    assert select_texts({"short": text(39)}, {}) == {}


def test_longest_texts_are_saved_first_if_not_all_fit():
    """Guards against an object that the store rejects, so that no text at all is kept."""
    progress = {str(n): text(50 + n, size=2000) for n in range(20)}
    saved = select_texts(progress, {})
    assert 0 < len(saved) < len(progress)
    assert "19" in saved
    assert sum(len(t.events) * 2000 for t in saved.values()) <= MAX_BYTES


async def test_another_process_reads_what_was_saved_last(client, store):
    """Guards against a lot that starts from nothing after the loss of its owner."""
    first = CheckpointStore(client, "lot1", ALWAYS)
    await first.save({"a": text(50)})
    await first.save({"a": text(70)})
    second = CheckpointStore(client, "lot1", ALWAYS)
    assert await second.load() == {"a": text(70)}
    assert second.saved == {"a": 70}
    await second.save({"a": text(90)})
    # The former owner overwrites it at most, with a text that is as true.
    await first.save({"a": text(75)})
    await first.save({"a": text(76)})
    assert (await CheckpointStore(client, "lot1", ALWAYS).load())["a"].events == text(76).events


async def test_missing_or_unreadable_checkpoint_is_none(client, store):
    """Guards against a lot that cannot start because of an object of another writer."""
    assert await CheckpointStore(client, "lot1", ALWAYS).load() == {}
    store.put(CHECKPOINTS_KIND, "lot2", {"texts": [1]})
    assert await CheckpointStore(client, "lot2", ALWAYS).load() == {}


async def test_texts_are_saved_while_a_lot_runs(client, store):
    """Guards against a checkpoint that is never written."""
    task = asyncio.create_task(CheckpointStore(client, "lot1", ALWAYS).run(lambda: {"a": text(60)}))
    client.available.set()
    for _ in range(60):
        await asyncio.sleep(0.1)
        client.last_response_at = asyncio.get_running_loop().time()
        if await client.get(CHECKPOINTS_KIND, "lot1") is not None:
            break
    task.cancel()
    assert (await CheckpointStore(client, "lot1", ALWAYS).load())["a"].events == text(60).events


async def test_no_item_starts_before_its_saved_text_is_known():
    """Guards against a result that misses events, since its run extended another text.

    Observed on a played day: an item started while the checkpoint was read, which then replaced the
    text that the run did not extend.
    """
    item = BatchItem("a", "/", [], b"", 0, "g", 100.0, None)
    spec = BatchSpec("lot1", "h", "/", 0, "m", 0, (item,))
    route = Route("r", "h", "/", RouteKind.BATCH, (WeightedService("s", 1.0),))
    reading = asyncio.Event()

    async def load():
        await reading.wait()
        return {"a": text(50)}

    async def nothing(*_):
        await asyncio.sleep(0)

    checkpoints = SimpleNamespace(switch=ALWAYS, load=load, run=nothing)
    log = SimpleNamespace(load=nothing, listed=set(), results=[])
    run = BatchRun(
        fixed_table(spec, route, asyncio.get_running_loop().time() - 5.0),
        log,
        None,
        None,
        None,
        lambda: None,
        nothing,
        None,
        checkpoints,
    )
    starting = asyncio.create_task(run.start({"a": text(10)}, taken_over=False))
    await asyncio.sleep(0.05)
    assert run.waiting_items(asyncio.get_running_loop().time()) == []
    reading.set()
    await starting
    assert len(run.items.states["a"].progress.events) == 50
    assert len(run.waiting_items(asyncio.get_running_loop().time())) == 1
    run.stop("end of the test")
