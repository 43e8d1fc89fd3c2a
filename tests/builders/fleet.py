"""Member tables that exchange messages in memory and in virtual time, without sockets."""

import collections

import xxhash

from turmericreach import membership
from turmericreach.membership import MemberRecord, MemberTable, TargetStatus


def build_record(name, role="agent", data_centre="a", started_ms=1_790_000_000_000, **fields):
    fields.setdefault("incarnation", xxhash.xxh3_64_intdigest(f"{name}{started_ms}".encode()) >> 1)
    fields.setdefault("sequence", 1)
    address = f"10.0.0.1:{len(name)}"
    return MemberRecord(name, role, data_centre, address=address, started_ms=started_ms, **fields)


def build_targets(name, count=4, **fields):
    return [
        TargetStatus(f"{name}-t{number}", "assistant", slots=8, **fields) for number in range(count)
    ]


class Fleet:
    """Members that exchange reports and digests once a second.

    Attributes
    ----------
    tables : dict of str to MemberTable
        Table of each member by its name.
    frozen : set of str
        Members that neither send nor receive.
    is_link_cut : callable
        Takes sender and receiver and returns whether messages between them are lost.
    bytes, messages : collections.Counter
        Encoded bytes and messages by member, sent and received.
    seeds : dict of str to str
        First gateway of each data centre.
    """

    def __init__(self, data_centres=6, gateways=7, agents=50, targets=4):
        self.now = 0.0
        self.tables = {}
        self.frozen = set()
        self.is_link_cut = lambda sender, receiver: False
        self.bytes = collections.Counter()
        self.messages = collections.Counter()
        self.seeds = {}
        for centre in "abcdefgh"[:data_centres]:
            self.seeds[centre] = f"{centre}-gw-0"
            for number in range(gateways):
                self.add(build_record(f"{centre}-gw-{number}", "gateway", centre))
            for number in range(agents):
                name = f"{centre}-ag-{number}"
                self.add(build_record(name, "agent", centre, targets=build_targets(name, targets)))

    def add(self, record):
        self.tables[record.name] = MemberTable(record, self.now)

    def send(self, sender, receiver, message):
        """Count a message at sender and receiver; return it decoded, or None if it is lost."""
        body = membership.encode(message)
        self.count(sender, body)
        if (
            receiver not in self.tables
            or receiver in self.frozen
            or self.is_link_cut(sender, receiver)
        ):
            return None
        self.count(receiver, body)
        return membership.decode(body, type(message))

    def count(self, name, body):
        self.bytes[name] += len(body)
        self.messages[name] += 1

    def call(self, sender, receiver, message, handle, on_reply):
        request = self.send(sender, receiver, message)
        if request is None:
            return
        reply = self.send(receiver, sender, handle(self.tables[receiver])(request, self.now))
        if reply is not None:
            on_reply(reply, self.now)

    def step(self, seconds=1):
        for _ in range(seconds):
            self.now += 1.0
            for name in list(self.tables):
                if name not in self.frozen:
                    self.exchange(name, self.tables[name])

    def exchange(self, name, table):
        relays = [item.name for item in table.relays(table.own.data_centre, self.now)]
        receivers = [item for item in relays if item != name]
        if len(table.records) == 1:
            receivers = [seed for seed in self.seeds.values() if seed != name]
            if table.own.role == "agent":
                receivers = [self.seeds[table.own.data_centre]]
        for receiver in receivers:
            report = table.make_report(receiver, self.now)
            self.call(name, receiver, report, lambda peer: peer.on_report, table.on_reply)
        if name in relays:
            self.send_digests(name, table, relays.index(name))

    def send_digests(self, name, table, relay_index):
        for centre in self.seeds:
            peers = table.relays(centre, self.now)
            if centre == table.own.data_centre or len(peers) <= relay_index:
                continue
            receiver = peers[relay_index].name
            digest = table.make_digest(receiver, self.now)
            self.call(name, receiver, digest, lambda peer: peer.on_digest, table.on_digest_reply)
