"""Lots whose owner is gone, and lots that this process hands over."""

import asyncio

import msgspec

from turmericreach.batches.records import BatchRecord
from turmericreach.batches.registry import BatchRegistry
from turmericreach.metadata import MetadataError
from turmericreach.node.peers import PeerTable
from turmericreach.placement.ownership import choose_successor
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["LotTakeover"]

CHECK_INTERVAL_S = 0.25
# An owner that has not answered for this long is replaced.
OWNER_SILENCE_S = 1.6
# An owner that the store has not answered for this long cannot list results.
OWNER_STORE_AGE_S = 2.5
# After its start a process first lets the owners answer.
START_PAUSE_S = 2.0
WRITE_TIMEOUT_S = 1.0


class LotTakeover:
    """Takes over lots, and hands them over when this process stops."""

    def __init__(self, registry: BatchRegistry, peers: PeerTable):
        self.registry = registry
        self.peers = peers

    async def run(self) -> None:
        """Look for lots without an owner, until cancelled."""
        await asyncio.sleep(START_PAUSE_S)
        while True:
            if not self.peers.leaving and self.peers.client.in_contact():
                for record in self.orphans(asyncio.get_running_loop().time()):
                    await self.take(record)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def orphans(self, now: float) -> list[BatchRecord]:
        """Return the lots that this process is to take over."""
        writers = self.peers.writers(now, OWNER_SILENCE_S, OWNER_STORE_AGE_S)
        found = []
        for record in list(self.registry.records.values()):
            if record.ended or record.owner in writers:
                continue
            if choose_successor(record.lot, writers) == self.peers.host:
                found.append(record)
        return found

    async def take(self, record: BatchRecord) -> None:
        """Become the owner of a lot by a conditional write."""
        try:
            await self.registry.write_status(
                record.lot, owner=self.peers.host, timeout_s=WRITE_TIMEOUT_S
            )
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=record.lot, reason=f"not taken over: {error}")

    async def hand_over(self) -> None:
        """Give the lots that are run here to other processes, with their text so far."""
        records = self.registry.owned()
        self.registry.leaving = True
        await asyncio.gather(*(self.give(record) for record in records))

    async def give(self, record: BatchRecord) -> None:
        """Give one lot to another process."""
        now = asyncio.get_running_loop().time()
        writers = self.peers.writers(now, OWNER_SILENCE_S, OWNER_STORE_AGE_S)
        others = [host for host in writers if host != self.peers.host]
        successor = choose_successor(record.lot, others)
        run = self.registry.scheduler.runs.get(record.lot)
        if successor is None or run is None:
            return
        progress = run.progress_so_far()
        run.stop(f"handed over to {successor}")
        peer = self.peers.peers[successor]
        await self.peers.tell(peer, "/peer/progress", msgspec.json.encode(progress))
        try:
            await self.registry.write_status(record.lot, owner=successor, timeout_s=WRITE_TIMEOUT_S)
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=record.lot, reason=f"not handed over: {error}")
