"""Tests of the member table: order of records, leaving members, failure detection."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders.fleet import Fleet, build_record, build_targets
from turmericreach import membership
from turmericreach.membership import HostState, MemberTable


def build_relay(now=0.0):
    return MemberTable(build_record("gw", "gateway"), now)


def report(relay, sender, now):
    reply = relay.on_report(sender.make_report(relay.own.name, now), now)
    sender.on_reply(reply, now)
    return reply


def test_unknown_fields_are_ignored_and_bad_bodies_refused():
    """Guards against messages of a newer release that an older one cannot read."""
    reply = membership.decode(
        b'{"name":"x","process":1,"position":2,"new":3}', membership.DigestReply
    )
    assert reply.position == 2
    record = build_record("ag", targets=build_targets("ag", 8))
    body = membership.encode(record)
    assert membership.decode(body, membership.MemberRecord) == record
    for bad in (b"", b"x\x9c", body[:-8], b"{}"):
        with pytest.raises(msgspec.DecodeError):
            membership.decode(bad, membership.MemberRecord)


@settings(derandomize=True, max_examples=150)
@given(st.data())
def test_records_converge_whatever_happens_to_messages(data):
    """Guards against a record that reverts after lost, duplicate, reordered or late reports."""
    relay = build_relay()
    sent = []
    order = (0, 0, 0, True)
    for start in range(1, 4):
        agent = MemberTable(build_record("ag", started_ms=start * 1000), 0.0)
        for step in range(data.draw(st.integers(1, 4))):
            agent.set_own(0.0, generation=step, targets=build_targets("ag", 1, version=step))
            sent.append((start, agent.make_report("gw", 0.0)))
            for _ in range(data.draw(st.integers(0, 2))):
                sender, message = sent[data.draw(st.integers(0, len(sent) - 1))]
                reply = relay.on_report(message, 0.0)
                if sender == start:
                    agent.on_reply(reply, 0.0)
                known = relay.records.get("ag")
                if known is not None:
                    assert known.order >= order
                    order = known.order
        report(relay, agent, 0.0)
        report(relay, agent, 0.0)
        assert relay.records["ag"] == agent.own


def test_clock_that_stepped_back_does_not_hide_a_restarted_daemon():
    """Guards against a restarted process whose records are all taken for delayed ones."""
    relay = build_relay()
    report(relay, MemberTable(build_record("ag", started_ms=5000), 0.0), 0.0)
    restarted = MemberTable(build_record("ag", started_ms=1000, generation=3), 0.0)
    assert report(relay, restarted, 1.0).raise_start_to == 5000
    report(relay, restarted, 2.0)
    assert relay.records["ag"].generation == 3
    assert restarted.own.started_ms == 5001


def test_leaving_is_final_for_a_process_and_drain_is_not():
    """Guards against new work for a leaving host while the host list lags behind."""
    relay = build_relay()
    agent = MemberTable(build_record("ag", targets=build_targets("ag", 1)), 0.0)
    report(relay, agent, 0.0)
    assert relay.state_of("ag-t0", 0.0) == "live"
    agent.set_own(0.5, targets=build_targets("ag", 1, drained=True))
    report(relay, agent, 0.5)
    assert relay.state_of("ag-t0", 0.5) == "drained"
    agent.set_own(0.6, targets=build_targets("ag", 1))
    relay.on_hosts([HostState("ag", "leaving")], 1.0)
    report(relay, agent, 1.0)
    assert relay.state_of("ag-t0", 1.0) == "leaving"
    assert agent.own.state == "leaving"
    relay.on_hosts([HostState("ag")], 1.5)
    agent.set_own(1.5, state="live")
    report(relay, agent, 1.5)
    assert relay.state_of("ag-t0", 1.5) == "leaving"
    relay.on_hosts([], 1.7)
    fresh = MemberTable(build_record("ag", started_ms=1_800_000_000_000), 1.8)
    report(relay, fresh, 1.8)
    assert relay.member_state("ag") == "live"


def test_later_record_of_a_leaving_process_does_not_make_it_live():
    """Guards against a process of another release that returns from ``leaving`` to ``live``."""
    relay = build_relay()
    relay.merge(build_record("ag", state="leaving"))
    relay.merge(build_record("ag", state="live", sequence=2))
    assert relay.member_state("ag") == "leaving"


def test_own_pause_is_not_held_against_the_relays():
    """Guards against a resumed process that excludes relays whose replies are in its buffers."""
    agent = MemberTable(build_record("ag"), 0.0)
    report(build_relay(), agent, 0.0)
    agent.merge(build_record("gw", "gateway"))
    agent.make_report("gw", 1.0)
    agent.tick(6.0)
    assert [item.name for item in agent.relays("a", 6.0)][0] == "gw"


def run_small():
    fleet = Fleet(data_centres=2, gateways=3, agents=3, targets=1)
    fleet.step(6)
    return fleet


def states(fleet, name, skip=()):
    return {
        table.member_state(name)
        for key, table in fleet.tables.items()
        if table.own.role == "gateway" and key not in skip and key != name
    }


@pytest.mark.parametrize("name", ["a-ag-1", "a-gw-0", "a-gw-1", "a-gw-2"])
def test_frozen_member_is_suspect_then_gone_and_returns(name):
    """Guards against work for a dead host, and a resumed relay that removes all members."""
    fleet = run_small()
    fleet.frozen.add(name)
    fleet.step(6)
    assert states(fleet, name) <= {"suspect", "gone"}
    fleet.step(10)
    assert states(fleet, name) == {"gone"}
    fleet.frozen.clear()
    table = fleet.tables[name]
    assert len(table.live(fleet.now + 1)) >= (9 if table.own.role == "gateway" else 5)
    fleet.step(4)
    assert states(fleet, name) == {"live"}
    assert all(len(t.live(fleet.now)) >= 6 for t in fleet.tables.values())


def test_both_relays_lost_at_once():
    """Guards against a data centre that declares all its members gone when its relays fail."""
    fleet = run_small()
    lost = [item.name for item in fleet.tables["a-ag-0"].relays("a", fleet.now)]
    fleet.frozen.update(lost)
    for _ in range(25):
        fleet.step()
        left = [t for n, t in fleet.tables.items() if n not in lost]
        assert {t.member_state("a-ag-1") for t in left if t.own.data_centre == "a"} <= {
            "live",
            "suspect",
        }
    assert states(fleet, "a-ag-1", lost) == {"live"}
    assert states(fleet, lost[0], lost) == {"gone"}


def test_regions_without_contact_find_each_other_again():
    """Guards against two regions that lose each other's addresses while disconnected."""
    fleet = run_small()
    fleet.is_link_cut = lambda sender, receiver: sender[0] != receiver[0]
    fleet.step(60)
    assert states(fleet, "b-gw-0", ["b-gw-1", "b-gw-2"]) == {"gone"}
    assert states(fleet, "b-gw-0", ["a-gw-0", "a-gw-1", "a-gw-2"]) == {"live"}
    fleet.is_link_cut = lambda sender, receiver: False
    fleet.step(8)
    assert states(fleet, "b-gw-0") == {"live"}


def test_isolated_daemon_declares_nobody_gone():
    """Guards against a host without network that removes all other members."""
    fleet = run_small()
    fleet.is_link_cut = lambda sender, receiver: "a-gw-0" in (sender, receiver)
    fleet.step(60)
    assert len(fleet.tables["a-gw-0"].records) == 12
