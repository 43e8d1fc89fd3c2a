"""State that every process has, whatever its role."""

import asyncio
import time

from turmericreach.attempts import new_incarnation
from turmericreach.config import ConfigState
from turmericreach.daemon.observed_store import ObservedStore
from turmericreach.manifest import Manifest, ServiceSpec, TargetSpec
from turmericreach.membership import MemberRecord, MemberTable
from turmericreach.objectstore import CallBudget, HttpObjectStore
from turmericreach.rpc import Hello, PeerIncompatible, PeerPool, check_protocol
from turmericreach.security import TlsContexts
from turmericreach.settings import DaemonSettings
from turmericreach.telemetry import Decision, DecisionTrace, Metrics, events, log_event
from turmericreach.weights import WantedTable

__all__ = ["Node"]

# An incarnation holds the start time in ms above this many random bits.
START_SHIFT = 20
RANDOM_MASK = (1 << START_SHIFT) - 1
# 340 processes at 6 calls a second would exceed the rate limit of the object API. In steady state
# only relays and coordinators call it; the bound keeps one faulty process from using up the calls
# of all others.
STORE_CALLS_PER_S = 40.0
STORE_BURST = 40
# Shortest time between two log lines about the same incompatible peer.
REFUSAL_LOG_INTERVAL_S = 60.0
MAX_REFUSED_PEERS = 512


class Node:
    """Identity, configuration, members and connections of this process.

    Parameters
    ----------
    settings : DaemonSettings
        Settings file of this process.
    now : float
        Loop time in seconds.
    tls : TlsContexts or None
        TLS contexts for peers and callers; None for plain connections.
    """

    def __init__(self, settings: DaemonSettings, now: float, tls: TlsContexts | None = None):
        self.settings = settings
        self.started_at = now
        self.incarnation = new_incarnation()
        self.server_ssl = tls.server if tls is not None else None
        self.caller_ssl = tls.caller_server if tls is not None else None
        own = MemberRecord(
            name=settings.name,
            role=settings.role.value,
            data_centre=settings.data_centre,
            region=settings.region,
            address=self.rpc_address(),
            http_address=self.http_address(),
            started_ms=self.incarnation >> START_SHIFT,
            incarnation=self.incarnation & RANDOM_MASK,
        )
        self.members = MemberTable(own, now)
        self.config = ConfigState(now)
        self.manifest: Manifest | None = None
        self.services: dict[str, ServiceSpec] = {}
        self.targets: dict[str, TargetSpec] = {}
        self.wanted = WantedTable()
        self.peers = PeerPool(self.hello, lambda: tls.client if tls is not None else None)
        self.metrics = Metrics(settings.telemetry.statsd, settings.name)
        store = HttpObjectStore(
            settings.platform.url,
            settings.platform.token,
            settings.platform.timeout_s,
            CallBudget(STORE_CALLS_PER_S, STORE_BURST),
        )
        self.store = ObservedStore(store, self.metrics)
        self.trace = DecisionTrace()
        self.leaving = False
        self.refusal_logged_at: dict[str, float] = {}

    @property
    def name(self) -> str:
        """Name of this process, unique in the deployment."""
        return self.settings.name

    def rpc_address(self) -> str:
        """Return the address for other processes, as host:port."""
        listen = self.settings.listen
        return listen.advertised or f"{listen.ip}:{listen.rpc_port}"

    def http_address(self) -> str:
        """Return the address for callers as host:port, empty if there is none."""
        listen = self.settings.listen
        return f"{listen.ip}:{listen.http_port}" if listen.http_port else ""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_clock(self) -> float:
        """Return the Unix time in seconds."""
        return time.time()

    def hello(self) -> Hello:
        """Return the identity that is sent to a peer on a new connection."""
        return Hello(
            name=self.settings.name,
            role=self.settings.role.value,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            generation=self.config.generation,
            clock_ms=int(self.now() * 1000),
        )

    def reply_to_hello(self, hello: Hello) -> Hello:
        """Check the protocol of a peer that connects and return the own identity.

        Raises
        ------
        PeerIncompatible
            If the peer uses a protocol version that is not supported.
        """
        try:
            check_protocol(hello)
        except PeerIncompatible as error:
            self.log_incompatible(hello.name, error)
            raise
        return self.hello()

    def log_incompatible(self, peer: str, error: PeerIncompatible) -> None:
        """Log an incompatible peer, at most once a minute although it reconnects more often."""
        now = self.now()
        if now - self.refusal_logged_at.get(peer, float("-inf")) < REFUSAL_LOG_INTERVAL_S:
            return
        if len(self.refusal_logged_at) >= MAX_REFUSED_PEERS:
            self.refusal_logged_at.clear()
        self.refusal_logged_at[peer] = now
        log_event(events.PROTOCOL_REFUSED, peer=peer, reason=str(error))

    def install(self, manifest: Manifest) -> None:
        """Make a manifest the one for look-ups of services and targets by name."""
        self.manifest = manifest
        self.services = {service.name: service for service in manifest.services}
        self.targets = {target.name: target for target in manifest.targets}

    def record_decision(self, request_id: str, attempt_id: str, what: str, evidence: str) -> None:
        """Record a decision for `explain`."""
        self.trace.record(
            Decision(self.wall_clock(), self.name, request_id, attempt_id, what, evidence)
        )

    async def close(self) -> None:
        """Close the connections to peers, the platform and statsd."""
        self.peers.close()
        await self.store.close()
        self.metrics.close()
