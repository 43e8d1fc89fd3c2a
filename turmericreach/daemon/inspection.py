"""Answering `explain` from the decision traces of all daemons."""

import asyncio

import attrs
import msgspec

from turmericreach.daemon.node import Node
from turmericreach.rpc import PeerError
from turmericreach.telemetry import Decision

__all__ = ["INSPECT", "Inspection", "inspect_members"]

INSPECT = "inspect"
CALL_TIMEOUT_S = 2.0
# 340 daemons are asked in turns, so that one command does not open all connections at once.
CONCURRENT_CALLS = 32
NO_ANSWER = "no answer"


@attrs.frozen
class InspectQuery:
    """Asks for the decisions about a request or sample."""

    subject: str


class Inspection:
    """Answers queries from this daemon's trace.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node: Node):
        self.node = node

    def answer(self, body: bytes) -> bytes:
        """Answer the query of a peer."""
        query = msgspec.json.decode(body, type=InspectQuery)
        return msgspec.json.encode(self.find(query.subject))

    def find(self, subject: str) -> list[Decision]:
        """Return the decisions about a request, an attempt, or all rollouts of a sample."""
        found = list(self.node.trace.explain(subject))
        prefix = f"{subject}#"
        for request_id in list(self.node.trace.requests):
            if request_id.startswith(prefix):
                found += self.node.trace.explain(request_id)
        return found


async def inspect_members(node: Node, subject: str) -> list[dict]:
    """Return the decisions of all live daemons about a subject, in the order of time.

    A daemon that does not answer has a row without a request.
    """
    decisions = Inspection(node).find(subject)
    limit = asyncio.Semaphore(CONCURRENT_CALLS)
    body = msgspec.json.encode(InspectQuery(subject))

    async def ask(member) -> list[Decision]:
        async with limit:
            try:
                client = await node.peers.get(member.address)
                answer = await client.control(INSPECT, body, CALL_TIMEOUT_S)
                return msgspec.json.decode(answer, type=list[Decision])
            except (PeerError, msgspec.DecodeError) as error:
                # Without this line, a missing daemon looks like one that decided nothing.
                return [Decision(node.wall_clock(), member.name, "", "", NO_ANSWER, str(error))]

    others = [item for item in node.members.live(node.now()) if item.name != node.name]
    for found in await asyncio.gather(*(ask(item) for item in others)):
        decisions += found
    decisions.sort(key=lambda decision: decision.at)
    return [attrs.asdict(decision) for decision in decisions]
