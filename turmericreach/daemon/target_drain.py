"""Drains of targets: stored in the platform, put in force by the agents."""

import asyncio
import uuid

import attrs
import msgspec

from turmericreach.daemon.node import Node
from turmericreach.objectstore import ObjectStore, ObjectStoreError, write_confirmed
from turmericreach.rpc import PeerError
from turmericreach.telemetry import events, log_event
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
STORE_TIMEOUT_S = 4.0
RETRY_S = 1.0
WRITE_TRIES = 5
# Least difference between the times of two successive changes of a target.
CLOCK_STEP_S = 0.001


@attrs.frozen
class DrainMessage:
    """Starts or lifts the drain of a target.

    Attributes
    ----------
    target : str
        Name of the target.
    drain : bool
        True starts the drain, False lifts it.
    actor : str
        Name of the operator.
    change_id : str
        Id of the change, which shows after a lost response of the platform whether it was stored.
    version : int
        Version of the stored object, which orders the changes of a target; 0 if it is not stored.
    at : float
        Unix time of the change in seconds. It orders a change that could not be stored during an
        outage against the one that the platform holds afterwards.
    """

    target: str
    drain: bool
    actor: str = ""
    change_id: str = ""
    version: int = 0
    at: float = 0.0


@attrs.frozen
class WorkQuery:
    """Asks an agent what a target has in flight.

    Attributes
    ----------
    target : str
        Name of the target.
    """

    target: str


@attrs.frozen
class TargetWork:
    """What a target has in flight according to its agent.

    Attributes
    ----------
    target : str
        Name of the target.
    answered : bool
        Whether the agent replied; if not, the fields below have no meaning.
    drained : bool
        Whether the target is drained.
    running : int
        Attempts that run at the target.
    waiting : int
        Attempts that wait in the agent's queue.
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
        Identity, configuration, members and connections of this process.

    Attributes
    ----------
    unconfirmed : dict of str to DrainMessage
        Stored changes by target that the agent has not confirmed yet.
    unstored : dict of str to DrainMessage
        Changes in force by target that the platform does not hold yet.
    """

    def __init__(self, node: Node):
        self.node = node
        self.unconfirmed: dict[str, DrainMessage] = {}
        self.unstored: dict[str, DrainMessage] = {}

    async def drain(self, target: str, drain: bool, actor: str) -> dict:
        """Store a change of a drain and send it to the agent of the target.

        Parameters
        ----------
        target : str
            Name of the target.
        drain : bool
            True starts the drain, False lifts it.
        actor : str
            Name of the operator.

        Returns
        -------
        dict
            ``durable`` tells whether the platform holds the change, ``in_force`` whether the
            agent has confirmed it.

        Raises
        ------
        RequestError
            If neither the platform nor the agent responded; the change may be in force.
        """
        at = self.node.wall_clock()
        message = DrainMessage(target, drain, actor, uuid.uuid4().hex, at=at)
        self.unconfirmed.pop(target, None)
        self.unstored.pop(target, None)
        message = await self.store(message)
        durable = message.version > 0
        in_force = await self.send_to_agent(message)
        if durable and not in_force:
            self.unconfirmed[target] = message
        if in_force and not durable:
            self.unstored[target] = message
        if not durable and not in_force:
            raise RequestError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "neither the platform nor the agent answered",
                503,
                Verdict.MAY_HAVE_RUN,
                2.0,
            )
        return {"target": target, "drain": drain, "durable": durable, "in_force": in_force}

    async def store(self, message: DrainMessage) -> DrainMessage:
        """Store a new change.

        Returns
        -------
        DrainMessage
            The change with the version of the stored object; with version 0 if the write failed.
        """

        def make_value(current) -> bytes:
            # Clocks of gateways differ; a new change must be later than the stored one.
            earliest = decode_drain(current.value).at + CLOCK_STEP_S if current is not None else 0.0
            return msgspec.json.encode(attrs.evolve(message, at=max(message.at, earliest)))

        try:
            return await self.write(message.target, make_value, WRITE_TRIES)
        except (ObjectStoreError, TimeoutError) as error:
            name = message.target
            log_event(events.WRITE_UNKNOWN, kind=DRAIN_KIND, name=name, error=str(error))
            return message

    async def store_delayed(self, message: DrainMessage) -> DrainMessage | None:
        """Store a change made during an outage unless the platform holds a later one.

        Returns
        -------
        DrainMessage or None
            The change that the platform holds afterwards, None if the write failed.
        """

        def make_value(current) -> bytes | None:
            if current is not None and decode_drain(current.value).at > message.at:
                return None
            return msgspec.json.encode(message)

        try:
            return await self.write(message.target, make_value, 1)
        except (ObjectStoreError, TimeoutError):
            return None

    async def write(self, target: str, make_value, tries: int) -> DrainMessage:
        """Write a drain conditionally and return the stored one with its version.

        Raises
        ------
        ObjectStoreError, TimeoutError
            If the platform did not respond in time.
        """
        async with asyncio.timeout(STORE_TIMEOUT_S):
            settled = await write_confirmed(
                self.node.store, DRAIN_KIND, target, make_value, change_id_of, max_attempts=tries
            )
        stored = decode_drain(settled.stored.value)
        return attrs.evolve(stored, version=settled.stored.version)

    async def send_to_agent(self, message: DrainMessage) -> bool:
        """Send a change to the agent of the target; return whether the agent confirmed it."""
        holder = self.node.members.holder_of(message.target, self.node.now())
        spec = self.node.targets.get(message.target)
        if holder is None and spec is None:
            return False
        address = holder.address if holder is not None else spec.agent
        try:
            client = await self.node.peers.get(address)
            await client.control(DRAIN, msgspec.json.encode(message), CALL_TIMEOUT_S)
        except PeerError:
            return False
        return True

    async def run(self) -> None:
        """Retry changes that the agent has not confirmed or the platform does not hold."""
        while True:
            await asyncio.sleep(RETRY_S)
            for target, message in list(self.unstored.items()):
                stored = await self.store_delayed(message)
                if stored is not None and self.unstored.get(target) is message:
                    del self.unstored[target]
                    self.unconfirmed[target] = stored
            for target, message in list(self.unconfirmed.items()):
                known = target in self.node.targets
                if (not known or await self.send_to_agent(message)) and (
                    self.unconfirmed.get(target) is message
                ):
                    del self.unconfirmed[target]


def decode_drain(value: bytes) -> DrainMessage:
    """Return a stored drain, without the version of the stored object."""
    return msgspec.json.decode(value, type=DrainMessage)


def change_id_of(value: bytes) -> str:
    """Return the change id of a stored drain."""
    return decode_drain(value).change_id


async def read_drains(store: ObjectStore) -> list[DrainMessage]:
    """Return the stored drains with their versions.

    Raises
    ------
    ObjectStoreError
        If the platform failed.
    """
    listing = await store.list(DRAIN_KIND)
    return [attrs.evolve(decode_drain(item.value), version=item.version) for item in listing.items]
