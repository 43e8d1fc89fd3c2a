"""Audit records of a gateway that is lost while the platform is unavailable."""

import contextlib
from types import SimpleNamespace

import msgspec
import pytest

from tests.builders.objectstore import MemoryObjectStore
from turmericreach.audit import AuditLog, AuditRecord, read_audit
from turmericreach.daemon.audit_copies import AuditCopies
from turmericreach.membership import MemberRecord
from turmericreach.objectstore import ObjectStoreError
from turmericreach.rpc import PeerTimeout

pytestmark = pytest.mark.looptime


class Members:
    """Member table with states set by the test, shared by all its gateways."""

    def __init__(self, *names):
        self.states = dict.fromkeys(names, "live")
        self.records = {
            name: MemberRecord(name, "gateway", "turku", "fi", name, started_ms=1) for name in names
        }

    def gateways(self, now):
        return [name for name, state in self.states.items() if state == "live"]

    def member_state(self, name):
        return self.states[name]


class Gateway:
    """An audit log with its copies; messages are passed to the other gateways directly."""

    def __init__(self, name, store, members, network):
        network[name] = self
        self.network = network
        table = SimpleNamespace(
            own=members.records[name],
            records=members.records,
            gateways=members.gateways,
            member_state=members.member_state,
        )
        node = SimpleNamespace(name=name, members=table, peers=self, now=lambda: 0.0)
        self.log = AuditLog(store, "turku", name)
        self.copies = AuditCopies(node, self.log)
        self.messages = 0

    async def get(self, address):
        other = self.network[address]

        async def control(kind, body, timeout_s):
            if other.log is None:
                raise PeerTimeout("no reply")
            self.messages += 1
            other.copies.handle_message(body)

        return SimpleNamespace(control=control)


def make(store, *names):
    members, network = Members(*names), {}
    return members, [Gateway(name, store, members, network) for name in names]


def record(number):
    return AuditRecord(float(number), "g1", "ops", "drain", f"target/t{number}")


async def flush(log):
    log.next_flush_at = 0.0
    with contextlib.suppress(ObjectStoreError):
        await log.flush()


async def subjects(store):
    return [item.subject for item in await read_audit(store)]


@pytest.mark.parametrize("state", ["gone", "stopped"])
async def test_partner_writes_for_a_lost_gateway(state):
    """Guards against records of an outage that are lost with the gateway that made the change."""
    store = MemoryObjectStore()
    members, (first, second) = make(store, "g1", "g2")
    store.faults.down = True
    for number in (1, 2):
        first.log.append(record(number))
        await flush(first.log)
        assert await first.copies.send()
    members.states["g1"] = state
    second.copies.write_orphaned()
    store.faults.down = False
    await flush(second.log)
    assert await subjects(store) == ["target/t1", "target/t2"]


async def test_record_that_both_write_is_read_once():
    """Guards against records that appear twice because their gateway was only assumed lost."""
    store = MemoryObjectStore()
    members, (first, second) = make(store, "g1", "g2")
    first.log.append(record(1))
    assert await first.copies.send()
    members.states["g1"] = "gone"
    second.copies.write_orphaned()
    await flush(first.log)
    await flush(second.log)
    assert await subjects(store) == ["target/t1"]


async def test_restarted_gateway():
    """Guards against copies that are lost when a restarted gateway sends its first message."""
    store = MemoryObjectStore()
    members, (first, second) = make(store, "g1", "g2")
    first.log.append(record(1))
    assert await first.copies.send()
    body = msgspec.json.encode({"origin": "g1", "started_ms": 2, "records": []})
    second.copies.handle_message(body)
    await flush(second.log)
    assert await subjects(store) == ["target/t1"]


async def test_written_records_are_dropped_by_the_partner():
    """Guards against copies that accumulate, and messages while there is nothing to copy."""
    store = MemoryObjectStore()
    members, (first, second) = make(store, "g1", "g2")
    assert await first.copies.send()
    assert first.messages == 0
    first.log.append(record(1))
    for _ in range(3):
        assert await first.copies.send()
    assert (first.messages, list(second.copies.held)) == (1, ["g1"])
    await flush(first.log)
    assert await first.copies.send()
    assert (first.messages, second.copies.held) == (2, {})


async def test_graceful_stop_in_an_outage():
    """Guards against a gap reported although the partner has the records, and the reverse."""
    store = MemoryObjectStore()
    members, (first, second) = make(store, "g1", "g2")
    store.faults.down = True
    first.log.append(record(1))
    assert await first.log.drain(1.0, first.copies.send) == 0
    second.log.append(record(2))
    first.log = None
    assert await second.log.drain(1.0, second.copies.send) == 1
