"""State that every daemon has, whatever its role."""

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

START_SHIFT = 20
RANDOM_MASK = (1 << START_SHIFT) - 1
# 340 daemons at 6 calls a second would exceed the object API; only relays and coordinators call
# it in steady state, and the bound keeps a fault of one daemon from taking everybody's share.
STORE_CALLS_PER_S = 40.0
STORE_BURST = 40
REFUSED_LOG_S = 60.0
MAX_REFUSED = 512


class Node:
    """Identity, configuration, members and connections of this process.

    Parameters
    ----------
    settings : DaemonSettings
    now : float
        Loop time in seconds.
    tls : TlsContexts or None
        None for plain connections.
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
        self.refused_at: dict[str, float] = {}

    @property
    def name(self) -> str:
        """Name of this daemon."""
        return self.settings.name

    def rpc_address(self) -> str:
        """Return the address for other daemons."""
        listen = self.settings.listen
        return listen.advertised or f"{listen.ip}:{listen.rpc_port}"

    def http_address(self) -> str:
        """Return the address for callers, empty if there is none."""
        listen = self.settings.listen
        return f"{listen.ip}:{listen.http_port}" if listen.http_port else ""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_clock(self) -> float:
        """Return the time of day in seconds."""
        return time.time()

    def hello(self) -> Hello:
        """Return the identity for a connection."""
        return Hello(
            name=self.settings.name,
            role=self.settings.role.value,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            generation=self.config.generation,
            clock_ms=int(self.now() * 1000),
        )

    def answer_hello(self, hello: Hello) -> Hello:
        """Return the identity for a peer that connects; raises `PeerIncompatible`."""
        try:
            check_protocol(hello)
        except PeerIncompatible as error:
            self.note_incompatible(hello.name, error)
            raise
        return self.hello()

    def note_incompatible(self, peer: str, error: PeerIncompatible) -> None:
        """Log a refused peer, which tries again every few seconds, not more often than that."""
        now = self.now()
        if now - self.refused_at.get(peer, float("-inf")) < REFUSED_LOG_S:
            return
        if len(self.refused_at) >= MAX_REFUSED:
            self.refused_at.clear()
        self.refused_at[peer] = now
        log_event(events.PROTOCOL_REFUSED, peer=peer, reason=str(error))

    def install(self, manifest: Manifest) -> None:
        """Put a manifest in force for look-ups by name."""
        self.manifest = manifest
        self.services = {service.name: service for service in manifest.services}
        self.targets = {target.name: target for target in manifest.targets}

    def decide(self, request_id: str, attempt_id: str, what: str, evidence: str) -> None:
        """Record a decision for `explain`."""
        self.trace.record(
            Decision(self.wall_clock(), self.name, request_id, attempt_id, what, evidence)
        )

    async def close(self) -> None:
        """Close connections."""
        self.peers.close()
        await self.store.close()
        self.metrics.close()
