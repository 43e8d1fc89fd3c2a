"""Operators' calls that a gateway answers with the help of other gateways."""

from types import SimpleNamespace

import msgspec

from turmericreach.daemon.lot_calls import LotReply
from turmericreach.daemon.operator_queries import OperatorQueries
from turmericreach.rpc import PeerError

LOT = {
    "lot": "lot-1",
    "trainer": "t",
    "coordinator": "g2",
    "samples": 4,
    "counts": {},
    "discarded": {},
    "stragglers": 0,
    "tokens_useful": 1,
    "tokens_thrown_away": 0,
    "durable": True,
}


class Peers:
    """Connections to other gateways, some of which do not reply."""

    def __init__(self, replies):
        self.replies = replies

    async def get(self, address):
        async def control(kind, body, timeout_s):
            reply = self.replies[address]
            if reply is None:
                raise PeerError("no reply in time")
            return reply

        return SimpleNamespace(control=control)


def queries_of(replies):
    """Return the queries of gateway g1, whose peers send the given replies, None for no reply."""
    names = ["g1", *replies]
    members = SimpleNamespace(
        gateways=lambda now: names,
        records={name: SimpleNamespace(address=name) for name in names},
    )
    node = SimpleNamespace(name="g1", members=members, peers=Peers(replies), now=lambda: 0.0)

    async def list_local(call):
        return b"[]"

    return OperatorQueries(SimpleNamespace(node=node, lots=SimpleNamespace(list_local=list_local)))


async def test_gateways_that_do_not_reply_are_named_in_the_list_of_lots():
    """Guards against a list that looks complete while the lots of a gateway are missing."""
    body = msgspec.json.encode([LOT])
    reply = msgspec.json.encode(LotReply(body))
    found = await queries_of({"g3": None, "g2": reply}).list_lots()
    assert [lot.lot for lot in found.lots] == ["lot-1"]
    assert found.silent == ["g3"]
