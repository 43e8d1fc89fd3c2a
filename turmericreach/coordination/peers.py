"""Registration, addresses, and liveness of the other processes."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from turmericreach.batches.model_work import ModelWork, join_work
from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.messages import CountingStatus, PeerStatus
from turmericreach.coordination.names import DUTY_NAME, HOST_PREFIX, LOTS_KIND, OWN_KIND
from turmericreach.coordination.peer import Peer
from turmericreach.duties import UsageBook
from turmericreach.http1 import (
    ConnectFailed,
    ConnectionPool,
    ResponseIncomplete,
    ResponseLimits,
    is_address,
)
from turmericreach.metadata import Conflict, KindMirror, MetadataClient, MetadataError, StoredObject
from turmericreach.placement.ownership import choose_owner
from turmericreach.platform.decoding import DecodeError
from turmericreach.services import TargetDirectory
from turmericreach.sharing import SharedTables
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.unexpected import log_unexpected

__all__ = ["PeerTable"]

# Interval of pings to the coordinator, and of pings of the coordinator to all peers.
PING_INTERVAL_S = 0.4
# Other pings have this interval times the number of peers, so that the total number stays small.
PING_INTERVAL_PER_PEER_S = 0.1
PING_TIMEOUT_S = 0.6
PING_TICK_S = 0.1
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
# A peer is logged as unreachable after this many consecutive failed pings.
FAILURES_TO_LOG = 2
REGISTER_RETRY_S = 0.2
# A peer counts as lost when it has not responded for this long, or for this many ping intervals
# if that is longer; the second limit covers two pings.
UNREACHABLE_AFTER_S = 1.6
MAX_MISSED_INTERVALS = 2.5
# A process without a response of the store for this long is assumed unable to write.
MAX_STORE_AGE_S = 3.0
# A lot is assigned only to a process to which the store has responded within this time.
FRESH_STORE_AGE_S = 1.4
# A coordinator without a response of the store for this long is replaced, since another process
# that reaches the store can coordinate in the meantime.
COORDINATOR_STORE_AGE_S = 1.8
# After an outage of the store, peers need this long to report that it responds to them again.
RECOVERY_GRACE_S = 1.5
# A process that stops tells this many others what must not be lost, as some may stop as well.
MAX_SUCCESSORS = 2
# A process that has not run for this long has heard of no other one meanwhile.
STALL_S = 1.0
# Time from the store response that permits an order until the order has reached its target.
ORDER_MARGIN_S = 1.0


class CountExchange(Protocol):
    """Exchanges counts of requests with the pings.

    Attributes
    ----------
    book : UsageBook
        Counts that this process knows.
    """

    book: UsageBook

    def extended(self, status: PeerStatus, query: str) -> PeerStatus:
        """Return a status with the counts that the query of a ping asks for."""

    async def hand_over(self) -> None:
        """Send the own counts to processes that go on, before this one stops."""

    def query(self, host: str) -> str:
        """Return the part of the query that asks a host for its counts, empty for none."""

    def record(self, status: CountingStatus, sent_at: float) -> None:
        """Record the counts in a status, requested at a loop time in seconds."""


class PeerTable:
    """Registers this process in the store and follows the other processes.

    Parameters
    ----------
    host : str
        Name of this host.
    address : str
        Address ``ip:port`` of this process for requests of other processes.
    incarnation : str
        Unique id of this run of the process.
    cores : float
        Processor time that this process may use, in cores.
    client : MetadataClient
        Client of the metadata store.
    limits : ResponseLimits, optional
        Limits on the size of responses of other processes.
    shared : SharedTables, optional
        Tables whose revisions are reported to other processes.

    Attributes
    ----------
    pool : ConnectionPool
        Connections to other processes.
    leaving : bool
        Whether this process is about to stop.
    directory : TargetDirectory or None
        Targets whose latency is reported to other processes.
    newest_lot : callable
        Returns the highest revision of a lot that this process knows.
    own_work : callable
        Returns the work of the lots that this process runs.
    pings : set of asyncio.Task
        Pings that are in progress.
    peers : dict of str to Peer
        Other processes by host.
    mirrors : dict of str to KindMirror
        Mirrors of this process by kind; they are notified of changes that others have seen.
    coordinator : str or None
        Host of the coordinator, None if unknown.
    hub : str or None
        Host that arbitrates what all processes share: the coordinator while it responds, else the
        live host that would succeed it. It needs no contact with the store.
    on_status : callable or None
        Called with a peer after each status that it has reported.
    usage : CountExchange or None
        Exchanges counts of requests with the pings, None if requests are not counted.
    last_coordinator_ping_at : float
        Loop time in seconds of the coordinator's last ping to this process.
    last_order_at : float
        Loop time in seconds of the last order of this process to a target.
    ticked_at : float or None
        Loop time in seconds at which `run` last ran, None before its start.
    stalled_at : float
        Loop time in seconds at which it last ran after a time in which the process did not.
    """

    def __init__(
        self,
        host: str,
        address: str,
        incarnation: str,
        cores: float,
        client: MetadataClient,
        limits: ResponseLimits | None = None,
        shared: SharedTables | None = None,
    ):
        self.host = host
        self.address = address
        self.incarnation = incarnation
        self.cores = cores
        self.client = client
        self.shared = shared or SharedTables()
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, max_idle=8, limits=limits)
        self.peers: dict[str, Peer] = {}
        self.leaving = False
        self.mirrors: dict[str, KindMirror] = {}
        self.directory: TargetDirectory | None = None
        self.coordinator: str | None = None
        self.hub: str | None = None
        self.on_status: Callable[[Peer], Awaitable[None]] | None = None
        self.usage: CountExchange | None = None
        self.newest_lot: Callable[[], int] = int
        self.own_work: Callable[[], list[ModelWork]] = list
        self.last_coordinator_ping_at = float("-inf")
        self.last_order_at = float("-inf")
        self.pings: set[asyncio.Task] = set()
        self.ticked_at: float | None = None
        self.stalled_at = float("-inf")

    # Registration

    async def register(self) -> None:
        """Store the registration of this process and retry until it succeeds."""
        spec = {"address": self.address, "incarnation": self.incarnation, "cores": self.cores}
        name = HOST_PREFIX + self.host
        current = self.mirrors[OWN_KIND].objects.get(name)
        while True:
            try:
                if current is None:
                    await self.client.create(OWN_KIND, name, spec)
                elif current.spec != spec:
                    await self.client.replace(OWN_KIND, name, spec, current.revision)
                return
            except Conflict as conflict:
                current = conflict.current
            except MetadataError:
                await asyncio.sleep(REGISTER_RETRY_S)

    def object_changed(self, object: StoredObject) -> None:
        """Apply a changed registration of another process."""
        host = object.name[len(HOST_PREFIX) :]
        spec = object.spec if isinstance(object.spec, dict) else {}
        address, incarnation = spec.get("address"), spec.get("incarnation")
        if host == self.host:
            return
        if not isinstance(address, str) or not isinstance(incarnation, str):
            address = ""
        if not is_address(address):
            log_event(
                events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=f"{object.name}: address"
            )
            return
        known = self.peers.get(host)
        if known is not None and known.address == address and known.incarnation == incarnation:
            return
        if known is not None:
            self.pool.remove_address(known.address)
        now = asyncio.get_running_loop().time()
        self.peers[host] = Peer(host, address, incarnation, now, registered_cores(spec))
        log_event(events.HOST_LISTED, peer=host, address=address, incarnation=incarnation)

    def object_removed(self, object: StoredObject) -> None:
        """Remove a process whose registration was removed."""
        self.peers.pop(object.name[len(HOST_PREFIX) :], None)

    # Liveness

    def own_status(self) -> PeerStatus:
        """Return the status that this process reports."""
        return PeerStatus(
            host=self.host,
            incarnation=self.incarnation,
            store_age_s=min(self.client.last_response_age_s(), 1e9),
            leaving=self.leaving,
            cores=self.cores,
            changes=self.seen_changes(),
            event_s=self.measured_event_s(),
            order_age_s=min(asyncio.get_running_loop().time() - self.last_order_at, 1e9),
            shared_revision=self.shared.revision(),
            observed_revision=self.shared.observed_revision(),
            work=self.own_work(),
        )

    def seen_changes(self) -> dict[str, int]:
        """Return the revision of the newest change that this process has seen, by kind."""
        found = {kind: mirror.newest_revision for kind, mirror in self.mirrors.items()}
        found[LOTS_KIND] = self.newest_lot()
        return found

    def newest_seen(self, kind: str) -> int:
        """Return the revision of the newest change of a kind that any process has reported."""
        found = self.seen_changes().get(kind, 0)
        for peer in self.peers.values():
            if peer.status is not None:
                found = max(found, peer.status.changes.get(kind, 0))
        return found

    def work_by_model(self, now: float) -> dict[str, ModelWork]:
        """Return the work of the lots that this process and the live peers run, by model."""
        works = self.own_work()
        for host, peer in self.peers.items():
            if peer.status is not None and self.is_alive(host, now):
                works = [*works, *peer.status.work]
        return join_work(works)

    def live_hosts(self, now: float) -> set[str]:
        """Return this host and the hosts that have responded recently."""
        return {self.host, *(host for host in self.peers if self.is_alive(host, now))}

    def last_possible_order_at(self, host: str, now: float) -> float:
        """Return the latest loop time at which a former coordinator may have sent an order.

        A coordinator sends orders only while the store responds to it, and none once it is about
        to stop.
        """
        peer = self.peers.get(host)
        if peer is None or peer.status is None:
            return now
        if peer.status.leaving:
            return peer.last_response_at - peer.status.order_age_s
        if peer.response_age_s(now) >= UNREACHABLE_AFTER_S:
            return peer.last_response_at + ORDER_MARGIN_S
        if peer.status.store_age_s > FRESH_STORE_AGE_S:
            return peer.last_response_at - peer.status.store_age_s + ORDER_MARGIN_S
        return now

    def measured_event_s(self) -> dict[str, float]:
        """Return the seconds per event that this process measured, by target id."""
        if self.directory is None:
            return {}
        found = {}
        for target in self.directory.targets.values():
            if target.latency_s and target.model_versions:
                found[target.id] = round(target.latency_s, 4)
        return found

    def event_s(self, target_id: str) -> float:
        """Return the mean seconds per event that other processes report for a target, 0 if none."""
        found = []
        for peer in self.peers.values():
            if peer.status is not None and target_id in peer.status.event_s:
                found.append(peer.status.event_s[target_id])
        return sum(found) / len(found) if found else 0.0

    def ping_interval_s(self, host: str) -> float:
        """Return the seconds between two pings to a peer."""
        central = (host, self.host)
        if self.coordinator in central or self.hub in central:
            return PING_INTERVAL_S
        return max(PING_INTERVAL_S, PING_INTERVAL_PER_PEER_S * len(self.peers))

    def is_alive(self, host: str, now: float) -> bool:
        """Return whether a host has responded recently."""
        if host == self.host:
            return True
        peer = self.peers.get(host)
        if peer is None:
            return False
        return peer.response_age_s(now) < max(
            UNREACHABLE_AFTER_S, MAX_MISSED_INTERVALS * self.ping_interval_s(host)
        )

    def reaches_store(self, host: str, now: float, store_age_s: float) -> bool:
        """Return whether a host is alive and the store has responded to it recently."""
        if host == self.host:
            return self.client.last_response_age_s() < store_age_s
        if not self.is_alive(host, now):
            return False
        status = self.peers[host].status
        if status is None or status.store_age_s < store_age_s:
            return True
        # After an outage for all processes, their last reports are stale for a moment.
        resumed_at = max(self.client.recovered_at, self.client.contact_resumed_at)
        return now - resumed_at < RECOVERY_GRACE_S

    def last_store_contact_at(self, host: str) -> float:
        """Return the loop time at which the store last responded to another host."""
        status = self.peers[host].status
        if status is None:
            return float("-inf")
        return self.peers[host].last_response_at - status.store_age_s

    def can_write(self, host: str, now: float, store_age_s: float = MAX_STORE_AGE_S) -> bool:
        """Return whether a host is alive, is not stopping, and reaches the store."""
        if not self.reaches_store(host, now, store_age_s):
            return False
        if host == self.host:
            return not self.leaving
        status = self.peers[host].status
        return status is None or not status.leaving

    def writers(self, store_age_s: float = MAX_STORE_AGE_S) -> dict[str, float]:
        """Return the hosts that can write to the store, with their processor cores."""
        now = asyncio.get_running_loop().time()
        found = {}
        for host in (self.host, *self.peers):
            if self.can_write(host, now, store_age_s):
                found[host] = self.cores_of(host)
        return found

    def cores_of(self, host: str) -> float:
        """Return the processor time that a host may use, in cores."""
        if host == self.host:
            return self.cores
        peer = self.peers[host]
        return peer.cores if peer.status is None else peer.status.cores

    def owner_for(self, subject: str, others_only: bool = False) -> str | None:
        """Return the host that should own a subject, None if no host can."""
        hosts = self.writers(FRESH_STORE_AGE_S)
        if others_only:
            hosts.pop(self.host, None)
        return choose_owner(subject, hosts)

    def successors(self) -> list[str]:
        """Return the other hosts to which the duty of the coordinator would go next."""
        hosts = self.writers(FRESH_STORE_AGE_S)
        hosts.pop(self.host, None)
        found = []
        while hosts and len(found) < MAX_SUCCESSORS:
            found.append(choose_owner(DUTY_NAME, hosts))
            del hosts[found[-1]]
        return found

    def choose_hub(self, now: float) -> str | None:
        """Return the host that arbitrates what all processes share, None if there is none."""
        if self.coordinator is not None and self.is_available(self.coordinator, now):
            return self.coordinator
        hosts = {
            host: self.cores_of(host)
            for host in (self.host, *self.peers)
            if self.is_available(host, now)
        }
        return choose_owner(DUTY_NAME, hosts)

    def is_another_available(self) -> bool:
        """Return whether another process responds and is not about to stop."""
        now = asyncio.get_running_loop().time()
        return any(self.is_available(host, now) for host in self.peers)

    def is_available(self, host: str, now: float) -> bool:
        """Return whether a host responds and is not about to stop."""
        if host == self.host:
            return not self.leaving
        if not self.is_alive(host, now):
            return False
        status = self.peers[host].status
        return status is None or not status.leaving

    def record_ping(self, host: str | None) -> None:
        """Record a ping of a host if it is the coordinator."""
        if host is not None and host == self.coordinator:
            self.last_coordinator_ping_at = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Ping all peers periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            if self.ticked_at is not None and now - self.ticked_at > STALL_S:
                self.stalled_at = now
                log_event(events.PROCESS_STALLED, seconds=round(now - self.ticked_at, 3))
            self.ticked_at = now
            self.hub = self.choose_hub(now)
            for peer in list(self.peers.values()):
                if now - peer.last_ping_at < self.ping_interval_s(peer.host):
                    continue
                peer.last_ping_at = now
                task = loop.create_task(self.try_ping(peer))
                self.pings.add(task)
                task.add_done_callback(self.pings.discard)
            await asyncio.sleep(PING_TICK_S)

    def is_stalled(self) -> bool:
        """Return whether this process has not run for a while and has not heard of others since."""
        now = asyncio.get_running_loop().time()
        if self.ticked_at is not None and now - self.ticked_at > STALL_S:
            return True
        return now - self.stalled_at < RECOVERY_GRACE_S

    async def try_ping(self, peer: Peer) -> None:
        """Ping a peer; an unexpected error ends this ping alone."""
        try:
            await self.ping(peer)
        except Exception as error:
            log_unexpected("ping", peer.host, error)

    async def ping(self, peer: Peer) -> None:
        """Request the status of a peer and record it."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        path = f"/peer/status?from={self.host}"
        if self.usage is not None:
            path += self.usage.query(peer.host)
        try:
            body = await self.call(peer, "GET", path, b"", PING_TIMEOUT_S)
            status = decode_message(body, PeerStatus if self.usage is None else CountingStatus)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError) as error:
            peer.failures += 1
            if peer.failures == FAILURES_TO_LOG:
                reason = f"{type(error).__name__} {error}".strip()
                log_event(events.HOST_UNREACHABLE, peer=peer.host, reason=reason)
            return
        if peer.failures >= FAILURES_TO_LOG:
            age_s = round(status.store_age_s, 3)
            log_event(events.HOST_REACHABLE, peer=peer.host, store_age_s=age_s)
        peer.failures = 0
        peer.status = status
        peer.last_response_at = loop.time()
        for kind, revision in status.changes.items():
            if kind in self.mirrors:
                self.mirrors[kind].check_for_missed_change(revision)
        if self.usage is not None:
            self.usage.record(status, sent_at)
        if self.on_status is not None:
            await self.on_status(peer)

    # Calls

    async def call(
        self, peer: Peer, method: str, path: str, body: bytes, timeout_s: float = CALL_TIMEOUT_S
    ) -> bytes:
        """Send a request to a peer and return the body of its response.

        Raises
        ------
        ConnectFailed, ResponseIncomplete, TimeoutError
            If there is no complete response, or its status is not 200.
        """
        async with asyncio.timeout(timeout_s):
            head, response_body = await self.pool.fetch(
                peer.address, method, path, [("Host", peer.address)], body
            )
        if head.status != 200:
            raise ResponseIncomplete(f"status {head.status}")
        return response_body

    async def send(self, host: str, path: str, message: Any) -> bool:
        """Send a message to a host and return whether the host accepted it."""
        peer = self.peers.get(host)
        if peer is None:
            return False
        with contextlib.suppress(ConnectFailed, ResponseIncomplete, TimeoutError):
            await self.call(peer, "POST", path, msgspec.json.encode(message))
            return True
        return False

    async def send_to_all(self, path: str, message: Any) -> None:
        """Send a message to all peers; a peer that misses it learns the change from the store."""
        await asyncio.gather(*(self.send(host, path, message) for host in list(self.peers)))


def registered_cores(spec: dict[str, Any]) -> float:
    """Return the processor cores in a registration, 0 if they are missing or malformed."""
    cores = spec.get("cores")
    return float(cores) if isinstance(cores, int | float) else 0.0
