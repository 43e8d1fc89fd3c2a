"""Audit records of configurations and duties, and events about members and breakers."""

import contextlib
from types import SimpleNamespace

import pytest

from tests.builders.objectstore import MemoryObjectStore
from turmericreach.audit import AuditLog, read_audit
from turmericreach.daemon import duty_watch, member_watch
from turmericreach.daemon.config_audit import ConfigAudit
from turmericreach.daemon.duty_watch import DutyWatch
from turmericreach.daemon.member_watch import MemberWatch
from turmericreach.daemon.observations import BreakerWatch
from turmericreach.manifest import Manifest, encode_revision, record_revision
from turmericreach.manifest import Revision as StoredRevision
from turmericreach.membership import MemberRecord, MemberTable
from turmericreach.objectstore import ObjectStoreError
from turmericreach.routing import CircuitBreaker
from turmericreach.routing.result import AttemptResult
from turmericreach.telemetry import events

pytestmark = pytest.mark.looptime
MANIFEST = Manifest(1, "test", [], [], [])


def revision(generation, author="ci", applied_at=1000.0):
    stored = StoredRevision(
        generation, f"c{generation}", author, applied_at, MANIFEST, f"c{generation - 1}"
    )
    payload = encode_revision(stored)
    return SimpleNamespace(generation=generation, change_id=stored.change_id, payload=payload)


class FakeNode:
    """The parts of `Node` that the watches use; `gateways` are the live ones."""

    def __init__(self, name, store, gateways):
        self.name = name
        self.store = store
        self.time = 0.0
        self.members = SimpleNamespace(gateways=lambda now: list(gateways))
        self.manifest = None

    def now(self):
        return self.time

    def wall_clock(self):
        return 1000.0 + self.time


class Gateway:
    """A config audit with its log."""

    def __init__(self, name, store, gateways):
        self.node = FakeNode(name, store, gateways)
        self.log = AuditLog(store, "turku", name, clock=self.node.wall_clock)
        self.audit = ConfigAudit(self.node, self.log)

    async def step(self, now):
        self.node.time = now
        await self.audit.step(now)
        self.log.next_flush_at = 0.0
        await self.log.flush()


async def applied(store):
    return [(r.actor, r.before, r.after, r.change_id) for r in await read_audit(store)]


async def test_one_record_whoever_writes_it():
    """Guards against a change without a record after the duty's holder is lost, or with two."""
    store = MemoryObjectStore()
    live = ["g1", "g2"]
    gateways = [Gateway(name, store, live) for name in live]
    for gateway in gateways:
        gateway.audit.on_revision(revision(1))
        await gateway.step(0.0)
    assert await applied(store) == [("ci", "0", "1", "c1")]
    (holder,) = [gateway for gateway in gateways if gateway.log.last_number]
    (other,) = [gateway for gateway in gateways if gateway is not holder]
    other.audit.on_revision(revision(2, "eve"))
    await other.step(2.0)
    assert len(await applied(store)) == 1
    live.remove(holder.node.name)
    await other.step(4.0)
    assert await applied(store) == [("ci", "0", "1", "c1"), ("eve", "1", "2", "c2")]


async def test_skipped_generations():
    """Guards against missing records of generations that were skipped by a quick successor."""
    store = MemoryObjectStore()
    gateway = Gateway("g1", store, ["g1"])
    gateway.audit.on_revision(revision(1))
    skipped = StoredRevision(2, "c2", "eve", 1000.0, MANIFEST, "c1")
    await record_revision(store, skipped)
    gateway.audit.on_revision(revision(4))
    for now in (0.0, 2.0, 11.0, 13.0):
        await gateway.step(now)
    records = await read_audit(store)
    assert sorted(r.after for r in records if r.action == "apply") == ["1", "2", "4"]
    (gap,) = [record for record in records if record.action == "gap"]
    assert gap.before == "generation 3 is not in the history"


