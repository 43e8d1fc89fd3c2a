"""The gateway program, which runs on hosts that callers reach."""

import asyncio
import signal
import uuid
from collections.abc import Callable

from turmericreach.batches.calls import BatchCalls
from turmericreach.batches.handover import LotHandover
from turmericreach.batches.model_work import work_of_runs
from turmericreach.batches.registry import BatchRegistry
from turmericreach.batches.scheduler import ItemScheduler
from turmericreach.batches.scoring import ScorerCalls
from turmericreach.coordination.crashing_requests import CrashingRequests
from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.duty_calls import DutyCaller
from turmericreach.coordination.leaving_targets import LeavingTargets
from turmericreach.coordination.names import (
    CRASHING_PREFIX,
    DIVISION_NAME,
    DUTY_NAME,
    HOST_PREFIX,
    OWN_KIND,
    SOFTWARE_PREFIX,
)
from turmericreach.coordination.peers import PeerTable
from turmericreach.coordination.permits import TargetPermits
from turmericreach.coordination.relay import RelaySource
from turmericreach.coordination.shared_state import SharedStateExchange
from turmericreach.coordination.software_records import SoftwareRecords
from turmericreach.coordination.stream_origins import StreamOrigins
from turmericreach.coordination.usage_exchange import UsageExchange
from turmericreach.duties import ReportTimings
from turmericreach.http1 import (
    ConnectionPool,
    HttpServer,
    ResponseLimits,
)
from turmericreach.metadata import KindMirror, MetadataClient, StoredObject
from turmericreach.node.authentication import CallerAuthentication
from turmericreach.node.caller_api import CallerApi
from turmericreach.node.configuration import ConfigurationHolder
from turmericreach.node.coordinator import Coordinator
from turmericreach.node.draining import drain_callers
from turmericreach.node.forwarder import Forwarder
from turmericreach.node.listening import start_listening
from turmericreach.node.lot_admission import LotAdmission
from turmericreach.node.lot_api import LotApi
from turmericreach.node.metrics_page import MetricsPage
from turmericreach.node.overload import OverloadControl
from turmericreach.node.overload_switch import OverloadSwitch
from turmericreach.node.own_objects import OwnObjects
from turmericreach.node.peer_api import PeerApi
from turmericreach.node.ready_check import ReadyCheck
from turmericreach.node.request_gate import RequestGate
from turmericreach.node.server_bounds import (
    CALLERS,
    METRICS,
    PEERS,
    READY,
    make_bounds,
    peer_limits,
    report_rejections,
    with_room,
)
from turmericreach.node.settings import NodeSettings
from turmericreach.node.settings_watch import SettingsWatch
from turmericreach.node.shutdown import Shutdown
from turmericreach.node.stop_handover import StopHandover
from turmericreach.node.supervision import TaskSupervisor
from turmericreach.node.target_watch import TargetWatch
from turmericreach.node.usage_meter import UsageMeter
from turmericreach.node.usage_reports import UsageReporter
from turmericreach.platform import store as store_wire
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.tenants import protect_keys
from turmericreach.services import Target, TargetDirectory
from turmericreach.sharing import SharedTables
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.unexpected import log_loop_error
from turmericreach.tenancy import TenantBalance
from turmericreach.versions.converger import VersionConverger
from turmericreach.versions.division import decode_division

__all__ = ["Gateway"]

CONNECT_TIMEOUT_S = 0.5
# Timeout of watches on kinds that are relayed by the coordinator; each response confirms that the
# local copy is current.
RELAYED_WATCH_WAIT_S = 1.4
# A process without contact with the metadata store and the coordinator for this long may have been
# replaced as the owner of its lots.
OWNERSHIP_TIMEOUT_S = 1.3


