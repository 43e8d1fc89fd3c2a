"""Other processes: where they are, and whether they live."""

import asyncio
import contextlib
from typing import Any

import attrs
import msgspec

from turmericreach.coordination.messages import PeerStatus
from turmericreach.coordination.names import HOST_PREFIX, OWN_KIND
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseIncomplete
from turmericreach.metadata import Conflict, KindMirror, MetadataClient, MetadataError, StoredObject
from turmericreach.placement.ownership import choose_owner
from turmericreach.services import TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["Peer", "PeerTable"]

# Between two calls to the coordinator, and of the coordinator to all.
PING_INTERVAL_S = 0.4
# Between two calls to one of many other peers, so that the calls of all stay few.
PING_INTERVAL_A_PEER_S = 0.1
PING_TIMEOUT_S = 0.6
PING_TICK_S = 0.1
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
# Two calls in a row that fail make a peer unreachable.
FAILURES_TO_SUSPECT = 2
REGISTER_RETRY_S = 0.2
# A peer that has not answered for this long, or for two calls, takes part in nothing.
SILENCE_S = 1.6
SILENT_INTERVALS = 2.5
# A process that the store has not answered for this long cannot write.
STORE_AGE_S = 3.0
# A lot is given only to a process that the store has answered within this time.
FRESH_STORE_AGE_S = 1.4
# A coordinator that the store has not answered for this long is replaced; another one is in
# contact meanwhile.
COORDINATOR_STORE_AGE_S = 1.8
RETURN_PAUSE_S = 1.5
# From the store's answer to an order until the order has reached its target.
ORDER_MARGIN_S = 1.0


@attrs.define(eq=False)
class Peer:
    """Another process.

    Attributes
    ----------
    host : str
        Its host.
    address : str
        ``ip:port`` for calls between processes.
    incarnation : str
        Names the run that registered.
    known_since : float
        Loop time at which it was listed.
    status : PeerStatus or None
        What it last said.
    heard_at : float
        Loop time of its last answer.
    asked_at : float
        Loop time of the last call to it.
    failures : int
        Calls in a row without an answer.
    """

    host: str
    address: str
    incarnation: str
    known_since: float
    status: PeerStatus | None = None
    heard_at: float = float("-inf")
    asked_at: float = float("-inf")
    failures: int = 0

    def silent_s(self, now: float) -> float:
        """Return the seconds since its last answer, or since it was listed."""
        return now - max(self.heard_at, self.known_since)


