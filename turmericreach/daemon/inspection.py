"""Collection of the decisions for `explain` from the traces of all processes."""

import asyncio

import attrs
import msgspec

from turmericreach.daemon.node import Node
from turmericreach.rpc import PeerError
from turmericreach.telemetry import Decision

__all__ = ["INSPECT", "Inspection", "collect_decisions"]

INSPECT = "inspect"
CALL_TIMEOUT_S = 2.0
# Limits the concurrent queries among up to 340 processes, so that one command does not open all
# connections at once.
CONCURRENT_CALLS = 32
NO_RESPONSE = "no answer"


@attrs.frozen
class InspectQuery:
    """Query for the decisions about a request or sample.

    Attributes
    ----------
    subject : str
        Id of a request, an attempt or a sample.
    """

    subject: str


class Inspection:
    """Looks up decisions in the trace of this process.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.
    """

    def __init__(self, node: Node):
        self.node = node

    def handle_query(self, body: bytes) -> bytes:
        """Return the encoded decisions for the encoded `InspectQuery` of a peer."""
        query = msgspec.json.decode(body, type=InspectQuery)
        return msgspec.json.encode(self.find_decisions(query.subject))

    def find_decisions(self, subject: str) -> list[Decision]:
        """Return the decisions about a request, an attempt, or all rollouts of a sample."""
        found = list(self.node.trace.explain(subject))
        prefix = f"{subject}#"
        for request_id in list(self.node.trace.requests):
            if request_id.startswith(prefix):
                found += self.node.trace.explain(request_id)
        return found


async def collect_decisions(node: Node, subject: str) -> list[dict]:
    """Return the decisions of all live processes about a subject in chronological order.

    A process that does not respond has a row without a request id.
    """
    decisions = Inspection(node).find_decisions(subject)
    semaphore = asyncio.Semaphore(CONCURRENT_CALLS)
    body = msgspec.json.encode(InspectQuery(subject))

    async def query_member(member) -> list[Decision]:
        async with semaphore:
            try:
                client = await node.peers.get(member.address)
                response = await client.control(INSPECT, body, CALL_TIMEOUT_S)
                return msgspec.json.decode(response, type=list[Decision])
            except (PeerError, msgspec.DecodeError) as error:
                # This row distinguishes an unreachable process from one without decisions.
                return [Decision(node.wall_clock(), member.name, "", "", NO_RESPONSE, str(error))]

    others = [item for item in node.members.live(node.now()) if item.name != node.name]
    for found in await asyncio.gather(*(query_member(item) for item in others)):
        decisions += found
    decisions.sort(key=lambda decision: decision.at)
    return [attrs.asdict(decision) for decision in decisions]
