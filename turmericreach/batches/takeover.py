"""Lots whose owner is gone, and lots that this process hands over."""

import asyncio

import attrs
import msgspec

from turmericreach.batches.model import Progress
from turmericreach.batches.records import BatchRecord
from turmericreach.batches.registry import BatchRegistry
from turmericreach.metadata import MetadataError
from turmericreach.node.peers import PeerTable
from turmericreach.placement.ownership import choose_successor
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["HandOver", "LotTakeover"]

CHECK_INTERVAL_S = 0.2
# An owner that has not answered for this long is replaced.
OWNER_SILENCE_S = 1.6
# An owner that the store has not answered for this long cannot list results.
OWNER_STORE_AGE_S = 3.0
# After its start a process first lets the owners answer.
START_PAUSE_S = 2.0
WRITE_TIMEOUT_S = 1.0
# A lot is given only to a process that the store has answered within this time.
SUCCESSOR_STORE_AGE_S = 1.4
# Without an answer from the store for this long, lots are given to processes that have one.
STORE_SILENCE_S = 1.2


@attrs.frozen
class HandOver:
    """A lot that another process is to run, with the text so far."""

    lot: str
    progress: dict[str, Progress]


class LotTakeover:
    """Takes over lots, and hands them over when this process stops or loses the store."""

    def __init__(self, registry: BatchRegistry, peers: PeerTable):
        self.registry = registry
        self.peers = peers

    async def run(self) -> None:
        """Look for lots that are in the wrong place, until cancelled."""
        started_at = asyncio.get_running_loop().time()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            if self.peers.leaving:
                continue
            if self.peers.client.in_contact():
                if now - started_at >= START_PAUSE_S:
                    await self.take_orphans(now)
            elif self.peers.client.contact_age_s() > STORE_SILENCE_S:
                await self.hand_over("the store does not answer here")

    # Taking

    async def take_orphans(self, now: float) -> None:
        """Take the lots whose owner is gone and whose successor this process is."""
        writers = self.peers.writers(now, OWNER_SILENCE_S, OWNER_STORE_AGE_S)
        for record in list(self.registry.records.values()):
            if record.ended or record.owner in writers:
                continue
            if choose_successor(record.lot, writers) == self.peers.host:
                await self.take(record.lot)

    async def take(self, lot: str) -> bool:
        """Become the owner of a lot by a conditional write; return whether it is owned now."""
        try:
            record = await self.registry.write_status(
                lot, owner=self.peers.host, timeout_s=WRITE_TIMEOUT_S
            )
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=lot, reason=f"not taken over: {error}")
            return False
        return record is not None and (record.owner == self.peers.host or record.ended)

    async def take_from_peer(self, message: HandOver) -> bool:
        """Take a lot that its owner hands over."""
        if self.peers.leaving or not self.peers.client.in_contact():
            return False
        self.registry.keep(message.progress)
        return await self.take(message.lot)

    # Giving

    async def hand_over(self, reason: str) -> None:
        """Give the lots that are run here to other processes, with their text so far."""
        now = asyncio.get_running_loop().time()
        writers = self.peers.writers(now, OWNER_SILENCE_S, SUCCESSOR_STORE_AGE_S)
        others = [host for host in writers if host != self.peers.host]
        if not others:
            return
        records = self.registry.owned()
        await asyncio.gather(*(self.give(record, others, reason) for record in records))

    async def give(self, record: BatchRecord, hosts: list[str], reason: str) -> None:
        """Give one lot to the first process that takes it; run it on here if none does."""
        lot = record.lot
        progress = self.registry.release(lot, reason)
        body = msgspec.json.encode(HandOver(lot, progress))
        left = list(hosts)
        while left:
            successor = choose_successor(lot, left)
            left.remove(successor)
            peer = self.peers.peers.get(successor)
            if peer is not None and await self.peers.tell(peer, "/peer/take", body):
                return
        self.registry.resume(lot)