class Gateway:
    """Serves callers, runs lots, and coordinates while it holds the coordinator duty.

    Parameters
    ----------
    settings : NodeSettings
        Settings in force at the start.
    read_settings : callable, optional
        Returns the settings as they are now; by default they never change.
    """

    def __init__(
        self, settings: NodeSettings, read_settings: Callable[[], NodeSettings] | None = None
    ):
        self.settings = settings
        self.settings_watch = SettingsWatch(
            settings, read_settings or (lambda: settings), self.apply_settings
        )
        self.incarnation = uuid.uuid4().hex[:12]
        store = settings.store
        self.bounds = make_bounds(settings.memory_bytes, settings.max_descriptors)
        limits = ResponseLimits().within_memory(settings.memory_bytes)
        self.client = MetadataClient(store.address, store.writes_per_s, store.reads_per_s, limits)
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, limits=limits)
        self.shared = SharedTables()
        self.directory = TargetDirectory(
            self.shared.limits,
            self.shared.software,
            self.shared.leaving,
            settings.timings.drain_s,
        )
        self.configuration = ConfigurationHolder()
        self.peers = PeerTable(
            settings.host,
            f"{settings.ip}:{settings.peer_port}",
            self.incarnation,
            settings.cores,
            self.client,
            limits,
            self.shared,
        )
        self.shutdown = Shutdown(self.peers.is_another_available)
        self.overload: OverloadControl | None = None
        self.request_gate: RequestGate | None = None
        self.overload_switch = OverloadSwitch(settings, self.directory)
        self.placement = self.overload_switch.make_policy()
        self.permits = TargetPermits(self.directory.limits, self.peers)
        self.crashing_requests = CrashingRequests(self.shared.crashes, self.peers, self.client)
        self.origins = StreamOrigins(self.shared.origins, self.shared.software, self.peers)
        self.software_records = SoftwareRecords(
            self.shared.software, self.directory, self.peers, self.client
        )
        self.shared_state = SharedStateExchange(
            self.peers, self.permits, self.crashing_requests, LeavingTargets(self.directory)
        )
        self.scheduler = ItemScheduler(self.directory, self.placement, self.permits)
        self.registry = self.make_registry()
        self.handover = LotHandover(self.registry, self.peers)
        self.duty = CoordinatorDuty(
            settings.host, self.incarnation, settings.timings.lease_s, self.client, self.peers
        )
        self.converger = VersionConverger(
            settings.host,
            self.duty,
            self.directory,
            self.peers,
            self.pool,
            self.registry,
        )
        self.coordinator = Coordinator(
            self.duty,
            self.client,
            self.registry,
            self.peers,
            self.converger,
            settings.timings.result_lifetime_s,
        )
        self.duty_caller = DutyCaller(settings.cloud, self.duty, self.peers)
        self.start_duties()
        self.target_watch = TargetWatch(self.directory, self.client)
        self.mirrors = self.make_mirrors()
        self.authentication = CallerAuthentication(
            self.configuration,
            self.client,
            self.mirrors[store_wire.CONFIGURATION_KIND].age_s,
        )
        self.authentication.configure(settings)
        self.caller_server = self.make_servers()
        self.ready_check = ReadyCheck(self.not_ready_reason, self.configuration.version)
        self.ready_server = HttpServer(self.ready_check.handle, None, self.bounds, READY)
        self.metrics_page = MetricsPage(self)
        self.metrics_server = HttpServer(self.metrics_page.handle, None, self.bounds, METRICS)
        self.tasks = TaskSupervisor()
        self.stopping = asyncio.Event()
        self.stop_signal = ""
        self.connect_components()
        if settings.overload_control:
            self.start_overload_control()

    # Assembly

    def make_registry(self) -> BatchRegistry:
        """Return a new registry of lots."""
        scorer_calls = ScorerCalls(
            lambda: self.configuration.current,
            self.directory,
            self.pool,
            self.settings.data_centre,
            self.placement,
            self.permits,
        )
        return BatchRegistry(
            self.settings.host,
            self.incarnation,
            self.client,
            self.scheduler,
            self.pool,
            scorer_calls,
            lambda: self.configuration.current,
            self.settings.memory_bytes,
            self.overload_switch,
        )

    def start_duties(self) -> None:
        """Count requests and report them if the settings at the start ask for it."""
        cloud = self.settings.cloud
        if cloud is None or not cloud.reports_usage:
            return
        timings = ReportTimings(cloud.window_s, cloud.late_s)
        self.peers.usage = UsageExchange(self.peers, self.duty, timings)
        self.coordinator.usage_reporter = UsageReporter(
            self.duty, self.client, self.peers.usage, self.duty_caller
        )

    def make_mirrors(self) -> dict[str, KindMirror]:
        """Return the mirrors of the kinds that every process watches, by kind."""
        plain = RelaySource(self.client, self.peers)
        # Keys that are removed must be known also where only other gateways can be reached.
        keyed = RelaySource(self.client, self.peers, protect_keys, self.registry.tenants_apply)
        sources = {store_wire.CONFIGURATION_KIND: keyed}
        own_objects = OwnObjects(
            changed={
                HOST_PREFIX: self.peers.object_changed,
                CRASHING_PREFIX: self.crashing_requests.object_changed,
                SOFTWARE_PREFIX: self.software_records.object_changed,
                DUTY_NAME: self.duty.object_changed,
                DIVISION_NAME: self.division_changed,
            },
            removed={
                HOST_PREFIX: self.peers.object_removed,
                CRASHING_PREFIX: self.crashing_requests.object_removed,
                SOFTWARE_PREFIX: self.software_records.object_removed,
            },
        )
        listeners = {
            store_wire.CONFIGURATION_KIND: self.configuration,
            store_wire.TARGETS_KIND: self.target_watch,
            OWN_KIND: own_objects,
        }
        return {
            kind: KindMirror(sources.get(kind, plain), kind, listener, RELAYED_WATCH_WAIT_S)
            for kind, listener in listeners.items()
        }

    def make_servers(self) -> HttpServer:
        """Return the server for callers; set `lot_api` and the server for other processes."""
        self.lot_api = LotApi(
            BatchCalls(self.registry, self.client),
            self.client,
            self.peers,
            self.settings.store.value_bytes,
        )
        self.forwarder = forwarder = Forwarder(
            self.directory,
            self.pool,
            self.settings.data_centre,
            self.placement,
            self.permits,
            self.shared.crashes,
            self.origins,
            self.shutdown,
        )
        if self.peers.usage is not None:
            forwarder.attempts.meter = UsageMeter(self.peers.usage)
        caller_api = CallerApi(
            self.configuration,
            self.client,
            forwarder,
            self.lot_api,
            self.authentication,
            self.shutdown,
        )
        self.lot_admission = LotAdmission(
            self.scheduler, self.peers, lambda: self.configuration.current
        )
        peer_api = PeerApi(
            self.peers,
            self.mirrors,
            self.registry,
            self.handover,
            self.converger,
            caller_api,
            self.permits,
            self.shared_state,
            self.origins,
            self.duty_caller,
            self.lot_admission,
        )
        self.peer_server = HttpServer(
            peer_api.handle, peer_limits(self.settings.memory_bytes), self.bounds, PEERS
        )
        pools = [self.pool, self.peers.pool, self.client.pool]
        for pool in pools:
            pool.buffers.shared = self.bounds.memory
        handler = with_room(caller_api.handle, self.bounds, pools)
        return HttpServer(handler, None, self.bounds, CALLERS)

    def start_overload_control(self) -> None:
        """Limit scorer calls and hedges, and reject at arrival what cannot be served."""
        self.overload = OverloadControl(self.directory)
        self.overload.connect(self.forwarder, self.scheduler)
        self.registry.scorer_calls.stage = self.overload.scoring
        self.request_gate = RequestGate(
            self.forwarder.attempts, self.settings.memory_bytes, TenantBalance()
        )
        self.forwarder.gate = self.request_gate
        self.lot_api.calls.admission = self.lot_admission
        self.converger.usual_demand = True

    def connect_components(self) -> None:
        """Register the callbacks between components."""
        self.directory.on_shared_hosts = self.shared_hosts_found
        self.directory.on_change = self.scheduler.wake
        self.directory.on_removed = self.target_removed
        self.registry.can_confirm_ownership = self.is_ownership_confirmed
        self.origins.is_current = self.has_recent_contact
        self.peers.mirrors = self.mirrors
        self.peers.directory = self.directory
        self.peers.newest_lot = lambda: self.registry.newest_revision
        self.peers.own_work = lambda: work_of_runs(self.scheduler.runs.values())
        self.peers.on_status = self.shared_state.update
        self.configuration.on_change = self.apply_configuration

    def shared_hosts_found(self) -> None:
        """Control overload, since targets share their hosts with other work."""
        if self.overload is None:
            self.start_overload_control()
            self.tasks.start("load of the process", self.request_gate.measure)

    def division_changed(self, object: StoredObject) -> None:
        """Apply a changed division of the engines."""
        self.converger.division_changed(object)
        try:
            self.scheduler.apply_division(decode_division(object))
        except DecodeError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=str(error))

    def target_removed(self, target: Target) -> None:
        """Drop the connections to a target that was removed, and its permits."""
        self.pool.remove_address(target.record.address)
        self.permits.remove(target.id)

    def apply_configuration(self) -> None:
        """Apply the limits and models of a new configuration."""
        configuration = self.configuration.current
        self.caller_server.limits = configuration.limits
        self.converger.configuration = configuration
        self.converger.changed.set()
        self.scheduler.wake()

    def is_ownership_confirmed(self) -> bool:
        """Return whether recent contact proves that this process still owns its lots."""
        if not self.handover.is_ownership_confirmed():
            return False
        return self.duty.token is not None or self.has_recent_contact()

    def has_recent_contact(self) -> bool:
        """Return whether the metadata store or the coordinator has been heard of recently."""
        if self.client.last_response_age_s() < OWNERSHIP_TIMEOUT_S:
            return True
        now = asyncio.get_running_loop().time()
        return now - self.peers.last_coordinator_ping_at < OWNERSHIP_TIMEOUT_S

    # Start and stop

    async def run(self) -> None:
        """Serve until a signal requests a stop.

        Raises
        ------
        ListenError
            If an address in the settings cannot be bound.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(log_loop_error)
        self.ready_check.started_at = loop.time()
        log_event(
            events.NODE_STARTED,
            role=self.settings.role,
            host=self.settings.host,
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            settings=str(self.settings),
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop, number.name)
        loop.add_signal_handler(signal.SIGHUP, self.settings_watch.reload, signal.SIGHUP.name)
        await start_listening(self.ready_server, self.settings.ready_address)
        await start_listening(self.peer_server, self.peers.address)
        await start_listening(self.caller_server, self.settings.caller_address)
        await self.serve_metrics()
        self.start_tasks()
        await self.stopping.wait()
        await self.stop()

    async def serve_metrics(self) -> None:
        """Serve metrics if the settings name a port.

        If the port cannot be bound, this is logged and the process runs without metrics.
        """
        if not self.settings.metrics_port:
            return
        self.metrics_page.listen()
        try:
            await self.metrics_server.start(f"{self.settings.ip}:{self.settings.metrics_port}")
        except OSError as error:
            log_event(events.METRICS_NOT_SERVED, port=self.settings.metrics_port, error=str(error))
            return
        self.tasks.start("loop lag", self.metrics_page.measure_lag)

    def start_tasks(self) -> None:
        """Start the background tasks."""
        self.tasks.start("store monitor", self.client.monitor)
        for kind, mirror in self.mirrors.items():
            self.tasks.start(f"mirror of {kind}", mirror.run)
        self.tasks.start("registration", self.join_peers)
        self.tasks.start("peers", self.peers.run)
        self.tasks.start("items", self.scheduler.run)
        self.tasks.start("hand-over", self.handover.run)
        self.tasks.start("coordinator", self.coordinator.run)
        self.tasks.start("crashing requests", self.crashing_requests.run)
        self.tasks.start("software of targets", self.software_records.run)
        self.tasks.start("settings", self.settings_watch.run)
        if self.request_gate is not None:
            self.tasks.start("load of the process", self.request_gate.measure)
        self.tasks.start("rejected clients", lambda: report_rejections(self.bounds.rejections))

    async def join_peers(self) -> None:
        """Register this process with its peers, then take part in electing the coordinator."""
        await self.mirrors[OWN_KIND].synced.wait()
        await self.peers.register()
        await self.duty.run()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the settings that can change without a restart."""
        self.settings = settings
        store = settings.store
        self.client.configure(store.address, store.writes_per_s, store.reads_per_s)
        self.lot_api.value_bytes = store.value_bytes
        self.duty.lease_s = settings.timings.lease_s
        self.directory.drain_s = settings.timings.drain_s
        self.coordinator.set_result_lifetime(settings.timings.result_lifetime_s)
        self.peers.cores = settings.cores
        self.duty_caller.cloud = settings.cloud or self.duty_caller.cloud
        self.authentication.configure(settings)

    def request_stop(self, signal_name: str) -> None:
        """Request a stop; the name of the signal is logged."""
        self.stop_signal = signal_name
        self.shutdown.begin(self.settings.timings.grace_s)
        self.stopping.set()

    async def stop(self) -> None:
        """Leave the rotation, hand over the lots, and close once no requests are in progress.

        The times of the stop follow from the signal: neither a handover that takes long nor changed
        settings move them.
        """
        loop = asyncio.get_running_loop()
        times = self.shutdown.times
        self.peers.leaving = True
        self.caller_server.closing = True
        log_event(
            events.NODE_STOPPING,
            signal=self.stop_signal,
            requests=self.caller_server.active,
            lots=len(self.registry.owned_records()),
        )
        self.duty.release("stopping")
        stop_handover = StopHandover(self.peers, self.handover)
        handover = loop.create_task(stop_handover.run())
        await drain_callers(self.caller_server, self.shutdown, handover)
        await stop_handover.finish(handover, times)
        log_event(
            events.NODE_STOPPED,
            seconds=loop.time() - times.began,
            requests=self.caller_server.active,
            store_calls=str(self.client.calls),
        )
        await self.close()

    async def close(self) -> None:
        """Stop all tasks and servers and close all connections."""
        self.tasks.stop()
        for lot in list(self.scheduler.runs):
            self.registry.stop_run(lot, "the process is stopping")
        self.metrics_page.close()
        for server in (
            self.caller_server,
            self.ready_server,
            self.peer_server,
            self.metrics_server,
        ):
            await server.stop()
        for pool in (self.pool, self.client.pool, self.peers.pool, self.duty_caller.pool):
            pool.close()
        await asyncio.sleep(0)

    # Ready check

    def not_ready_reason(self) -> str:
        """Return why callers should not use this process, or an empty string if they should."""
        if self.peers.leaving:
            return "stopping"
        if self.configuration.current is None:
            return "no configuration yet"
        if not self.mirrors[store_wire.TARGETS_KIND].synced.is_set():
            return "targets not listed yet"
        return ""

    def is_ready(self) -> bool:
        """Return whether callers should use this process, and log a change of that state."""
        return self.ready_check.is_ready()