async def test_outage_and_lost_responses():
    """Guards against a record that is lost or repeated by an outage or a lost response."""
    store = MemoryObjectStore()
    gateway = Gateway("g1", store, ["g1"])
    gateway.audit.on_revision(revision(1))
    store.faults.down = True
    await gateway.audit.step(0.0)
    store.faults.down = False
    store.faults.lose_answers = 2
    for now in (2.0, 4.0, 6.0, 8.0):
        # The loop of the process also continues after an error and retries a second later.
        with contextlib.suppress(ObjectStoreError):
            await gateway.step(now)
    assert await applied(store) == [("ci", "0", "1", "c1")]
    assert not gateway.log.pending


async def test_old_configuration_at_start():
    """Guards against another record of the same configuration after each restart."""
    store = MemoryObjectStore()
    gateway = Gateway("g1", store, ["g1"])
    gateway.audit.on_revision(revision(5, applied_at=100.0))
    await gateway.step(0.0)
    assert await applied(store) == []


@pytest.fixture
def logged(monkeypatch):
    seen = []

    def record_event(event, **fields):
        assert event.check(fields) == ""
        seen.append((event, fields))

    for module in (duty_watch, member_watch):
        monkeypatch.setattr(module, "log_event", record_event)
    monkeypatch.setattr("turmericreach.daemon.observations.log_event", record_event)
    return seen


def test_duty_is_recorded_by_its_new_holder(logged):
    """Guards against a change of holder without a record, and a record by a starting gateway."""
    records = []
    live = ["g1"]
    node = FakeNode("g1", None, live)
    watch = DutyWatch(node, lambda *row: records.append(row))
    watch.step(0.0)
    live[:] = ["other"]
    watch.step(1.0)
    assert records == []
    live[:] = ["g1"]
    for now in (2.0, 4.0, 5.0, 6.0):
        watch.step(now)
    assert records == [("g1", "take-duty", "duty/audit-config", "other", "g1")]
    live[:] = ["other"]
    watch.step(7.0)
    assert [event for event, _ in logged] == [events.DUTY_CHANGED, events.DUTY_CHANGED]


def record(name, sequence=1):
    return MemberRecord(
        name=name, role="agent", data_centre="oulu", region="fi", address="127.0.0.1:1",
        started_ms=1, incarnation=1, sequence=sequence,
    )  # fmt: skip


def test_member_events_of_a_relay(logged):
    """Guards against a lost host without a log line."""
    own = MemberRecord(
        name="g1", role="gateway", data_centre="turku", region="fi", address="127.0.0.1:2"
    )
    table = MemberTable(own, 0.0)
    node = SimpleNamespace(
        name="g1",
        members=table,
        settings=SimpleNamespace(data_centre="turku"),
        config=SimpleNamespace(generation=1),
        wanted=SimpleNamespace(newest={}),
        metrics=SimpleNamespace(gauge=lambda *args, **labels: None),
    )
    watch = MemberWatch(node, lambda: True)
    watch.step(0.0)
    table.merge(record("a1"))
    for step in range(1, 16):
        table.clock.record_contact(float(step))
        watch.step(float(step))
    assert [event for event, _ in logged] == [
        events.RELAY_DUTY,
        events.PEER_JOINED,
        events.PEER_SUSPECT,
        events.DATA_CENTRE_UNREACHABLE,
        events.PEER_LOST,
    ]


def test_breaker_events(logged):
    """Guards against a circuit breaker that opens without a log line."""
    breaker = CircuitBreaker(threshold=2)
    watch = BreakerWatch(breaker)
    for result, now in [(AttemptResult.FAILED, 0.0), (AttemptResult.FAILED, 0.0)]:
        breaker.on_ended("t1", 1, "x", result, now)
        watch.check("t1")
    breaker.on_sent("t1", 1, "probe", 2.0)
    breaker.on_ended("t1", 1, "probe", AttemptResult.SUCCESS, 2.1)
    watch.check("t1")
    assert [event for event, _ in logged] == [events.BREAKER_OPENED, events.BREAKER_CLOSED]
