"""Lots that this process gives to others when it stops or loses the store."""

import asyncio

from turmericreach.batches.records import BatchRecord
from turmericreach.batches.registry import BatchRegistry
from turmericreach.coordination.messages import HandOver
from turmericreach.coordination.peers import FRESH_STORE_AGE_S, PeerTable
from turmericreach.metadata import MetadataError
from turmericreach.placement.ownership import choose_owner
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["LotHandOver", "owner_subject"]

CHECK_INTERVAL_S = 0.2
WRITE_TIMEOUT_S = 0.8
# Without an answer from the store for this long, lots are given to processes that have one.
STORE_SILENCE_S = 1.2


def owner_subject(model: str) -> str:
    """Return the subject by which the owner of a model's lots is chosen."""
    return f"model/{model}"


class LotHandOver:
    """Gives lots to other processes, and takes those that others give."""

    def __init__(self, registry: BatchRegistry, peers: PeerTable):
        self.registry = registry
        self.peers = peers

    async def run(self) -> None:
        """Give lots away while the store answers only others, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.peers.leaving or self.peers.client.in_contact():
                continue
            if self.peers.client.contact_age_s() > STORE_SILENCE_S:
                await self.give_all("the store does not answer here")

    async def give_all(self, reason: str) -> None:
        """Give the lots that are run here to other processes, with their text so far."""
        hosts = self.peers.writers(FRESH_STORE_AGE_S)
        hosts.pop(self.peers.host, None)
        if not hosts:
            return
        records = self.registry.owned()
        await asyncio.gather(*(self.give(record, hosts, reason) for record in records))

    async def give(self, record: BatchRecord, hosts: dict[str, float], reason: str) -> None:
        """Give one lot to the first process that takes it; run it on here if none does."""
        progress = self.registry.release(record.lot, reason)
        message = HandOver(record, progress)
        left = dict(hosts)
        while left:
            successor = choose_owner(owner_subject(record.model), left)
            del left[successor]
            if await self.peers.tell(successor, "/peer/take", message):
                return
        self.registry.resume(record.lot)

    async def take(self, message: HandOver) -> bool:
        """Take a lot that its owner hands over; return whether it is owned now."""
        if self.peers.leaving or not self.peers.client.in_contact():
            return False
        lot = message.record.lot
        self.registry.keep(message.progress)
        self.registry.take_record(message.record)
        try:
            record = await self.registry.write_status(
                lot, owner=self.peers.host, timeout_s=WRITE_TIMEOUT_S
            )
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=lot, reason=f"not taken over: {error}")
            return False
        return record is not None and (record.owner == self.peers.host or record.ended)
