"""What a gateway tells operators of the others."""

from types import SimpleNamespace

import msgspec

from turmericreach.daemon.lot_calls import LotReply
from turmericreach.daemon.reports import Reports
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
    """Connections to other gateways, some of which do not answer."""

    def __init__(self, answers):
        self.answers = answers

    async def get(self, address):
        async def control(kind, body, timeout_s):
            answer = self.answers[address]
            if answer is None:
                raise PeerError("no answer in time")
            return answer

        return SimpleNamespace(control=control)


def reports_of(answers):
    """Return the reports of gateway g1 whose peers answer so."""
    names = ["g1", *answers]
    members = SimpleNamespace(
        gateways=lambda now: names,
        records={name: SimpleNamespace(address=name) for name in names},
    )
    node = SimpleNamespace(name="g1", members=members, peers=Peers(answers), now=lambda: 0.0)

    async def list_local(call):
        return b"[]"

    return Reports(SimpleNamespace(node=node, lots=SimpleNamespace(list_local=list_local)))


async def test_gateways_that_do_not_answer_are_named_in_the_list_of_lots():
    """Guards against a list that looks whole while a gateway's lots are missing."""
    body = msgspec.json.encode([LOT])
    reply = msgspec.json.encode(LotReply(body))
    found = await reports_of({"g3": None, "g2": reply}).list_lots()
    assert [lot.lot for lot in found.lots] == ["lot-1"]
    assert found.silent == ["g3"]
