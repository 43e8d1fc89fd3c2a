"""Exchange of members, configuration and wanted versions with peers and the platform."""

import asyncio
import random

import attrs
import msgspec

from turmericreach.daemon.config_installer import ConfigInstaller
from turmericreach.daemon.exchanges import Exchanges
from turmericreach.daemon.member_watch import MemberWatch
from turmericreach.daemon.node import Node
from turmericreach.daemon.revisions import pack_revision
from turmericreach.manifest import MANIFEST_KIND, MANIFEST_NAME
from turmericreach.membership import (
    Digest,
    DigestReply,
    HostState,
    MemberRecord,
    Notice,
    Report,
    ReportReply,
    decode,
    encode,
)
from turmericreach.objectstore import HostRecord, ObjectStoreError, WatchExpired
from turmericreach.rpc import PeerError, PeerIncompatible
from turmericreach.telemetry import events, log_event
from turmericreach.verdicts import ErrorCode, RequestError
from turmericreach.weights import WantedVersion

__all__ = ["FleetSync"]

REPORT_INTERVAL_S = 1.0
DIGEST_INTERVAL_S = 1.0
HOSTS_INTERVAL_S = 2.0
WATCH_TIMEOUT_S = 25.0
WATCH_PAUSE_S = 1.0
CALL_TIMEOUT_S = 2.0
# Interval of contacts to addresses that are not live members, by which the two sides of a healed
# network partition find each other again.
BOOTSTRAP_INTERVAL_S = 5.0
WEIGHTS_KIND = "weights"
REPORT = "report"
DIGEST = "digest"
NOTICE = "notice"
REVISION = "revision"
# Relative spread of the intervals, so that processes do not all call at the same instant.
JITTER = 0.1


