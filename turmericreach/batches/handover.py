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
# Lots are read for two minutes after their submission; this is well beyond.
UNUSED_S = 600.0
# Without an answer from the store for this long, lots are given to processes that have one.
STORE_SILENCE_S = 1.2
# By so much another process's last answer from the store must be newer.
NEWER_CONTACT_S = 0.7


def owner_subject(model: str) -> str:
    """Return the subject by which the owner of a model's lots is chosen."""
    return f"model/{model}"


class LotHandOver:
    """Gives lots to other processes, and takes those that others give.

    Attributes
    ----------
    checked_at : float
        Return of the store after which the lots run here were last read again.
    """

    def __init__(self, registry: BatchRegistry, peers: PeerTable):
        self.registry = registry
        self.peers = peers
        self.checked_at = float("-inf")

    async def run(self) -> None:
        """Give lots away while the store answers only others, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.registry.forget_unused(UNUSED_S)
            if self.checked_at < self.peers.client.recovered_at:
                await self.check_lots()
            if self.peers.leaving or self.peers.client.responded_recently():
                continue
            if self.peers.client.last_response_age_s() > STORE_SILENCE_S:
                await self.give_all("the store does not answer here")

    async def check_lots(self) -> None:
        """Read the lots that are run here again: others may have taken them meanwhile."""
        recovered_at = self.peers.client.recovered_at
        try:
            for record in self.registry.owned():
                await self.registry.fetch(record.lot)
        except MetadataError:
            # The next round asks again; until then this process does not answer for its lots.
            return
        self.checked_at = recovered_at

    def is_checked(self) -> bool:
        """Return whether the lots run here have been read since the store was last away."""
        return self.checked_at >= self.peers.client.recovered_at

    async def give_all(self, reason: str) -> None:
        """Give the lots that are run here to other processes, with their text so far."""
        hosts = self.receivers()
        if not hosts:
            return
        records = self.registry.owned()
        await asyncio.gather(*(self.give(record, hosts, reason) for record in records))

    def receivers(self) -> dict[str, float]:
        """Return the hosts that can take lots, with their cores.

        A host must have been answered by the store after this one was: while the store is away
        for all, the lots stay where they run.
        """
        hosts = self.peers.writers(FRESH_STORE_AGE_S)
        hosts.pop(self.peers.host, None)
        last_response_at = self.peers.client.last_response_at
        found = {}
        for host, cores in hosts.items():
            newer_s = self.peers.last_contact_of(host) - last_response_at
            if self.peers.leaving or newer_s > NEWER_CONTACT_S:
                found[host] = cores
        return found

    async def give(self, record: BatchRecord, hosts: dict[str, float], reason: str) -> None:
        """Give one lot to the first process that takes it; it runs on here until one has."""
        lot = record.lot
        left = dict(hosts)
        while left:
            successor = choose_owner(owner_subject(record.model), left)
            del left[successor]
            message = HandOver(record, self.registry.progress_of(lot))
            if await self.peers.tell(successor, "/peer/take", message):
                self.registry.release(lot, reason)
                return
        # One of them may have taken it without a word.
        self.registry.check_owner(lot)

    async def take(self, message: HandOver) -> bool:
        """Take a lot that its owner hands over; return whether it is owned now."""
        if self.peers.leaving or not self.peers.client.responded_recently():
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
