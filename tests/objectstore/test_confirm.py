"""Tests of confirmed writes under any order of faults."""

import asyncio
import json

import looptime
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders.manifests import MANIFEST_TEXT
from tests.builders.objectstore import MemoryObjectStore
from turmericreach.manifest import Revision, load_manifest
from turmericreach.manifest.history import HISTORY_KIND, read_history, record_revision
from turmericreach.objectstore import ObjectStoreError, ResultUnknown, write_confirmed

STEPS = ["ok", "down", "limited", "lost_answer", "lost_request", "late", "land", "rival", "refused"]


class ScriptedStore(MemoryObjectStore):
    """Applies one step of a script before each call."""

    def __init__(self, script):
        super().__init__()
        self.script = list(script)
        self.rivals = 0

    async def apply_faults(self):
        step = self.script.pop(0) if self.script else "ok"
        self.faults.down = step == "down"
        self.faults.rate_limited = step == "limited"
        self.faults.lose_answers = int(step == "lost_answer")
        self.faults.lose_requests = int(step == "lost_request")
        self.faults.late_writes = int(step == "late")
        if step == "land":
            self.apply_late_writes()
        if step == "refused":
            raise ObjectStoreError("403")
        if step == "rival":
            self.rivals += 1
            value = append(self.objects.get(("k", "n")), f"rival-{self.rivals}")
            self.apply_put("k", "n", value, None, False)
        await super().apply_faults()


def ids_of(value):
    return json.loads(value)


def append(current, change_id):
    """Prepend a change id; the empty id at the end is the state before the first write."""
    ids = ids_of(current.value) if current else [""]
    return json.dumps([change_id, *ids]).encode()


async def run_change(store, change_id, lineage_of):
    try:
        settled = await write_confirmed(
            store, "k", "n", lambda c: append(c, change_id), lambda v: ids_of(v)[0], lineage_of
        )
    except ResultUnknown:
        return "unknown"
    except ObjectStoreError:
        return "no effect"
    assert settled.written
    return "written"


@settings(derandomize=True, deadline=None, max_examples=600)
@given(st.lists(st.sampled_from(STEPS), max_size=16), st.booleans())
def test_never_twice_and_never_denied(script, with_lineage):
    """Guards against a change applied twice, lost, or reported as failed after it took effect."""

    async def scenario():
        store = ScriptedStore(script)
        results = {
            name: await run_change(store, name, ids_of if with_lineage else None)
            for name in ("first", "second")
        }
        store.apply_late_writes()
        stored = store.objects.get(("k", "n"))
        ids = ids_of(stored.value) if stored else []
        for name, result in results.items():
            expected = {"written": (1,), "no effect": (0,), "unknown": (0, 1)}[result]
            assert ids.count(name) in expected, (results, ids)

    loop = looptime.new_event_loop()
    loop.run_until_complete(scenario())
    loop.close()


@pytest.mark.looptime
async def test_lineage_settles_a_write_that_was_overwritten():
    """Guards against a change reported as unknown although the object shows that it was made."""
    store = ScriptedStore(["ok", "lost_answer", "rival"])
    assert await run_change(store, "mine", ids_of) == "written"
    store = ScriptedStore(["ok", "lost_request", "rival"])
    assert await run_change(store, "mine", ids_of) == "written"
    assert ids_of(store.objects["k", "n"].value) == ["mine", "rival-1", ""]


@pytest.mark.looptime
async def test_retries_are_bounded():
    """Guards against endless retries while the platform is down."""
    store = MemoryObjectStore()
    store.faults.down = True
    assert await run_change(store, "mine", None) == "no effect"
    assert store.calls == 5
    assert asyncio.get_running_loop().time() < 2


async def test_history_is_bounded_and_repeats_safely():
    """Guards against a history that grows, or that keeps what an outage left behind."""
    store = MemoryObjectStore()
    manifest = load_manifest(MANIFEST_TEXT, "m.yaml")
    for generation in range(1, 206):
        revision = Revision(generation, f"c{generation}", "ci", 1.0, manifest)
        if generation not in (201, 202):
            await record_revision(store, revision)
            continue
        store.apply_put(HISTORY_KIND, str(generation), b"{}", None, False)
    await record_revision(store, revision)
    kept = sorted(int(item.name) for item in (await store.list(HISTORY_KIND)).items)
    assert kept == list(range(6, 206))
    assert [r.generation for r in await read_history(store, 205, 2)] == [205, 204]
