"""What the process does that holds the coordinator's duty."""

from turmericreach.batches.registry import BatchRegistry
from turmericreach.batches.supervisor import LotSupervisor
from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.names import LOTS_KIND
from turmericreach.coordination.peers import PeerTable
from turmericreach.metadata import KindMirror, MetadataClient
from turmericreach.node.supervision import TaskGroup
from turmericreach.platform import store as store_wire
from turmericreach.versions.converger import VersionConverger
from turmericreach.versions.retirement import Retirements

__all__ = ["Coordinator"]

# Kinds that only the coordinator follows; a change ends the wait.
WATCH_WAIT_S = 20.0


class Coordinator:
    """Supervises lots, orders versions and confirms retirements while the duty is held."""

    def __init__(
        self,
        duty: CoordinatorDuty,
        client: MetadataClient,
        registry: BatchRegistry,
        peers: PeerTable,
        converger: VersionConverger,
        lifetime_s: float,
    ):
        self.duty = duty
        self.client = client
        self.registry = registry
        self.peers = peers
        self.converger = converger
        self.lifetime_s = lifetime_s
        self.supervisor: LotSupervisor | None = None

    def set_result_lifetime(self, lifetime_s: float) -> None:
        """Set for how long results are kept after a lot's submission."""
        self.lifetime_s = lifetime_s
        if self.supervisor is not None:
            self.supervisor.lifetime_s = lifetime_s

    async def run(self) -> None:
        """Coordinate whenever the duty is held, until cancelled."""
        while True:
            await self.duty.acquired.wait()
            group = TaskGroup()
            try:
                self.start(group)
                await self.duty.released.wait()
            finally:
                group.stop()

    def start(self, group: TaskGroup) -> None:
        """Start the tasks of the duty."""
        supervisor = LotSupervisor(self.registry, self.peers, self.lifetime_s)
        self.supervisor = supervisor
        retirements = Retirements(self.duty, self.client)
        listeners = {
            LOTS_KIND: supervisor,
            store_wire.VERSIONS_KIND: self.converger,
            store_wire.RETIREMENTS_KIND: retirements,
        }
        for kind, listener in listeners.items():
            mirror = KindMirror(self.client, kind, listener, WATCH_WAIT_S)
            group.start(f"mirror of {kind}", mirror.run)
        group.start("lots", supervisor.run)
        group.start("versions", self.converger.run)
        group.start("retirements", retirements.run)
