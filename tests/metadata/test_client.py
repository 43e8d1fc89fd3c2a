"""The client of the metadata store under lost, late and refused answers."""

import asyncio

import pytest

from tests.builders.fleet_world import eventually
from turmericreach.metadata import Conflict, KindMirror, OutcomeUnknown, Unavailable


def soon():
    """Return a loop time shortly ahead."""
    return asyncio.get_running_loop().time() + 0.5


class Recorder:
    """Keeps what a mirror reports."""

    def __init__(self):
        self.changed = []
        self.removed = []

    def object_changed(self, object):
        self.changed.append((object.name, object.spec))

    def object_removed(self, object):
        self.removed.append(object.name)


async def test_lost_answer_of_a_create_is_settled_by_trying_again(client, store):
    """Guards against a create that took effect being reported as a conflict with itself."""
    store.faults.lose_writes = 1
    object = await client.create("kind", "a", {"writer": "me"}, soon())
    assert object.spec == {"writer": "me"}
    assert store.names("kind") == ["a"]


async def test_create_over_another_writers_object_conflicts(client, store):
    """Guards against taking another writer's object for the own one."""
    store.put("kind", "a", {"writer": "other"})
    with pytest.raises(Conflict) as raised:
        await client.create("kind", "a", {"writer": "me"}, soon())
    assert raised.value.current.spec == {"writer": "other"}


async def test_late_create_does_not_replace_what_was_written_meanwhile(client, store):
    """Guards against a delayed write that changes what its retry has written."""
    store.faults.late_writes = 1
    first = await client.create("kind", "a", {"writer": "me"}, soon())
    await asyncio.sleep(1.2)
    again = await client.get("kind", "a")
    assert again.revision == first.revision


async def test_refused_create_is_known_not_to_exist(client, store):
    """Guards against an unsure answer where the store said that nothing was done."""
    store.faults.refuse = True
    with pytest.raises(Unavailable):
        await client.create("kind", "a", {"writer": "me"}, soon())


async def test_unanswered_create_is_unknown_even_if_later_tries_are_refused(client, store):
    """Guards against a promise that a write will not happen while one may still be under way."""
    store.faults.late_writes = 1
    task = asyncio.create_task(client.create("kind", "a", {"writer": "me"}, soon()))
    await asyncio.sleep(0.1)
    store.faults.refuse = True
    with pytest.raises(OutcomeUnknown):
        await task


async def test_lost_answer_of_a_status_write_is_settled(client, store):
    """Guards against a status that is written but reported as refused."""
    made = store.put("kind", "a", {"x": 1})
    store.faults.lose_writes = 1
    object = await client.set_status("kind", "a", {"y": 2}, made["metadata"]["revision"], soon())
    assert object.status == {"y": 2}


async def test_status_write_over_a_newer_revision_conflicts(client, store):
    """Guards against overwriting a change that the writer has not seen."""
    made = store.put("kind", "a", {"x": 1})
    store.put("kind", "a", status={"y": 1})
    with pytest.raises(Conflict):
        await client.set_status("kind", "a", {"y": 2}, made["metadata"]["revision"], soon())


async def test_store_is_lost_and_regained(client, store):
    """Guards against a store whose silence or return goes unnoticed."""
    client.available.clear()
    task = asyncio.create_task(client.monitor())
    await eventually(client.available.is_set)
    store.faults.refuse = True
    await eventually(lambda: not client.available.is_set())
    store.faults.refuse = False
    await eventually(client.available.is_set)
    assert client.regained_at > float("-inf")
    task.cancel()


async def test_mirror_follows_changes_and_removals(client, store):
    """Guards against changes between a list and its watch that are missed."""
    store.put("kind", "a", {"n": 1})
    recorder = Recorder()
    mirror = KindMirror(client, "kind", recorder, 20.0)
    task = asyncio.create_task(mirror.run())
    await mirror.synced.wait()
    store.put("kind", "a", {"n": 2})
    store.put("kind", "b", {"n": 3})
    await eventually(lambda: len(recorder.changed) == 3)
    store.remove("kind", "a")
    await eventually(lambda: recorder.removed == ["a"])
    task.cancel()


async def test_mirror_lists_again_when_history_is_gone(client, store):
    """Guards against removals that a dropped history hides."""
    store.put("kind", "a", {"n": 1})
    store.put("kind", "b", {"n": 1})
    recorder = Recorder()
    mirror = KindMirror(client, "kind", recorder, 20.0)
    task = asyncio.create_task(mirror.run())
    await mirror.synced.wait()
    store.objects.pop(("kind", "a"))
    store.put("other", "c", {})
    store.compact()
    await eventually(lambda: recorder.removed == ["a"])
    task.cancel()


async def test_mirror_never_takes_an_older_state(client, store):
    """Guards against a state that goes back when a list overtakes a watch."""
    store.put("kind", "a", {"n": 1})
    recorder = Recorder()
    mirror = KindMirror(client, "kind", recorder, 20.0)
    old = (await client.list_all("kind"))[0][0]
    store.put("kind", "a", {"n": 2})
    mirror.take((await client.list_all("kind"))[0][0])
    mirror.take(old)
    assert mirror.objects["a"].spec == {"n": 2}


async def test_hanging_watches_are_cut_when_the_store_returns(client, store):
    """Guards against a watch that was asked of a silent store and never answers."""
    mirror = KindMirror(client, "kind", Recorder(), 20.0)
    monitor = asyncio.create_task(client.monitor())
    task = asyncio.create_task(mirror.run())
    await mirror.synced.wait()
    store.faults.silent = True
    await eventually(lambda: not client.available.is_set())
    store.faults.silent = False
    store.put("kind", "a", {"n": 1})
    await eventually(lambda: "a" in mirror.objects, timeout_s=4.0)
    task.cancel()
    monitor.cancel()


async def test_deaf_watch_is_asked_anew_when_another_process_saw_a_change(client, store):
    """Guards against a watch that neither answers nor ends while the store works.

    Seen on a day on which the store dropped its history: one process's watch of the configuration
    stayed silent, and a new route was refused for seconds.
    """
    mirror = KindMirror(client, "kind", Recorder(), 20.0)
    client.available.set()
    store.faults.deaf_watches = 1
    task = asyncio.create_task(mirror.run())
    await mirror.synced.wait()
    await asyncio.sleep(0.1)
    store.put("kind", "a", {"n": 1})
    await asyncio.sleep(0.1)
    assert "a" not in mirror.objects
    mirror.note_change_elsewhere(store.revision)
    await asyncio.sleep(0.35)
    mirror.note_change_elsewhere(store.revision)
    await eventually(lambda: "a" in mirror.objects, timeout_s=1.0)
    task.cancel()


async def test_unreadable_objects_are_left_out(client, store):
    """Guards against one bad object that hides the others."""
    store.put("kind", "a", {"n": 1})
    store.put("kind", "b", {"n": 1})
    store.objects["kind", "b"] = {"metadata": "bytes"}
    objects, _ = await client.list_all("kind")
    assert [object.name for object in objects] == ["a"]