class PeerTable:
    """Registers this process in the store and follows the others.

    Attributes
    ----------
    peers : dict of str to Peer
        Other processes by host.
    mirrors : dict of str to KindMirror
        This process's mirrors, which learn of changes that others have seen.
    coordinator : str or None
        Host that coordinates, as far as known.
    asked_by_coordinator_at : float
        Loop time at which the coordinator last asked for this process's status.
    last_order_at : float
        Loop time at which this process last ordered a target.
    """

    def __init__(
        self, host: str, address: str, incarnation: str, cores: float, client: MetadataClient
    ):
        self.host = host
        self.address = address
        self.incarnation = incarnation
        self.cores = cores
        self.client = client
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, max_idle=8)
        self.peers: dict[str, Peer] = {}
        self.leaving = False
        self.mirrors: dict[str, KindMirror] = {}
        self.directory: TargetDirectory | None = None
        self.coordinator: str | None = None
        self.asked_by_coordinator_at = float("-inf")
        self.last_order_at = float("-inf")
        self.pings: set[asyncio.Task] = set()

    # Registration

    async def register(self) -> None:
        """Write this process's entry until it is stored."""
        spec = {"address": self.address, "incarnation": self.incarnation}
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
        """Take a process's entry."""
        host = object.name[len(HOST_PREFIX) :]
        spec = object.spec if isinstance(object.spec, dict) else {}
        address, incarnation = spec.get("address"), spec.get("incarnation")
        if host == self.host or not isinstance(address, str) or not isinstance(incarnation, str):
            return
        known = self.peers.get(host)
        if known is not None and known.address == address and known.incarnation == incarnation:
            return
        if known is not None:
            self.pool.remove_address(known.address)
        now = asyncio.get_running_loop().time()
        self.peers[host] = Peer(host, address, incarnation, now)
        log_event(events.HOST_LISTED, peer=host, address=address, incarnation=incarnation)

    def object_removed(self, object: StoredObject) -> None:
        """Forget a process whose entry is gone."""
        self.peers.pop(object.name[len(HOST_PREFIX) :], None)

    # Liveness

    def own_status(self) -> PeerStatus:
        """Return what this process says of itself."""
        return PeerStatus(
            host=self.host,
            incarnation=self.incarnation,
            store_age_s=min(self.client.last_response_age_s(), 1e9),
            leaving=self.leaving,
            cores=self.cores,
            changes={kind: mirror.newest_revision for kind, mirror in self.mirrors.items()},
            event_s=self.own_event_s(),
            order_age_s=min(asyncio.get_running_loop().time() - self.last_order_at, 1e9),
        )

    def last_possible_order(self, host: str, now: float) -> float:
        """Return the loop time at which a former coordinator may have ordered last.

        It orders only while the store answers it, and never once it is about to stop.
        """
        peer = self.peers.get(host)
        if peer is None or peer.status is None:
            return now
        if peer.status.leaving:
            return peer.heard_at - peer.status.order_age_s
        if peer.silent_s(now) >= SILENCE_S:
            return peer.heard_at + ORDER_MARGIN_S
        if peer.status.store_age_s > FRESH_STORE_AGE_S:
            return peer.heard_at - peer.status.store_age_s + ORDER_MARGIN_S
        return now

    def own_event_s(self) -> dict[str, float]:
        """Return the seconds an event at the targets that this process uses."""
        if self.directory is None:
            return {}
        found = {}
        for target in self.directory.targets.values():
            if target.latency_s and target.model_versions:
                found[target.id] = round(target.latency_s, 4)
        return found

    def event_s(self, target_id: str) -> float:
        """Return the seconds an event that other processes have seen at a target, 0 if none."""
        found = []
        for peer in self.peers.values():
            if peer.status is not None and target_id in peer.status.event_s:
                found.append(peer.status.event_s[target_id])
        return sum(found) / len(found) if found else 0.0

    def interval_s(self, host: str) -> float:
        """Return the time between two calls to a peer."""
        if self.coordinator in (host, self.host):
            return PING_INTERVAL_S
        return max(PING_INTERVAL_S, PING_INTERVAL_A_PEER_S * len(self.peers))

    def is_alive(self, host: str, now: float) -> bool:
        """Return whether a host has answered recently."""
        if host == self.host:
            return True
        peer = self.peers.get(host)
        if peer is None:
            return False
        return peer.silent_s(now) < max(SILENCE_S, SILENT_INTERVALS * self.interval_s(host))

    def reaches_store(self, host: str, now: float, store_age_s: float) -> bool:
        """Return whether a host lives and the store has answered it recently."""
        if host == self.host:
            return self.client.last_response_age_s() < store_age_s
        if not self.is_alive(host, now):
            return False
        status = self.peers[host].status
        if status is None or status.store_age_s < store_age_s:
            return True
        # After an outage for all, the others need a moment to tell that they are answered again.
        return now - self.client.recovered_at < RETURN_PAUSE_S

    def last_contact_of(self, host: str) -> float:
        """Return the loop time at which the store last answered another host."""
        status = self.peers[host].status
        if status is None:
            return float("-inf")
        return self.peers[host].heard_at - status.store_age_s

    def can_write(self, host: str, now: float, store_age_s: float = STORE_AGE_S) -> bool:
        """Return whether a host lives, stays, and reaches the store."""
        if not self.reaches_store(host, now, store_age_s):
            return False
        if host == self.host:
            return not self.leaving
        status = self.peers[host].status
        return status is None or not status.leaving

    def writers(self, store_age_s: float = STORE_AGE_S) -> dict[str, float]:
        """Return the hosts that live, stay and reach the store, with their cores."""
        now = asyncio.get_running_loop().time()
        found = {}
        for host in (self.host, *self.peers):
            if self.can_write(host, now, store_age_s):
                found[host] = self.cores_of(host)
        return found

    def cores_of(self, host: str) -> float:
        """Return the processor time that a host may use."""
        if host == self.host:
            return self.cores
        status = self.peers[host].status
        return 0.0 if status is None else status.cores

    def owner_for(self, subject: str, others_only: bool = False) -> str | None:
        """Return the host that is to run something, None if no host can."""
        hosts = self.writers(FRESH_STORE_AGE_S)
        if others_only:
            hosts.pop(self.host, None)
        return choose_owner(subject, hosts)

    def note_asked(self, host: str | None) -> None:
        """Note a call for this process's status."""
        if host is not None and host == self.coordinator:
            self.asked_by_coordinator_at = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Ask all peers again and again, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for peer in list(self.peers.values()):
                if now - peer.asked_at < self.interval_s(peer.host):
                    continue
                peer.asked_at = now
                task = loop.create_task(self.ping(peer))
                self.pings.add(task)
                task.add_done_callback(self.pings.discard)
            await asyncio.sleep(PING_TICK_S)

    async def ping(self, peer: Peer) -> None:
        """Ask a peer for its status."""
        loop = asyncio.get_running_loop()
        try:
            body = await self.call(
                peer, "GET", f"/peer/status?from={self.host}", b"", PING_TIMEOUT_S
            )
            status = msgspec.json.decode(body, type=PeerStatus)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, msgspec.DecodeError) as error:
            peer.failures += 1
            if peer.failures == FAILURES_TO_SUSPECT:
                reason = f"{type(error).__name__} {error}".strip()
                log_event(events.HOST_UNREACHABLE, peer=peer.host, reason=reason)
            return
        if peer.failures >= FAILURES_TO_SUSPECT:
            age_s = round(status.store_age_s, 3)
            log_event(events.HOST_REACHABLE, peer=peer.host, store_age_s=age_s)
        peer.failures = 0
        peer.status = status
        peer.heard_at = loop.time()
        for kind, revision in status.changes.items():
            if kind in self.mirrors:
                self.mirrors[kind].check_for_missed_change(revision)

    # Calls

    async def call(
        self, peer: Peer, method: str, path: str, body: bytes, timeout_s: float = CALL_TIMEOUT_S
    ) -> bytes:
        """Call a peer and return the body of its answer.

        Raises
        ------
        ConnectFailed, ResponseIncomplete, TimeoutError
            If there is none, or it is a refusal.
        """
        async with asyncio.timeout(timeout_s):
            head, answer = await self.pool.fetch(
                peer.address, method, path, [("Host", peer.address)], body
            )
        if head.status != 200:
            raise ResponseIncomplete(f"status {head.status}")
        return answer

    async def tell(self, host: str, path: str, message: Any) -> bool:
        """Send a message to a host and return whether it was taken."""
        peer = self.peers.get(host)
        if peer is None:
            return False
        with contextlib.suppress(ConnectFailed, ResponseIncomplete, TimeoutError):
            await self.call(peer, "POST", path, msgspec.json.encode(message))
            return True
        return False

    async def tell_all(self, path: str, message: Any) -> None:
        """Send a message to all peers; one that misses it learns the same from the store."""
        await asyncio.gather(*(self.tell(host, path, message) for host in list(self.peers)))
