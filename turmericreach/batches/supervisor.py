"""What the coordinator does for all lots."""

import asyncio

from turmericreach.batches.handover import owner_subject
from turmericreach.batches.records import BatchRecord
from turmericreach.batches.registry import BatchRegistry
from turmericreach.coordination.messages import LotNotice
from turmericreach.coordination.peers import PeerTable
from turmericreach.metadata import MetadataError, StoredObject
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["LotSupervisor"]

CHECK_INTERVAL_S = 0.2
WRITE_TIMEOUT_S = 1.0
COLLECT_INTERVAL_S = 5.0
# Beyond a lot's lifetime, for clocks that differ.
COLLECT_MARGIN_S = 30.0


class LotSupervisor:
    """Tells owners of changes, gives lots of lost owners to others, removes old lots.

    Attributes
    ----------
    unheard : dict of tuple of str to BatchRecord
        Lots, by lot and host, whose present state a host has not been told.
    telling : dict of tuple of str to asyncio.Task
        Hosts that are being told.
    """

    def __init__(self, registry: BatchRegistry, peers: PeerTable, lifetime_s: float):
        self.registry = registry
        self.peers = peers
        self.lifetime_s = lifetime_s
        self.unheard: dict[tuple[str, str], BatchRecord] = {}
        self.telling: dict[tuple[str, str], asyncio.Task] = {}
        self.wakeup = asyncio.Event()

    def object_changed(self, object: StoredObject) -> None:
        """Take a lot's object and tell those whom it concerns."""
        former = self.registry.records.get(object.name)
        self.registry.object_changed(object)
        record = self.registry.records.get(object.name)
        if record is not None:
            self.note_unheard(record, former)

    def note_unheard(self, record: BatchRecord, former: BatchRecord | None) -> None:
        """Note that the owner, and those who may take themselves for it, must be told."""
        hosts = {record.owner}
        if former is not None:
            hosts.add(former.owner)
        if record.object is not None:
            hosts.add(record.object.spec["owner"])
        for host in hosts - {self.peers.host}:
            self.unheard[record.lot, host] = record
        self.wakeup.set()

    def object_removed(self, object: StoredObject) -> None:
        """Forget a lot."""
        for key in [key for key in self.unheard if key[0] == object.name]:
            del self.unheard[key]
        self.registry.object_removed(object)

    async def run(self) -> None:
        """Supervise until cancelled."""
        loop = asyncio.get_running_loop()
        collect_at = loop.time() + COLLECT_INTERVAL_S
        while True:
            self.tell_hosts()
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

    def tell_hosts(self) -> None:
        """Tell hosts of their lots, those who did not answer again.

        Each is told by a task of its own, so that one that does not answer delays no other.
        """
        loop = asyncio.get_running_loop()
        for key, record in list(self.unheard.items()):
            if key[1] not in self.peers.peers:
                del self.unheard[key]
                continue
            if key not in self.telling:
                self.telling[key] = loop.create_task(self.tell(key, record))

    async def tell(self, key: tuple[str, str], record: BatchRecord) -> None:
        """Tell a host the state of a lot."""
        try:
            told = await self.peers.tell(key[1], "/peer/lot", LotNotice(record.brief()))
        finally:
            del self.telling[key]
        if told and self.unheard.get(key) is record:
            del self.unheard[key]

    async def replace_owners(self) -> None:
        """Give the lots of owners that are gone to others."""
        writers = self.peers.writers()
        for record in list(self.registry.records.values()):
            if record.ended or record.object is None or record.owner in writers:
                continue
            successor = self.peers.owner_for(owner_subject(record.model))
            if successor is not None:
                await self.assign(record, successor)

    async def assign(self, record: BatchRecord, successor: str) -> None:
        """Give one lot to a host by a conditional write."""
        try:
            changed = await self.registry.write_status(
                record.lot, owner=successor, timeout_s=WRITE_TIMEOUT_S
            )
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=record.lot, reason=f"not given away: {error}")
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
        self.note_unheard(changed, record)

    async def collect(self) -> None:
        """Remove lots that nobody may read any more."""
        for record in list(self.registry.records.values()):
            if record.object is None:
                continue
            if record.age_s() < self.lifetime_s + COLLECT_MARGIN_S:
                continue
            if not record.ended and record.age_s() < 2 * self.lifetime_s:
                continue
            try:
                await self.registry.collect(record.lot)
            except MetadataError as error:
                log_event(events.BATCH_LEFT, lot=record.lot, reason=f"not removed: {error}")
                return
