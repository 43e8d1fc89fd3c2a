"""Tasks of the coordinator for all lots."""

import asyncio

from turmericreach.batches.handover import owner_subject
from turmericreach.batches.records import BatchRecord
from turmericreach.batches.registry import BatchRegistry
from turmericreach.coordination.messages import LotNotice
from turmericreach.coordination.peers import PeerTable
from turmericreach.metadata import MetadataError, StoredObject
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.unexpected import log_unexpected

__all__ = ["LotSupervisor"]

CHECK_INTERVAL_S = 0.2
WRITE_TIMEOUT_S = 1.0
COLLECT_INTERVAL_S = 5.0
# Added to a lot's lifetime to allow for clock differences between hosts.
COLLECT_MARGIN_S = 30.0
# A lot that no trainer has ended is kept for this long, or twice its lifetime if that is longer.
OPEN_LIFETIME_S = 86_400.0


class LotSupervisor:
    """Notifies owners of changes, reassigns the lots of lost owners, removes expired lots.

    Attributes
    ----------
    unsent : dict of tuple of str to BatchRecord
        Current record of a lot by lot and host, for each host that has not yet acknowledged it.
    sending : dict of tuple of str to asyncio.Task
        Notifications that are being sent, by lot and host.
    lifetime_s : float
        Seconds from the submission of a lot for which its results are kept.
    """

    def __init__(self, registry: BatchRegistry, peers: PeerTable, lifetime_s: float):
        self.registry = registry
        self.peers = peers
        self.lifetime_s = lifetime_s
        self.unsent: dict[tuple[str, str], BatchRecord] = {}
        self.sending: dict[tuple[str, str], asyncio.Task] = {}
        self.wakeup = asyncio.Event()

    def object_changed(self, object: StoredObject) -> None:
        """Apply a changed lot and notify the hosts concerned."""
        former = self.registry.records.get(object.name)
        self.registry.object_changed(object)
        record = self.registry.records.get(object.name)
        if record is not None:
            self.queue_notifications(record, former)

    def queue_notifications(self, record: BatchRecord, former: BatchRecord | None) -> None:
        """Queue notifications to the owner and to hosts that may believe that they own the lot."""
        hosts = {record.owner}
        if former is not None:
            hosts.add(former.owner)
        if record.object is not None:
            hosts.add(record.object.spec["owner"])
        for host in hosts - {self.peers.host}:
            self.unsent[record.lot, host] = record
        self.wakeup.set()

    def object_removed(self, object: StoredObject) -> None:
        """Remove a lot and its queued notifications."""
        for key in [key for key in self.unsent if key[0] == object.name]:
            del self.unsent[key]
        self.registry.object_removed(object)

    async def run(self) -> None:
        """Supervise until cancelled."""
        loop = asyncio.get_running_loop()
        collect_at = loop.time() + COLLECT_INTERVAL_S
        while True:
            self.send_notifications()
            await self.replace_owners()
            if loop.time() >= collect_at:
                collect_at = loop.time() + COLLECT_INTERVAL_S
                await self.collect()
            self.wakeup.clear()
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.wakeup.wait()
            except TimeoutError:
                continue

    def send_notifications(self) -> None:
        """Send the queued notifications, again to hosts that did not respond before.

        Each is sent by its own task, so that a host that does not respond delays no other.
        """
        loop = asyncio.get_running_loop()
        for key, record in list(self.unsent.items()):
            if key[1] not in self.peers.peers:
                del self.unsent[key]
                continue
            if key not in self.sending:
                self.sending[key] = loop.create_task(self.notify(key, record))

    async def notify(self, key: tuple[str, str], record: BatchRecord) -> None:
        """Send a host the state of a lot."""
        try:
            delivered = await self.peers.send(
                key[1], "/peer/lot", LotNotice(record.without_object())
            )
        finally:
            del self.sending[key]
        if delivered and self.unsent.get(key) is record:
            del self.unsent[key]

    async def replace_owners(self) -> None:
        """Reassign the lots of owners that are unreachable, stopping, or cut off from the store.

        After a time in which this process did not run, nothing is known of the others yet, and
        another one may have become the coordinator.
        """
        if self.peers.is_stalled():
            return
        writers = self.peers.writers()
        for record in list(self.registry.records.values()):
            if record.ended or record.object is None or record.owner in writers:
                continue
            try:
                successor = self.peers.owner_for(owner_subject(record.model))
                if successor is not None:
                    await self.assign(record, successor)
            except Exception as error:
                log_unexpected("reassignment", record.lot, error)

    async def assign(self, record: BatchRecord, successor: str) -> None:
        """Assign a lot to a host by a conditional write."""
        try:
            changed = await self.registry.write_status(
                record.lot, owner=successor, timeout_s=WRITE_TIMEOUT_S
            )
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=record.lot, reason=f"not reassigned: {error}")
            return
        if changed is None:
            return
        log_event(
            events.BATCH_REASSIGNED,
            lot=record.lot,
            owner=changed.owner,
            former=record.owner,
            revision=changed.revision,
        )
        self.queue_notifications(changed, record)

    async def collect(self) -> None:
        """Remove lots whose lifetime is over; lots that have not ended are kept for a day."""
        for record in list(self.registry.records.values()):
            if record.object is None:
                continue
            if record.age_s() < self.lifetime_s + COLLECT_MARGIN_S:
                continue
            if not record.ended and record.age_s() < max(2 * self.lifetime_s, OPEN_LIFETIME_S):
                continue
            try:
                await self.registry.collect(record.lot)
            except MetadataError as error:
                log_event(events.BATCH_LEFT, lot=record.lot, reason=f"not removed: {error}")
                return
            except Exception as error:
                log_unexpected("removal of a lot", record.lot, error)
