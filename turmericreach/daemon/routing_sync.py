"""Updates of the routing table from the member table and the manifest."""

import attrs

from turmericreach.daemon.crash_watch import merge_crashes
from turmericreach.daemon.node import Node
from turmericreach.lots import EngineState, EngineView
from turmericreach.membership import MemberRecord, TargetStatus
from turmericreach.routing import LoadReport, RoutingTable, TargetState, rollout_capacity
from turmericreach.rpc import PeerClient, PeerUnreachable
from turmericreach.sharing import CrashTable

__all__ = ["AgentPeers", "RoutingSync"]

# Routing state of a target by the state of its member or its own state.
TARGET_STATES = {
    "live": TargetState.LIVE,
    "leaving": TargetState.LEAVING,
    "stopped": TargetState.LEAVING,
    "drained": TargetState.LEAVING,
    "suspect": TargetState.SUSPECT,
    "down": TargetState.SUSPECT,
    "gone": TargetState.GONE,
}


@attrs.define
class AppliedMember:
    """Record and state of one member that were last applied to the routing table.

    Attributes
    ----------
    record : MemberRecord
        The member record.
    state : str
        State of the member, a key of `TARGET_STATES`.
    """

    record: MemberRecord
    state: str


class RoutingSync:
    """Keeps a `RoutingTable` current.

    Parameters
    ----------
    node : Node
        Source of the members and the manifest.
    table : RoutingTable
        The table to update.
    crashes : CrashTable
        Requests under which targets have ended, as their agents report.
    """

    def __init__(self, node: Node, table: RoutingTable, crashes: CrashTable):
        self.node = node
        self.table = table
        self.crashes = crashes
        self.applied: dict[str, AppliedMember] = {}

    def configure(self) -> None:
        """Apply the manifest in force and all member records."""
        manifest = self.node.manifest
        self.table.configure(manifest.services, manifest.targets, manifest.data_centres)
        self.applied.clear()
        self.update()

    def update(self) -> None:
        """Apply changed member records and states; called a few times a second."""
        now = self.node.now()
        members = self.node.members
        members.tick(now)
        for name, record in members.records.items():
            state = members.member_state(name)
            last = self.applied.get(name)
            if last is not None and last.record is record and last.state == state:
                continue
            self.applied[name] = AppliedMember(record, state)
            self.apply_member(record, state, now)
        for name in list(self.applied.keys() - members.records.keys()):
            self.remove_member(self.applied.pop(name), now)

    def apply_member(self, record: MemberRecord, state: str, now: float) -> None:
        """Apply the status of the targets that a member serves."""
        for status in record.targets:
            merge_crashes(self.crashes, status.crashed, now)
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
        """Return whether this member serves the target now."""
        holder = self.node.members.holder_of(status.name, self.node.now())
        return holder is not None and holder.name == record.name

    def state_of(self, status: TargetStatus, member_state: str) -> TargetState:
        """Return the routing state of a target from its status and its member's state."""
        if member_state != "live":
            return TARGET_STATES.get(member_state, TargetState.SUSPECT)
        spec = self.node.targets.get(status.name)
        if status.drained or (spec is not None and spec.drain):
            return TargetState.LEAVING
        return TargetState.LIVE if status.state == "up" else TargetState.SUSPECT

    def remove_member(self, applied: AppliedMember, now: float) -> None:
        """Set the targets of a removed member to gone, unless another member serves them."""
        for status in applied.record.targets:
            if self.node.members.holder_of(status.name, now) is None:
                self.table.set_state(status.name, TargetState.GONE, now)

    def engine_view(self, service: str, share: float, outstanding: int) -> EngineView:
        """Return the engines of a service with the rollouts that a lot may start on them.

        Parameters
        ----------
        service : str
            Name of the service.
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
    """Connections to the agents of targets.

    Parameters
    ----------
    node : Node
        Source of the addresses and connections.
    """

    def __init__(self, node: Node):
        self.node = node

    def address_of(self, target: str) -> str:
        """Return the address of a target's agent, preferably of the member that serves it now.

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
        """Return a connection to the agent of a target.

        Raises
        ------
        PeerError
            If no address is known or the agent cannot be reached.
        """
        return await self.node.peers.get(self.address_of(target))

    def disconnect_agent(self, target: str) -> None:
        """Close the connection to the agent of a target, if there is one."""
        try:
            self.node.peers.evict(self.address_of(target))
        except PeerUnreachable:
            return