class FleetSync:
    """Keeps the member table, the configuration and the wanted versions of one process current.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.
    on_config : callable
        Called without arguments after a new generation was put in force.
    on_wanted : callable
        Called without arguments after a higher wanted version was received.
    """

    def __init__(self, node: Node, on_config, on_wanted):
        self.node = node
        self.on_wanted = on_wanted
        self.hosts: list[HostRecord] = []
        self.tasks: list[asyncio.Task] = []
        self.rng = random.Random(node.incarnation)
        self.last_bootstrap_at = float("-inf")
        self.platform_up: bool | None = None
        self.platform_down_at = node.started_at
        self.report_now = asyncio.Event()
        self.installer = ConfigInstaller(node, on_config, self.report_now.set)
        self.exchanges = Exchanges()
        self.member_watch = MemberWatch(node, self.is_relay)

    def start(self) -> None:
        """Start all loops."""
        loops = [
            self.report_loop,
            self.digest_loop,
            self.hosts_loop,
            self.manifest_loop,
            self.weights_loop,
            self.member_watch.run,
        ]
        for loop in loops:
            self.tasks.append(asyncio.ensure_future(self.supervise(loop)))

    async def stop(self) -> None:
        """Stop all loops and exchanges."""
        tasks = [*self.tasks, *self.exchanges.running.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def supervise(self, loop) -> None:
        """Run a loop and restart it after an unexpected error."""
        while True:
            try:
                await loop()
            except Exception as error:  # noqa: BLE001 - a fault of one loop must not end the process
                text = f"{type(error).__name__}: {error}"
                log_event(events.INTERNAL_ERROR, error=text, where=loop.__name__)
                await asyncio.sleep(WATCH_PAUSE_S)

    def is_relay(self) -> bool:
        """Return whether this process is a relay of its data centre."""
        relays = self.node.members.relays(self.node.settings.data_centre, self.node.now())
        return any(member.name == self.node.name for member in relays)

    # Reports

    async def report_loop(self) -> None:
        """Report to the relays once a second, and at once when `report_now` is set."""
        while True:
            self.report_now.clear()
            now = self.node.now()
            relays = self.node.members.relays(self.node.settings.data_centre, now)
            addresses = [item.address for item in relays if item.name != self.node.name]
            addresses += self.bootstrap_addresses(now)
            for address in addresses:
                self.exchanges.begin(f"report {address}", self.send_report, address)
            pause_s = REPORT_INTERVAL_S * (1 + self.rng.uniform(-JITTER, JITTER))
            try:
                async with asyncio.timeout(pause_s):
                    await self.report_now.wait()
            except TimeoutError:
                continue

    def bootstrap_addresses(self, now: float) -> list[str]:
        """Return a few addresses of possible members that are not known to be live.

        Two are of this data centre or of unknown place; a relay adds one of another data centre.
        """
        if (
            now - self.last_bootstrap_at < BOOTSTRAP_INTERVAL_S
            and len(self.node.members.records) > 1
        ):
            return []
        self.last_bootstrap_at = now
        live = {member.address for member in self.node.members.live(now)}
        own = self.node.members.own
        local, remote = [], []
        for address, data_centre in self.known_addresses():
            if address in live or address == own.address:
                continue
            (local if data_centre in ("", own.data_centre) else remote).append(address)
        chosen = self.rng.sample(local, min(2, len(local)))
        if self.is_relay():
            chosen += self.rng.sample(remote, min(1, len(remote)))
        return chosen

    def known_addresses(self) -> list[tuple[str, str]]:
        """Return address and data centre of the processes in settings, platform and manifest.

        The data centre of a seed from the settings is unknown and left empty.
        """
        found = [(seed, "") for seed in self.node.settings.seeds]
        for host in self.hosts:
            if ":" in host.address:
                found.append((host.address, host.data_centre))
        for target in self.node.targets.values():
            found.append((target.agent, target.data_centre))
        return sorted(set(found))

    async def send_report(self, address: str) -> None:
        """Send reports to a relay and apply its replies until it has no more changes to send."""
        try:
            client = await self.node.peers.get(address)
            more = True
            while more:
                report = self.node.members.make_report(client.peer.name, self.node.now())
                report = attrs.evolve(report, wanted=self.node.wanted.rows())
                body = await client.control(REPORT, encode(report), CALL_TIMEOUT_S)
                reply = decode(body, ReportReply)
                self.node.members.on_reply(reply, self.node.now())
                self.apply_wanted(reply.wanted)
                self.node.config.record_peer(reply.relay, reply.generation)
                more = reply.more
            if self.node.config.is_behind():
                await self.fetch_revision(client)
        except PeerIncompatible as error:
            self.node.log_incompatible(address, error)
        except (PeerError, msgspec.DecodeError):
            self.node.peers.evict(address)

    async def fetch_revision(self, client) -> None:
        """Fetch the configuration that a peer has in force and offer it to this process."""
        body = await client.control(REVISION, b"", CALL_TIMEOUT_S)
        if body:
            self.installer.offer_packed(body)

    # Digests between data centres

    async def digest_loop(self) -> None:
        """Exchange digests with the relays of the other data centres while this is a relay."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S * (1 + self.rng.uniform(-JITTER, JITTER)))
            if not self.is_relay():
                continue
            now = self.node.now()
            own = self.node.settings.data_centre
            data_centres = {member.data_centre for member in self.node.members.records.values()}
            peers: list[MemberRecord] = []
            for data_centre in sorted(data_centres - {own}):
                peers += self.node.members.relays(data_centre, now)
            for peer in peers:
                self.exchanges.begin(f"digest {peer.name}", self.send_digest, peer)

    async def send_digest(self, peer: MemberRecord) -> None:
        """Send a digest to a relay of another data centre and apply its reply."""
        try:
            client = await self.node.peers.get(peer.address)
            digest = self.node.members.make_digest(peer.name, self.node.now())
            digest = attrs.evolve(digest, wanted=self.node.wanted.rows())
            body = await client.control(DIGEST, encode(digest), CALL_TIMEOUT_S)
            reply = decode(body, DigestReply)
            self.node.members.on_digest_reply(reply, self.node.now())
            self.apply_wanted(reply.wanted)
            self.node.config.record_peer(reply.name, reply.generation)
            if self.node.config.is_behind():
                await self.fetch_revision(client)
        except (PeerError, msgspec.DecodeError):
            self.node.peers.evict(peer.address)

    # Calls of peers

    async def handle_control(self, kind: str, body: bytes) -> bytes:
        """Handle a control message of a peer and return the reply.

        Raises
        ------
        RequestError
            For an unknown kind.
        """
        if kind == REPORT:
            return self.handle_report(decode(body, Report))
        if kind == DIGEST:
            return self.handle_digest(decode(body, Digest))
        if kind == NOTICE:
            notice = decode(body, Notice)
            self.node.members.on_notice(notice, self.node.now())
            self.apply_wanted(notice.wanted)
            return b""
        if kind == REVISION:
            revision = self.node.config.revision
            return b"" if revision is None else pack_revision(revision.payload)
        raise RequestError(ErrorCode.BAD_REQUEST, f"unknown control message {kind}")

    def handle_report(self, report: Report) -> bytes:
        """Apply a report of a peer and return the reply with what the peer misses."""
        self.apply_wanted(report.wanted)
        reply = self.node.members.on_report(report, self.node.now())
        missing = self.node.wanted.missing_from(report.wanted)
        return encode(attrs.evolve(reply, wanted=missing))

    def handle_digest(self, digest: Digest) -> bytes:
        """Apply a digest of another relay and return the reply with what that relay misses."""
        self.apply_wanted(digest.wanted)
        self.node.config.record_peer(digest.name, digest.generation)
        reply = self.node.members.on_digest(digest, self.node.now())
        missing = self.node.wanted.missing_from(digest.wanted)
        return encode(attrs.evolve(reply, wanted=missing))

    def apply_wanted(self, rows: list[WantedVersion]) -> None:
        """Merge wanted versions and report those that are new to this process at once."""
        changed = self.node.wanted.merge(rows)
        for row in changed:
            log_event(
                events.VERSION_LEARNED,
                model=row.model,
                version=row.version,
                phase=row.phase,
                source=row.source,
            )
        if changed:
            self.report_now.set()
            self.on_wanted()

    # Platform

    def record_platform_state(self, up: bool, error: str = "") -> None:
        """Record whether the platform responds and log each change."""
        if not up:
            self.node.config.record_platform_unavailable()
        if up is self.platform_up:
            return
        if up and self.platform_up is False:
            log_event(events.PLATFORM_UP, seconds=self.node.now() - self.platform_down_at)
        if not up:
            self.platform_down_at = self.node.now()
            log_event(events.PLATFORM_DOWN, error=error)
        self.platform_up = up

    def needs_platform(self) -> bool:
        """Return whether this process reads from the platform itself.

        Relays always do; other processes only until they have their first configuration.
        """
        return self.is_relay() or self.node.config.generation == 0

    async def hosts_loop(self) -> None:
        """Read the platform's list of hosts while this process needs the platform."""
        while True:
            if self.needs_platform():
                try:
                    self.hosts = await self.node.store.hosts()
                    rows = [HostState(host.name, host.state.value) for host in self.hosts]
                    self.node.members.on_hosts(rows, self.node.now())
                    self.record_platform_state(True)
                except ObjectStoreError as error:
                    self.record_platform_state(False, str(error))
            await asyncio.sleep(HOSTS_INTERVAL_S * (1 + self.rng.uniform(-JITTER, JITTER)))

    async def manifest_loop(self) -> None:
        """Watch the manifest in the platform."""
        await self.watch_kind(MANIFEST_KIND, self.apply_manifest)

    async def weights_loop(self) -> None:
        """Watch the wanted versions in the platform."""
        await self.watch_kind(WEIGHTS_KIND, self.apply_stored_version)

    async def watch_kind(self, kind: str, apply) -> None:
        """List the objects of a kind and then watch them, while this process needs the platform.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        apply : callable
            Called with name and value of each object that was listed or changed.
        """
        revision = None
        while True:
            if not self.needs_platform():
                revision = None
                await asyncio.sleep(WATCH_PAUSE_S)
                continue
            try:
                if revision is None:
                    listing = await self.node.store.list(kind)
                    for item in listing.items:
                        apply(item.name, item.value)
                    revision = listing.revision
                    self.record_platform_state(True)
                    if kind == MANIFEST_KIND and not listing.items:
                        self.node.config.platform_responded = True
                result = await self.node.store.watch(kind, revision, WATCH_TIMEOUT_S)
                for event in result.events:
                    if event.value:
                        apply(event.name, event.value)
                revision = result.revision
            except WatchExpired:
                log_event(events.WATCH_EXPIRED, kind=kind, revision=revision)
                revision = None
            except ObjectStoreError as error:
                revision = None
                self.record_platform_state(False, str(error))
                await asyncio.sleep(WATCH_PAUSE_S * (1 + self.rng.random()))

    def apply_manifest(self, name: str, value: bytes) -> None:
        """Offer a manifest from the platform to the configuration; ignore other names."""
        if name == MANIFEST_NAME:
            self.installer.offer_stored(value)

    def apply_stored_version(self, name: str, value: bytes) -> None:
        """Apply a wanted version from the platform; log one that cannot be decoded."""
        try:
            self.apply_wanted([msgspec.json.decode(value, type=WantedVersion)])
        except msgspec.DecodeError as error:
            log_event(events.INTERNAL_ERROR, error=str(error), where=f"{WEIGHTS_KIND}/{name}")
