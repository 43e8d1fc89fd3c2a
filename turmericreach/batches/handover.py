"""Handover of lots to other processes when this one stops or cannot reach the metadata store."""

import asyncio

from turmericreach.batches.records import BatchRecord
from turmericreach.batches.registry import BatchRegistry
from turmericreach.coordination.messages import HandOver
from turmericreach.coordination.peers import FRESH_STORE_AGE_S, PeerTable
from turmericreach.metadata import MetadataError
from turmericreach.placement.ownership import choose_owner
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["LotHandover", "owner_subject"]

CHECK_INTERVAL_S = 0.2
WRITE_TIMEOUT_S = 0.8
# Idle time after which a lot is evicted; callers read a lot for two minutes after its submission.
UNUSED_S = 600.0
# Without a response from the store for this long, lots are handed over to processes that get them.
STORE_SILENCE_S = 1.2
# The last store response of the receiving process must be newer than the own one by this much.
NEWER_CONTACT_S = 0.7


def owner_subject(model: str) -> str:
    """Return the key from which the owner of a model's lots is chosen."""
    return f"model/{model}"


class LotHandover:
    """Hands lots over to other processes and accepts lots from them.

    Attributes
    ----------
    confirmed_at : float
        Value of ``MetadataClient.regained_at`` when the lots that run here were last read again:
        the loop time in seconds at which the store had become available again.
    """

    def __init__(self, registry: BatchRegistry, peers: PeerTable):
        self.registry = registry
        self.peers = peers
        self.confirmed_at = float("-inf")

    async def run(self) -> None:
        """Hand lots over while the store is available to other processes only, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.registry.evict_unused(UNUSED_S)
            if self.confirmed_at < self.peers.client.recovered_at:
                await self.confirm_ownership()
            if self.peers.leaving or self.peers.client.responded_recently():
                continue
            if self.peers.client.last_response_age_s() > STORE_SILENCE_S:
                await self.hand_over_all("the metadata store is unavailable to this host")

    async def confirm_ownership(self) -> None:
        """Read the lots that run here again after an outage of the store.

        Another process may have taken them over in the meantime.
        """
        recovered_at = self.peers.client.recovered_at
        try:
            for record in self.registry.owned_records():
                await self.registry.fetch(record.lot)
        except MetadataError:
            # Retried in the next round; until then this process does not serve results of its lots.
            return
        self.confirmed_at = recovered_at

    def is_ownership_confirmed(self) -> bool:
        """Return whether the lots that run here were read since the last outage of the store."""
        return self.confirmed_at >= self.peers.client.recovered_at

    async def hand_over_all(self, reason: str) -> None:
        """Hand the lots that run here over to other processes, with the text generated so far."""
        hosts = self.eligible_hosts()
        if not hosts:
            return
        records = self.registry.owned_records()
        await asyncio.gather(*(self.hand_over(record, hosts, reason) for record in records))

    def eligible_hosts(self) -> dict[str, float]:
        """Return the hosts that can accept lots, with their processor cores.

        Unless this process is stopping, the store must have responded to the host more recently
        than to this process: while the store is unavailable to all, lots stay where they run.
        """
        hosts = self.peers.writers(FRESH_STORE_AGE_S)
        hosts.pop(self.peers.host, None)
        last_response_at = self.peers.client.last_response_at
        found = {}
        for host, cores in hosts.items():
            newer_s = self.peers.last_store_contact_at(host) - last_response_at
            if self.peers.leaving or newer_s > NEWER_CONTACT_S:
                found[host] = cores
        return found

    async def hand_over(self, record: BatchRecord, hosts: dict[str, float], reason: str) -> None:
        """Hand a lot over to the first process that accepts it; it runs here until then."""
        lot = record.lot
        candidates = dict(hosts)
        while candidates:
            successor = choose_owner(owner_subject(record.model), candidates)
            del candidates[successor]
            message = HandOver(record, self.registry.progress_of(lot))
            if await self.peers.send(successor, "/peer/take", message):
                self.registry.release(lot, reason)
                return
        # One of them may have accepted it and its response may have been lost.
        self.registry.check_owner(lot)

    async def accept_lot(self, message: HandOver) -> bool:
        """Accept a lot that its owner hands over; return whether this host owns it, or it ended."""
        if self.peers.leaving or not self.peers.client.responded_recently():
            return False
        lot = message.record.lot
        self.registry.cache_progress(message.progress)
        self.registry.apply_record(message.record)
        try:
            record = await self.registry.write_status(
                lot, owner=self.peers.host, timeout_s=WRITE_TIMEOUT_S
            )
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=lot, reason=f"handover not accepted: {error}")
            return False
        return record is not None and (record.owner == self.peers.host or record.ended)
