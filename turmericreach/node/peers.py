"""Other processes: where they are, and whether they live."""

import asyncio
import contextlib
from typing import Any

import attrs
import msgspec

from turmericreach.batches.records import OWN_KIND
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseIncomplete
from turmericreach.metadata import Conflict, KindMirror, MetadataClient, MetadataError, StoredObject
from turmericreach.services import TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["HOST_PREFIX", "Peer", "PeerStatus", "PeerTable"]

HOST_PREFIX = "host."
# Between two calls to one peer; longer with many peers, so that the calls of all stay few.
MIN_PING_INTERVAL_S = 0.4
PING_INTERVAL_A_PEER_S = 0.05
PING_TIMEOUT_S = 0.6
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
# Two calls in a row that fail make a peer unreachable.
FAILURES_TO_SUSPECT = 2
REGISTER_RETRY_S = 0.2


@attrs.frozen
class PeerStatus:
    """What a process says of itself.

    Attributes
    ----------
    host : str
        Its host.
    incarnation : str
        Names this run of the process.
    store_age_s : float
        Seconds since the store answered it.
    leaving : bool
        Whether it is about to stop.
    changes : dict of str to int
        Revision of the newest change that it has seen, by kind of object.
    event_s : dict of str to float
        Seconds an event that it has seen at targets.
    """

    host: str
    incarnation: str
    store_age_s: float
    leaving: bool
    changes: dict[str, int] = attrs.field(factory=dict)
    event_s: dict[str, float] = attrs.field(factory=dict)


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
    status : PeerStatus or None
        What it last said.
    heard_at : float
        Loop time of its last answer.
    known_since : float
        Loop time at which it was listed.
    failures : int
        Calls in a row without an answer.
    """

    host: str
    address: str
    incarnation: str
    known_since: float
    status: PeerStatus | None = None
    heard_at: float = float("-inf")
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
    """

    def __init__(self, host: str, address: str, incarnation: str, client: MetadataClient):
        self.host = host
        self.address = address
        self.incarnation = incarnation
        self.client = client
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, max_idle=2)
        self.peers: dict[str, Peer] = {}
        self.leaving = False
        self.mirrors: dict[str, KindMirror] = {}
        self.directory: TargetDirectory | None = None

    # Registration

    async def register(self) -> None:
        """Write this process's entry until it is stored."""
        spec = {"address": self.address, "incarnation": self.incarnation}
        name = HOST_PREFIX + self.host
        while True:
            try:
                current = await self.client.get(OWN_KIND, name)
                if current is None:
                    await self.client.create(OWN_KIND, name, spec)
                elif current.spec != spec:
                    await self.client.replace(OWN_KIND, name, spec, current.revision)
                return
            except (MetadataError, Conflict):
                await asyncio.sleep(REGISTER_RETRY_S)

    def object_changed(self, object: StoredObject) -> None:
        """Take a process's entry."""
        if not object.name.startswith(HOST_PREFIX):
            return
        host = object.name[len(HOST_PREFIX) :]
        spec = object.spec if isinstance(object.spec, dict) else {}
        address, incarnation = spec.get("address"), spec.get("incarnation")
        if host == self.host or not isinstance(address, str) or not isinstance(incarnation, str):
            return
        known = self.peers.get(host)
        if known is not None and known.address == address and known.incarnation == incarnation:
            return
        if known is not None:
            self.pool.drop(known.address)
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
            self.host,
            self.incarnation,
            min(self.client.contact_age_s(), 1e9),
            self.leaving,
            {kind: mirror.last_change for kind, mirror in self.mirrors.items()},
            self.own_event_s(),
        )

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

    def is_alive(self, host: str, now: float, silence_s: float) -> bool:
        """Return whether a host has answered within a time."""
        if host == self.host:
            return True
        peer = self.peers.get(host)
        return peer is not None and peer.silent_s(now) < silence_s

    def can_write(self, host: str, now: float, silence_s: float, store_age_s: float) -> bool:
        """Return whether a host lives, stays, and reaches the store."""
        if host == self.host:
            return not self.leaving and self.client.contact_age_s() < store_age_s
        if not self.is_alive(host, now, silence_s):
            return False
        status = self.peers[host].status
        if status is None:
            return True
        return not status.leaving and status.store_age_s < store_age_s

    def writers(self, now: float, silence_s: float, store_age_s: float) -> list[str]:
        """Return the hosts that live, stay and reach the store, this one included."""
        hosts = [self.host, *self.peers]
        return [host for host in hosts if self.can_write(host, now, silence_s, store_age_s)]

    async def run(self) -> None:
        """Ask all peers again and again, until cancelled."""
        while True:
            interval_s = max(MIN_PING_INTERVAL_S, PING_INTERVAL_A_PEER_S * len(self.peers))
            peers = list(self.peers.values())
            await asyncio.gather(*(self.ping(peer) for peer in peers))
            await asyncio.sleep(interval_s)

    async def ping(self, peer: Peer) -> None:
        """Ask a peer for its status."""
        loop = asyncio.get_running_loop()
        try:
            body = await self.call(peer, "GET", "/peer/status", b"", PING_TIMEOUT_S)
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
                self.mirrors[kind].note_change_elsewhere(revision)

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

    async def tell_all(self, path: str, message: Any) -> None:
        """Send a message to all peers; one that misses it learns the same from the store."""
        body = msgspec.json.encode(message)
        peers = list(self.peers.values())
        await asyncio.gather(*(self.tell(peer, path, body) for peer in peers))

    async def tell(self, peer: Peer, path: str, body: bytes) -> bool:
        """Send a message to a peer and return whether it was taken."""
        with contextlib.suppress(ConnectFailed, ResponseIncomplete, TimeoutError):
            await self.call(peer, "POST", path, body)
            return True
        return False
