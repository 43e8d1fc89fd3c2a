"""Drains of targets: kept in the platform, put in force by the agents."""

import attrs
import msgspec

from turmericreach.daemon.node import Node
from turmericreach.objectstore import ObjectStore, ObjectStoreError
from turmericreach.rpc import PeerError, PeerUnreachable
from turmericreach.verdicts import ErrorCode, RequestError, Verdict

__all__ = [
    "DRAIN",
    "DRAIN_KIND",
    "WORK",
    "DrainMessage",
    "DrainWriter",
    "TargetWork",
    "WorkQuery",
    "read_drains",
]

DRAIN = "drain"
WORK = "work"
DRAIN_KIND = "drains"
CALL_TIMEOUT_S = 2.0


@attrs.frozen
class DrainMessage:
    """Starts or lifts the drain of a target."""

    target: str
    drain: bool
    actor: str = ""


@attrs.frozen
class WorkQuery:
    """Asks an agent what a target has in flight."""

    target: str


@attrs.frozen
class TargetWork:
    """What a target has in flight, as its agent sees it.

    Attributes
    ----------
    answered : bool
        Whether the agent answered; without that, nothing else is known.
    """

    target: str
    answered: bool = False
    drained: bool = False
    running: int = 0
    waiting: int = 0


class DrainWriter:
    """Changes drains on behalf of operators.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node: Node):
        self.node = node

    async def drain(self, target: str, drain: bool, actor: str) -> dict:
        """Store a drain and tell the agent.

        Returns
        -------
        dict
            ``durable`` tells whether the platform holds the change, ``in_force`` whether the
            agent has confirmed it.

        Raises
        ------
        RequestError
            If neither could be done.
        """
        message = DrainMessage(target, drain, actor)
        body = msgspec.json.encode(message)
        durable = True
        try:
            await self.node.store.put(DRAIN_KIND, target, body)
        except ObjectStoreError:
            durable = False
        in_force = await self.tell_agent(target, body)
        if not durable and not in_force:
            raise RequestError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "neither the platform nor the agent answered",
                503,
                Verdict.MAY_HAVE_RUN,
                2.0,
            )
        return {"target": target, "drain": drain, "durable": durable, "in_force": in_force}

    async def tell_agent(self, target: str, body: bytes) -> bool:
        """Send a change to the agent beside the target."""
        holder = self.node.members.holder_of(target, self.node.now())
        address = holder.address if holder is not None else self.node.targets[target].agent
        try:
            client = await self.node.peers.get(address)
            await client.control(DRAIN, body, CALL_TIMEOUT_S)
        except (PeerError, PeerUnreachable):
            return False
        return True


async def read_drains(store: ObjectStore) -> dict[str, bool]:
    """Return the stored drains by target; raises `ObjectStoreError`."""
    listing = await store.list(DRAIN_KIND)
    drains = {}
    for item in listing.items:
        message = msgspec.json.decode(item.value, type=DrainMessage)
        drains[message.target] = message.drain
    return drains
