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
    unheard : dict of str to BatchRecord
        Lots whose owner has not been told their present state.
    """

    def __init__(self, registry: BatchRegistry, peers: PeerTable, lifetime_s: float):
        self.registry = registry
        self.peers = peers
        self.lifetime_s = lifetime_s
        self.unheard: dict[str, BatchRecord] = {}
        self.wakeup = asyncio.Event()

    def object_changed(self, object: StoredObject) -> None:
        """Take a lot's object and tell its owner."""
        self.registry.object_changed(object)
        record = self.registry.records.get(object.name)
        if record is None or record.owner == self.peers.host:
            return
        self.unheard[record.lot] = record
        self.wakeup.set()

    def object_removed(self, object: StoredObject) -> None:
        """Forget a lot."""
        self.unheard.pop(object.name, None)
        self.registry.object_removed(object)

    async def run(self) -> None:
        """Supervise until cancelled."""
        loop = asyncio.get_running_loop()
        collect_at = loop.time() + COLLECT_INTERVAL_S
        while True:
            await self.tell_owners()
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

    async def tell_owners(self) -> None:
        """Tell owners of their lots, those who did not answer again."""
        pending = list(self.unheard.values())
        await asyncio.gather(*(self.notify(record, record.owner) for record in pending))

    async def notify(self, record: BatchRecord, host: str) -> None:
        """Tell a host the state of a lot."""
        told = await self.peers.tell(host, "/peer/lot", LotNotice(record.brief()))
        current = self.unheard.get(record.lot)
        if told and current is not None and current.revision == record.revision:
            del self.unheard[record.lot]

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
        if changed.owner != self.peers.host:
            self.unheard[record.lot] = changed
            await self.notify(changed, changed.owner)

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
