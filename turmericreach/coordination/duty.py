"""Election of the coordinator: a duty with one holder and a rising fencing token."""

import asyncio

from turmericreach.coordination.names import DUTY_NAME, OWN_KIND
from turmericreach.coordination.peers import COORDINATOR_STORE_AGE_S, PeerTable
from turmericreach.metadata import Conflict, MetadataClient, MetadataError, StoredObject
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["CoordinatorDuty"]

CHECK_INTERVAL_S = 0.2
# After its start a process waits this long for a response of the present holder.
START_PAUSE_S = 1.6
# With no holder in the store, a process waits this long after its start for the registrations of
# the others, so that all of them see the same candidates.
FIRST_HOLDER_PAUSE_S = 0.8
# Added to the lease for the time that an order takes to reach its target.
LEASE_MARGIN_S = 0.2
VERIFY_TIMEOUT_S = 0.5


class CoordinatorDuty:
    """Acquires and holds the duty of the coordinator, or follows its holder.

    The fencing token is the revision of the write that acquired the duty, so it rises with each
    holder. A new holder sends no orders until the lease of the former one has expired. A read of
    the store that shows that the duty is still held precedes each series of orders.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : str
        Unique id of this run of the process.
    lease_s : float
        Seconds for which an order of a former holder may still take effect.
    client : MetadataClient
        Client of the metadata store.
    peers : PeerTable
        Other processes.

    Attributes
    ----------
    current : StoredObject or None
        Newest known entry of the duty in the store.
    token : int or None
        Fencing token while this process holds the duty, else None.
    first_order_at : float
        Loop time in seconds from which orders may be sent.
    predecessor : str or None
        Other host that held the duty before an acquisition that is not confirmed yet, else None.
    started_at : float
        Loop time in seconds at which this process started.
    acquired, released : asyncio.Event
        ``acquired`` is set while the duty is held, ``released`` after it was lost until it is
        acquired again.
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
        self.acquired = asyncio.Event()
        self.released = asyncio.Event()
        self.first_order_at = 0.0
        self.predecessor: str | None = None
        self.started_at = asyncio.get_running_loop().time()

    def object_changed(self, object: StoredObject) -> None:
        """Apply a changed entry of the duty; release the duty if another write replaced it."""
        if self.current is not None and self.current.revision >= object.revision:
            return
        self.current = object
        self.peers.coordinator = self.holder()
        if self.token is not None and object.revision != self.token:
            self.release(f"held by {self.holder()}")

    def holder(self) -> str | None:
        """Return the host that holds the duty according to the store, None if unknown."""
        if self.current is None or not isinstance(self.current.spec, dict):
            return None
        return self.current.spec.get("holder")

    def release(self, reason: str) -> None:
        """Stop coordinating."""
        if self.token is None:
            return
        self.token = None
        self.acquired.clear()
        self.released.set()
        log_event(events.DUTY_LOST, reason=reason)

    async def run(self) -> None:
        """Acquire the duty when its holder is lost, until cancelled."""
        while True:
            reason = self.acquisition_reason()
            if reason:
                await self.acquire(reason)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def acquisition_reason(self) -> str:
        """Return why this process should acquire the duty now, empty if it should not."""
        if self.peers.leaving or not self.client.responded_recently():
            return ""
        now = asyncio.get_running_loop().time()
        holder = self.holder()
        if holder == self.host:
            mine = self.current.spec.get("incarnation") == self.incarnation
            return "" if mine and self.token is not None else "this process was restarted"
        pause_s = FIRST_HOLDER_PAUSE_S if holder is None else START_PAUSE_S
        if now - self.started_at < pause_s:
            return ""
        if holder is not None and self.peers.can_write(holder, now, COORDINATOR_STORE_AGE_S):
            return ""
        if self.peers.owner_for(DUTY_NAME) != self.host:
            return ""
        return "there is no holder" if holder is None else "the holder is lost"

    async def acquire(self, reason: str) -> None:
        """Try to become the holder by a conditional write.

        If the response to the write is lost, the next attempt finds this process as the holder. The
        lease of the holder before it has to expire all the same.
        """
        spec = {"holder": self.host, "incarnation": self.incarnation}
        now = asyncio.get_running_loop().time()
        former = self.holder()
        if former != self.host:
            self.predecessor = former
        self.wait_for_predecessor(now)
        try:
            if self.current is None:
                object = await self.client.create(OWN_KIND, DUTY_NAME, spec, now)
            else:
                # Makes each acquisition change the object, so that the revision rises.
                spec["taken"] = self.current.revision
                object = await self.client.replace(
                    OWN_KIND, DUTY_NAME, spec, self.current.revision, now
                )
        except Conflict as conflict:
            if conflict.current is not None:
                self.object_changed(conflict.current)
            return
        except MetadataError:
            # Retried at the next check; the client logs that the store is unavailable.
            return
        self.token = object.revision
        self.object_changed(object)
        now = asyncio.get_running_loop().time()
        self.first_order_at = max(self.first_order_at, now)
        self.wait_for_predecessor(now)
        self.predecessor = None
        self.released.clear()
        self.acquired.set()
        log_event(
            events.DUTY_TAKEN,
            fencing=self.token,
            former=former,
            reason=reason,
            first_order_in_s=round(self.first_order_at - now, 3),
        )

    def wait_for_predecessor(self, now: float) -> None:
        """Set the time of the first order by the last possible order of the predecessor.

        That order also counts as the last one of this process in its status: a successor for which
        this process makes way before it has sent any waits for the same lease.
        """
        if self.predecessor is None:
            return
        last_order_at = self.peers.last_possible_order_at(self.predecessor, now)
        self.peers.last_order_at = max(self.peers.last_order_at, last_order_at)
        self.first_order_at = max(last_order_at + self.lease_s + LEASE_MARGIN_S, now)

    async def verified_token(self) -> int | None:
        """Return the fencing token if a read of the store confirms that the duty is held."""
        loop = asyncio.get_running_loop()
        if self.token is None or loop.time() < self.first_order_at:
            return None
        try:
            async with asyncio.timeout(VERIFY_TIMEOUT_S):
                object = await self.client.get(OWN_KIND, DUTY_NAME)
        except (MetadataError, TimeoutError):
            # No order is sent without confirmation; the next round reads again.
            return None
        if object is not None:
            self.object_changed(object)
        return self.token
