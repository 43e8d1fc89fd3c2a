"""Tests of the client and mirrors of the metadata store with lost, late and rejected calls."""

import asyncio

import pytest

from tests.builders.fleet_world import eventually
from turmericreach.metadata import Conflict, KindMirror, OutcomeUnknown, Unavailable


def soon():
    """Return the loop time in half a second, as a deadline."""
    return asyncio.get_running_loop().time() + 0.5


class Recorder:
    """Records the changes that a mirror reports."""

    def __init__(self):
        self.changed = []
        self.removed = []

    def object_changed(self, object):
        self.changed.append((object.name, object.spec))

    def object_removed(self, object):
        self.removed.append(object.name)


async def test_create_is_repeated_after_a_lost_response(client, store):
    """Guards against a create that took effect being reported as a conflict with itself."""
    store.faults.lose_write_responses = 1
    object = await client.create("kind", "a", {"writer": "me"}, soon())
    assert object.spec == {"writer": "me"}
    assert store.names("kind") == ["a"]


async def test_write_with_an_unreadable_response_has_an_unknown_outcome(client, store):
    """Guards against reporting that a write had no effect although it took effect."""
    store.faults.garbled_write_responses = 2
    with pytest.raises(OutcomeUnknown):
        await client.create("kind", "a", {"writer": "me"}, asyncio.get_running_loop().time())
    assert store.names("kind") == ["a"]
    assert (await client.create("kind", "b", {"writer": "me"}, soon())).spec == {"writer": "me"}


async def test_create_over_another_writers_object_conflicts(client, store):
    """Guards against taking an object of another writer for the one being created."""
    store.put("kind", "a", {"writer": "other"})
    with pytest.raises(Conflict) as raised:
        await client.create("kind", "a", {"writer": "me"}, soon())
    assert raised.value.current.spec == {"writer": "other"}


async def test_late_create_does_not_replace_the_object_of_its_retry(client, store):
    """Guards against a delayed write that overwrites the object created by its retry."""
    store.faults.late_writes = 1
    first = await client.create("kind", "a", {"writer": "me"}, soon())
    await asyncio.sleep(1.2)
    again = await client.get("kind", "a")
    assert again.revision == first.revision


async def test_rejected_create_has_no_effect(client, store):
    """Guards against reporting an unknown outcome for a call that the store rejected."""
    store.faults.refuse = True
    with pytest.raises(Unavailable):
        await client.create("kind", "a", {"writer": "me"}, soon())


async def test_outcome_of_a_late_create_is_unknown_even_if_its_retries_are_rejected(client, store):
    """Guards against reporting that a write has no effect while one may still arrive."""
    store.faults.late_writes = 1
    task = asyncio.create_task(client.create("kind", "a", {"writer": "me"}, soon()))
    await asyncio.sleep(0.1)
    store.faults.refuse = True
    with pytest.raises(OutcomeUnknown):
        await task


async def test_status_write_is_repeated_after_a_lost_response(client, store):
    """Guards against a status that is written but reported as a conflict."""
    made = store.put("kind", "a", {"x": 1})
    store.faults.lose_write_responses = 1
    object = await client.set_status("kind", "a", {"y": 2}, made["metadata"]["revision"], soon())
    assert object.status == {"y": 2}


async def test_status_write_over_a_newer_revision_conflicts(client, store):
    """Guards against overwriting a change that the writer has not seen."""
    made = store.put("kind", "a", {"x": 1})
    store.put("kind", "a", status={"y": 1})
    with pytest.raises(Conflict):
        await client.set_status("kind", "a", {"y": 2}, made["metadata"]["revision"], soon())


async def test_outage_and_recovery_of_the_store_are_detected(client, store):
    """Guards against an outage of the store, or its end, that is not detected."""
    client.available.clear()
    task = asyncio.create_task(client.monitor())
    await eventually(client.available.is_set)
    store.faults.refuse = True
    await eventually(lambda: not client.available.is_set())
    store.faults.refuse = False
    await eventually(client.available.is_set)
    assert client.recovered_at > float("-inf")
    task.cancel()


async def test_first_response_after_a_silence_is_recorded_before_any_probe(client, store):
    """Guards against peers that are taken for lost because their reports are from an outage."""
    store.put("kind", "a", {"n": 1})
    await client.get("kind", "a")
    first = client.contact_resumed_at
    await client.get("kind", "a")
    assert client.contact_resumed_at == first
    client.last_response_at -= 2.0
    await client.get("kind", "a")
    assert client.contact_resumed_at > first
    assert client.recovered_at == float("-inf")


async def test_mirror_applies_changes_and_removals(client, store):
    """Guards against missing changes made between a list and the watch after it."""
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


async def test_mirror_lists_again_when_the_history_has_expired(client, store):
    """Guards against missing a removal that is no longer in the history of the store."""
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


async def test_mirror_never_applies_an_older_state(client, store):
    """Guards against replacing a newer state when a list and a watch arrive out of order."""
    store.put("kind", "a", {"n": 1})
    recorder = Recorder()
    mirror = KindMirror(client, "kind", recorder, 20.0)
    old = (await client.list_all("kind"))[0][0]
    store.put("kind", "a", {"n": 2})
    mirror.apply_object((await client.list_all("kind"))[0][0])
    mirror.apply_object(old)
    assert mirror.objects["a"].spec == {"n": 2}


async def test_hanging_watches_are_closed_when_the_store_is_available_again(client, store):
    """Guards against a watch sent to an unavailable store that never gets a response."""
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


async def test_stalled_watch_is_restarted_when_another_process_saw_a_change(client, store):
    """Guards against a watch that neither responds nor ends while the store is available.

    When the store dropped its history, the configuration watch of one process stalled, and requests
    to a new route were rejected for seconds.
    """
    mirror = KindMirror(client, "kind", Recorder(), 20.0)
    client.available.set()
    store.faults.stalled_watches = 1
    task = asyncio.create_task(mirror.run())
    await mirror.synced.wait()
    await asyncio.sleep(0.1)
    store.put("kind", "a", {"n": 1})
    await asyncio.sleep(0.1)
    assert "a" not in mirror.objects
    mirror.check_for_missed_change(store.revision)
    await asyncio.sleep(0.35)
    mirror.check_for_missed_change(store.revision)
    await eventually(lambda: "a" in mirror.objects, timeout_s=1.0)
    task.cancel()


async def test_undecodable_objects_are_skipped(client, store):
    """Guards against one undecodable object that hides the others."""
    store.put("kind", "a", {"n": 1})
    store.put("kind", "b", {"n": 1})
    store.objects["kind", "b"] = {"metadata": "bytes"}
    objects, _ = await client.list_all("kind")
    assert [object.name for object in objects] == ["a"]


@pytest.mark.parametrize("status", [302, 500, 502, 504, 600])
async def test_write_that_a_failing_store_answers_has_an_unknown_outcome(client, store, status):
    """Guards against "not stored" for a write that a failing store may have applied."""
    store.faults.write_status = status
    with pytest.raises(OutcomeUnknown):
        await client.create("kind", "a", {"writer": "me"}, asyncio.get_running_loop().time())
    assert store.names("kind") == ["a"]


async def test_rejected_retry_does_not_make_a_lost_write_certain(client, store):
    """Guards against "not stored" after a lost response whose retry was rejected."""
    store.faults.lose_write_responses = 1
    store.faults.rejected_writes = 1
    with pytest.raises(OutcomeUnknown):
        await client.create("kind", "a", {"writer": "me"}, soon())
    assert store.names("kind") == ["a"]
