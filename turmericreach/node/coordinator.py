"""Tasks of the process that holds the coordinator duty."""

import asyncio

from turmericreach.batches.registry import BatchRegistry
from turmericreach.batches.supervisor import LotSupervisor
from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.names import LOTS_KIND
from turmericreach.coordination.peers import PeerTable
from turmericreach.metadata import KindMirror, MetadataClient, MetadataError
from turmericreach.node.supervision import TaskSupervisor
from turmericreach.node.usage_reports import UsageReporter
from turmericreach.platform import store as store_wire
from turmericreach.versions.converger import VersionConverger
from turmericreach.versions.retirement import Retirements

__all__ = ["Coordinator"]

# Timeout of watches on kinds that only the coordinator watches; a change ends the wait earlier.
WATCH_WAIT_S = 20.0
# Interval of the reads that show whether one of these watches has stalled, since no other process
# could report a change that it misses.
WATCH_CHECK_INTERVAL_S = 2.0
# Interval of comparing the watch on lots with what the processes have reported, without a call.
LOTS_CHECK_INTERVAL_S = 0.2
# Kinds whose watches are checked by a read. Lots are large, and are reported by the processes that
# store or read them.
CHECKED_KINDS = (store_wire.VERSIONS_KIND, store_wire.RETIREMENTS_KIND)


class Coordinator:
    """Supervises lots, orders model versions and confirms retirements while the duty is held.

    Attributes
    ----------
    lifetime_s : float
        Time after its submission for which a lot's results are kept.
    supervisor : LotSupervisor or None
        Supervisor of the latest term of the duty, None before the first one.
    usage_reporter : UsageReporter or None
        Reports the requests of each tenant, None if they are not reported.
    """

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
        self.usage_reporter: UsageReporter | None = None

    def set_result_lifetime(self, lifetime_s: float) -> None:
        """Set the time in seconds for which results are kept after a lot's submission."""
        self.lifetime_s = lifetime_s
        if self.supervisor is not None:
            self.supervisor.lifetime_s = lifetime_s

    async def run(self) -> None:
        """Run the coordinator's tasks whenever the duty is held, until cancelled."""
        while True:
            await self.duty.acquired.wait()
            tasks = TaskSupervisor()
            try:
                self.start(tasks)
                await self.duty.released.wait()
            finally:
                tasks.stop()

    def start(self, tasks: TaskSupervisor) -> None:
        """Start the watches and tasks of one term of the duty."""
        for mirror in self.peers.mirrors.values():
            # Followers use these mirrors only if each watch confirms them often, and a watch that
            # was started as a follower waits too long.
            mirror.restart_watch()
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
            tasks.start(f"mirror of {kind}", mirror.run)
            if kind == LOTS_KIND:
                tasks.start(f"check of {kind}", lambda mirror=mirror: self.check_lots(mirror))
            if kind in CHECKED_KINDS:
                tasks.start(f"check of {kind}", lambda mirror=mirror: self.check_watch(mirror))
        tasks.start("lots", supervisor.run)
        tasks.start("versions", self.converger.run)
        tasks.start("retirements", retirements.run)
        if self.usage_reporter is not None:
            tasks.start("usage reports", self.usage_reporter.run)

    async def check_lots(self, mirror: KindMirror) -> None:
        """Restart the watch on lots if it has missed one that any process knows, until cancelled.

        A lot that only a stalled watch would report is not reassigned if its owner is lost.
        """
        while True:
            await asyncio.sleep(LOTS_CHECK_INTERVAL_S)
            mirror.check_for_missed_change(self.peers.newest_seen(LOTS_KIND))

    async def check_watch(self, mirror: KindMirror) -> None:
        """Restart a watch that has missed a change, until cancelled.

        Load pattern: trainers name a version every few seconds. If the watch has stalled, engines
        would keep their old weights until it times out. A read that may be stale costs a tenth of
        the price of a watch.
        """
        while True:
            await asyncio.sleep(WATCH_CHECK_INTERVAL_S)
            try:
                revision = await self.client.newest_revision(mirror.kind)
            except MetadataError:
                # The client logs that the store is unavailable; its watches end by themselves.
                continue
            mirror.check_for_missed_change(revision)
