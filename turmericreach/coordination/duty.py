"""Which process coordinates: one holder with a rising fencing number."""

import asyncio

from turmericreach.coordination.names import DUTY_NAME, OWN_KIND
from turmericreach.coordination.peers import COORDINATOR_STORE_AGE_S, PeerTable
from turmericreach.metadata import Conflict, MetadataClient, MetadataError, StoredObject
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["CoordinatorDuty"]

CHECK_INTERVAL_S = 0.2
# After its start a process first lets the holder answer.
START_PAUSE_S = 1.6
# Beyond the lease, for the time that an order takes to reach its target.
LEASE_MARGIN_S = 0.2
VERIFY_TIMEOUT_S = 0.5


class CoordinatorDuty:
    """Holds the duty to coordinate, or watches who does.

    The fencing number is the revision of the write that took the duty, so it rises with each
    holder. A new holder waits with orders until the lease of the former one has run out; each
    batch of orders is preceded by a current read that shows that the duty is still held.

    Attributes
    ----------
    token : int or None
        Fencing number while the duty is held.
    first_order_at : float
        Loop time from which orders may be given.
    taken, dropped : asyncio.Event
        Set while the duty is held, and while it is not.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        lease_s: float,
        client: MetadataClient,
        peers: PeerTable,
    ):
        self.host = host
        self.incarnation = incarnation
        self.lease_s = lease_s
        self.client = client
        self.peers = peers
        self.current: StoredObject | None = None
        self.token: int | None = None
        self.taken = asyncio.Event()
        self.dropped = asyncio.Event()
        self.first_order_at = 0.0
        self.started_at = asyncio.get_running_loop().time()

    def object_changed(self, object: StoredObject) -> None:
        """Take the holder's entry."""
        if self.current is not None and self.current.revision >= object.revision:
            return
        self.current = object
        self.peers.coordinator = self.holder()
        if self.token is not None and object.revision != self.token:
            self.drop(f"held by {self.holder()}")

    def holder(self) -> str | None:
        """Return the host that holds the duty."""
        if self.current is None or not isinstance(self.current.spec, dict):
            return None
        return self.current.spec.get("holder")

    def drop(self, reason: str) -> None:
        """Coordinate no more."""
        if self.token is None:
            return
        self.token = None
        self.taken.clear()
        self.dropped.set()
        log_event(events.DUTY_LOST, reason=reason)

    async def run(self) -> None:
        """Take the duty when its holder is gone, until cancelled."""
        while True:
            reason = self.reason_to_take()
            if reason:
                await self.take(reason)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def reason_to_take(self) -> str:
        """Return why this process takes the duty now, empty if it does not."""
        if self.peers.leaving or not self.client.responded_recently():
            return ""
        now = asyncio.get_running_loop().time()
        holder = self.holder()
        if holder == self.host:
            mine = self.current.spec.get("incarnation") == self.incarnation
            return "" if mine and self.token is not None else "restarted"
        if now - self.started_at < START_PAUSE_S:
            return ""
        if holder is not None and self.peers.can_write(holder, now, COORDINATOR_STORE_AGE_S):
            return ""
        if self.peers.owner_for(DUTY_NAME) != self.host:
            return ""
        return "there is no holder" if holder is None else "the holder is gone"

    async def take(self, reason: str) -> None:
        """Become the holder by a conditional write."""
        spec = {"holder": self.host, "incarnation": self.incarnation}
        now = asyncio.get_running_loop().time()
        former = self.holder()
        try:
            if self.current is None:
                object = await self.client.create(OWN_KIND, DUTY_NAME, spec, now)
            else:
                # Each taking is a change of its own, so that the number rises.
                spec["taken"] = self.current.revision
                object = await self.client.replace(
                    OWN_KIND, DUTY_NAME, spec, self.current.revision, now
                )
        except Conflict as conflict:
            if conflict.current is not None:
                self.object_changed(conflict.current)
            return
        except MetadataError:
            # Tried again at the next check; the client logs a store that is away.
            return
        self.token = object.revision
        self.object_changed(object)
        now = asyncio.get_running_loop().time()
        self.first_order_at = now
        if former not in (None, self.host):
            last_order_at = self.peers.last_possible_order(former, now)
            self.first_order_at = max(last_order_at + self.lease_s + LEASE_MARGIN_S, now)
        self.dropped.clear()
        self.taken.set()
        log_event(
            events.DUTY_TAKEN,
            fencing=self.token,
            former=former,
            reason=reason,
            first_order_in_s=round(self.first_order_at - now, 3),
        )

    async def verified_token(self) -> int | None:
        """Return the fencing number if the store shows now that the duty is held."""
        loop = asyncio.get_running_loop()
        if self.token is None or loop.time() < self.first_order_at:
            return None
        try:
            async with asyncio.timeout(VERIFY_TIMEOUT_S):
                object = await self.client.get(OWN_KIND, DUTY_NAME)
        except (MetadataError, TimeoutError):
            # No order without proof; the next round asks again.
            return None
        if object is not None:
            self.object_changed(object)
        return self.token
