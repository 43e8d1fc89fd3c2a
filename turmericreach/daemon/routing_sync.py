"""Carries what the member table and the manifest say over to the routing table."""

import attrs

from turmericreach.daemon.node import Node
from turmericreach.lots import EngineState, EngineView
from turmericreach.membership import MemberRecord, TargetStatus
from turmericreach.routing import LoadReport, RoutingTable, TargetState, rollout_capacity
from turmericreach.rpc import PeerClient, PeerUnreachable

__all__ = ["AgentPeers", "RoutingSync"]

STATES = {
    "live": TargetState.LIVE,
    "leaving": TargetState.LEAVING,
    "stopped": TargetState.LEAVING,
    "drained": TargetState.LEAVING,
    "suspect": TargetState.SUSPECT,
    "down": TargetState.SUSPECT,
    "gone": TargetState.GONE,
}


@attrs.define
class Applied:
    """What was last carried over of one member."""

    record: MemberRecord
    state: str


class RoutingSync:
    """Keeps a `RoutingTable` current.

    Parameters
    ----------
    node : Node
    table : RoutingTable
    """

    def __init__(self, node: Node, table: RoutingTable):
        self.node = node
        self.table = table
        self.applied: dict[str, Applied] = {}

    def configure(self) -> None:
        """Take over the manifest in force."""
        manifest = self.node.manifest
        self.table.configure(manifest.services, manifest.targets, manifest.data_centres)
        self.applied.clear()
        self.update()

    def update(self) -> None:
        """Take over changed member records and states; called a few times a second."""
        now = self.node.now()
        members = self.node.members
        members.tick(now)
        for name, record in members.records.items():
            state = members.member_state(name)
            known = self.applied.get(name)
            if known is not None and known.record is record and known.state == state:
                continue
            self.applied[name] = Applied(record, state)
            self.apply(record, state, now)
        for name in list(self.applied.keys() - members.records.keys()):
            self.drop(self.applied.pop(name), now)

    def apply(self, record: MemberRecord, state: str, now: float) -> None:
        """Take over one member's targets."""
        for status in record.targets:
            if not self.is_holder(record, status):
                continue
            target_state = self.state_of(status, state)
            report = LoadReport(
                target=status.name,
                state=target_state,
                version=status.version,
                running=status.running,
                waiting=status.waiting,
                slots=status.slots,
                reported_at=now,
            )
            self.table.apply_report(report, now)
            self.table.set_state(status.name, target_state, now)

    def is_holder(self, record: MemberRecord, status: TargetStatus) -> bool:
        """Return whether this member is the one that serves the target now."""
        holder = self.node.members.holder_of(status.name, self.node.now())
        return holder is not None and holder.name == record.name

    def state_of(self, status: TargetStatus, member_state: str) -> TargetState:
        """Return the state of a target from its own and its member's."""
        if member_state != "live":
            return STATES.get(member_state, TargetState.SUSPECT)
        spec = self.node.targets.get(status.name)
        if status.drained or (spec is not None and spec.drain):
            return TargetState.LEAVING
        return TargetState.LIVE if status.state == "up" else TargetState.SUSPECT

    def drop(self, applied: Applied, now: float) -> None:
        """Mark the targets of a removed member as gone, unless another member has them."""
        for status in applied.record.targets:
            if self.node.members.holder_of(status.name, now) is None:
                self.table.set_state(status.name, TargetState.GONE, now)

    def engine_view(self, service: str, share: float, outstanding: int) -> EngineView:
        """Return the engines of a service with the rollouts that a lot may start on them.

        Parameters
        ----------
        share : float
            The trainer's share of the engines, 0 to 1. A lot may always have as many rollouts
            in flight as its share, however much other lots have queued.
        outstanding : int
            Rollouts that the lot has in flight.
        """
        return EngineView(
            [
                EngineState(room.target, room.version, room.free, room.speed)
                for room in rollout_capacity(self.table, service, share, outstanding)
            ]
        )


class AgentPeers:
    """Connections to the agents beside targets.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node: Node):
        self.node = node

    def address_of(self, target: str) -> str:
        """Return the address of a target's agent.

        Raises
        ------
        PeerUnreachable
            If no address is known.
        """
        holder = self.node.members.holder_of(target, self.node.now())
        if holder is not None:
            return holder.address
        spec = self.node.targets.get(target)
        if spec is None:
            raise PeerUnreachable(f"no agent is known for {target}")
        return spec.agent

    async def connect_agent(self, target: str) -> PeerClient:
        """Return a connection to the agent beside a target."""
        return await self.node.peers.get(self.address_of(target))

    def disconnect_agent(self, target: str) -> None:
        """Close the connection to the agent beside a target."""
        try:
            self.node.peers.drop(self.address_of(target))
        except PeerUnreachable:
            return
