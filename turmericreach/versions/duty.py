"""Which process gives orders: one holder with a rising fencing token."""

import asyncio

from turmericreach.batches.records import OWN_KIND
from turmericreach.metadata import Conflict, MetadataClient, MetadataError, StoredObject
from turmericreach.node.peers import PeerTable
from turmericreach.placement.ownership import choose_successor
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["DUTY_NAME", "OrderDuty"]

DUTY_NAME = "duty.orders"
CHECK_INTERVAL_S = 0.25
# A holder that has not answered for this long is replaced.
HOLDER_SILENCE_S = 1.6
# A holder that the store has not answered for this long is replaced.
HOLDER_STORE_AGE_S = 2.5
# After its start a process first lets the holder answer.
START_PAUSE_S = 2.0
# Beyond the lease, for the time that an order takes to reach its target.
LEASE_MARGIN_S = 0.2
VERIFY_TIMEOUT_S = 0.5


class OrderDuty:
    """Holds the duty to give orders, or watches who does.

    The fencing token is the revision of the write that took the duty, so it rises with each
    holder. A new holder waits until the lease of the former one has run out; each batch of orders
    is preceded by a current read that shows that the duty is still held.

    Attributes
    ----------
    token : int or None
        Fencing token while the duty is held.
    first_order_at : float
        Loop time from which orders may be given.
    """

    def __init__(self, host: str, incarnation: str, client: MetadataClient, peers: PeerTable):
        self.host = host
        self.incarnation = incarnation
        self.client = client
        self.peers = peers
        self.lease_s = 3.0
        self.current: StoredObject | None = None
        self.synced = asyncio.Event()
        self.token: int | None = None
        self.first_order_at = 0.0
        self.started_at = asyncio.get_running_loop().time()

    def object_changed(self, object: StoredObject) -> None:
        """Take the holder's entry."""
        if object.name != DUTY_NAME:
            return
        if self.current is not None and self.current.revision >= object.revision:
            return
        self.current = object
        if self.token is not None and object.revision != self.token:
            self.drop(f"held by {self.holder()}")

    def holder(self) -> str | None:
        """Return the host that holds the duty."""
        return None if self.current is None else self.current.spec.get("holder")

    def drop(self, reason: str) -> None:
        """Give no more orders."""
        if self.token is None:
            return
        self.token = None
        log_event(events.DUTY_LOST, reason=reason)

    async def run(self) -> None:
        """Take the duty when its holder is gone, until cancelled."""
        await self.synced.wait()
        while True:
            reason = self.reason_to_take(asyncio.get_running_loop().time())
            if reason:
                await self.take(reason)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def reason_to_take(self, now: float) -> str:
        """Return why this process takes the duty now, empty if it does not."""
        if self.peers.leaving or not self.client.in_contact():
            return ""
        holder = self.holder()
        if holder == self.host:
            mine = self.current.spec.get("incarnation") == self.incarnation
            return "" if mine else "restarted"
        if now - self.started_at < START_PAUSE_S:
            return ""
        writers = self.peers.writers(now, HOLDER_SILENCE_S, HOLDER_STORE_AGE_S)
        if holder in writers:
            return ""
        if choose_successor(DUTY_NAME, writers) != self.host:
            return ""
        return "there is no holder" if holder is None else "the holder is gone"

    async def take(self, reason: str) -> None:
        """Become the holder by a conditional write."""
        spec = {"holder": self.host, "incarnation": self.incarnation}
        loop = asyncio.get_running_loop()
        former, former_object = self.holder(), self.current
        try:
            if former_object is None:
                object = await self.client.create(OWN_KIND, DUTY_NAME, spec, loop.time())
            else:
                object = await self.client.replace(
                    OWN_KIND, DUTY_NAME, spec, former_object.revision, loop.time()
                )
        except Conflict as conflict:
            if conflict.current is not None:
                self.object_changed(conflict.current)
            return
        except MetadataError:
            return
        self.current = object
        self.token = object.revision
        pause_s = self.lease_s + LEASE_MARGIN_S if former not in (None, self.host) else 0.0
        self.first_order_at = loop.time() + pause_s
        log_event(
            events.DUTY_TAKEN,
            fencing=self.token,
            former=former,
            reason=reason,
            first_order_in_s=pause_s,
        )

    async def verified_token(self) -> int | None:
        """Return the fencing token if the store shows now that the duty is held."""
        loop = asyncio.get_running_loop()
        if self.token is None or loop.time() < self.first_order_at:
            return None
        try:
            async with asyncio.timeout(VERIFY_TIMEOUT_S):
                object = await self.client.get(OWN_KIND, DUTY_NAME)
        except (MetadataError, TimeoutError):
            return None
        if object is not None:
            self.object_changed(object)
        return self.token
