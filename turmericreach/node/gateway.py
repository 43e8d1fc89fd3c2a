"""The program on hosts that callers reach."""

import asyncio
import contextlib
import signal
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from turmericreach.batches.calls import BatchCalls
from turmericreach.batches.records import LOT_PREFIX, OWN_KIND
from turmericreach.batches.registry import BatchRegistry
from turmericreach.batches.scheduler import ItemScheduler
from turmericreach.batches.scoring import ScorerCalls
from turmericreach.batches.takeover import HandOver, LotTakeover
from turmericreach.http1 import ConnectionPool, HttpServer, Request, Responder
from turmericreach.metadata import KindMirror, MetadataClient, StoredObject
from turmericreach.node.configuration import ConfigurationHolder
from turmericreach.node.forwarder import Exchange, Forwarder
from turmericreach.node.lot_api import LotApi
from turmericreach.node.peers import HOST_PREFIX, PeerTable
from turmericreach.node.settings import NodeSettings
from turmericreach.node.target_watch import TargetWatch
from turmericreach.placement import retry_after_s
from turmericreach.platform import lots as lot_wire
from turmericreach.platform import store as store_wire
from turmericreach.platform.names import READY_PATH
from turmericreach.platform.targets import attempt_head, refusal_fields
from turmericreach.services import Route, RouteKind, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.versions.converger import LoadNotice, VersionConverger
from turmericreach.versions.duty import DUTY_NAME, OrderDuty
from turmericreach.versions.retirement import Retirements

__all__ = ["Gateway"]

CONNECT_TIMEOUT_S = 0.5
RESTART_PAUSE_S = 0.2
# Time limit of requests whose callers name none.
DEFAULT_TIME_LIMIT_S = 30.0
# The ready check is asked once a second, and two misses take a process out of rotation.
LEAVE_ROTATION_S = 2.6
# Left before the process is killed.
STOP_MARGIN_S = 1.0
STOP_POLL_S = 0.05


class Gateway:
    """Serves callers, runs lots, and gives orders when it holds that duty."""

    def __init__(self, settings: NodeSettings):
        self.settings = settings
        self.incarnation = uuid.uuid4().hex[:12]
        store = settings.store
        self.client = MetadataClient(store.address, store.writes_per_s, store.reads_per_s)
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S)
        self.directory = TargetDirectory()
        self.configuration = ConfigurationHolder()
        self.peers = PeerTable(
            settings.host,
            f"{settings.ip}:{settings.peer_port}",
            self.incarnation,
            self.client,
        )
        self.scheduler = ItemScheduler(self.directory)
        self.directory.on_change = self.scheduler.wake
        self.directory.on_removed = lambda target: self.pool.drop(target.record.address)
        self.registry = self.make_registry()
        self.lot_api = LotApi(BatchCalls(self.registry, self.client), self.client, self.peers)
        self.forwarder = Forwarder(self.directory, self.pool, settings.data_centre)
        self.duty = OrderDuty(settings.host, self.incarnation, self.client, self.peers)
        self.duty.lease_s = settings.timings.lease_s
        self.converger = VersionConverger(
            settings.host,
            self.duty,
            self.directory,
            self.peers,
            self.pool,
            self.registry.arrivals,
        )
        self.takeover = LotTakeover(self.registry, self.peers)
        self.retirements = Retirements(self.duty, self.client)
        self.target_watch = TargetWatch(self.directory, self.client)
        self.mirrors = self.make_mirrors()
        self.peers.mirrors = self.mirrors
        self.peers.directory = self.directory
        self.callers = HttpServer(self.handle_caller)
        self.ready_checks = HttpServer(self.handle_ready)
        self.peer_calls = HttpServer(self.handle_peer)
        self.stopping = asyncio.Event()
        self.stop_signal = ""
        self.tasks: list[asyncio.Task] = []
        self.started_at = 0.0
        self.was_ready = False

    def make_registry(self) -> BatchRegistry:
        """Return the registry of lots."""
        scorer_calls = ScorerCalls(
            lambda: self.configuration.current,
            self.directory,
            self.pool,
            self.settings.data_centre,
        )
        return BatchRegistry(
            self.settings.host,
            self.incarnation,
            self.client,
            self.scheduler,
            self.pool,
            scorer_calls,
            lambda: self.configuration.current,
        )

    def make_mirrors(self) -> dict[str, KindMirror]:
        """Return the mirrors of the kinds that this process follows."""
        listeners = {
            store_wire.CONFIGURATION_KIND: self.configuration,
            store_wire.TARGETS_KIND: self.target_watch,
            store_wire.VERSIONS_KIND: self.converger,
            store_wire.RETIREMENTS_KIND: self.retirements,
            OWN_KIND: self,
        }
        return {
            kind: KindMirror(self.client, kind, listener) for kind, listener in listeners.items()
        }

    # Objects of the product's own kind

    def object_changed(self, object: StoredObject) -> None:
        """Hand an object to the part that it concerns."""
        if object.name.startswith(LOT_PREFIX):
            self.registry.object_changed(object)
        elif object.name.startswith(HOST_PREFIX):
            self.peers.object_changed(object)
        elif object.name == DUTY_NAME:
            self.duty.object_changed(object)

    def object_removed(self, object: StoredObject) -> None:
        """Hand a removal to the part that it concerns."""
        if object.name.startswith(LOT_PREFIX):
            self.registry.object_removed(object)
        elif object.name.startswith(HOST_PREFIX):
            self.peers.object_removed(object)

    # Life

    async def run(self) -> None:
        """Serve until a signal asks to stop."""
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        log_event(
            events.NODE_STARTED,
            role=self.settings.role,
            host=self.settings.host,
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            settings=str(self.settings),
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ask_to_stop, number.name)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.configuration.on_change = self.apply_configuration
        await self.ready_checks.start(self.settings.ready_address)
        await self.peer_calls.start(self.peers.address)
        await self.callers.start(self.settings.caller_address)
        self.start_tasks()
        await self.stopping.wait()
        await self.stop()

    def start_tasks(self) -> None:
        """Start what goes on all the time."""
        self.supervise("store monitor", self.client.monitor)
        for kind, mirror in self.mirrors.items():
            self.supervise(f"mirror of {kind}", mirror.run)
        self.supervise("registration", self.register)
        self.supervise("peers", self.peers.run)
        self.supervise("items", self.scheduler.run)
        self.supervise("duty", self.duty.run)
        self.supervise("versions", self.converger.run)
        self.supervise("takeover", self.takeover.run)
        self.supervise("retirements", self.retirements.run)

    def supervise(self, name: str, function: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a function as a task, and again if it fails."""
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self.keep_running(name, function)))

    async def keep_running(
        self, name: str, function: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a function until it returns."""
        while True:
            try:
                await function()
                return
            except Exception as error:
                log_event(events.TASK_FAILED, task=name, error=f"{type(error).__name__}: {error}")
                await asyncio.sleep(RESTART_PAUSE_S)

    async def register(self) -> None:
        """Make this process known to the others, and take part once its lots are known."""
        await self.mirrors[OWN_KIND].synced.wait()
        self.duty.synced.set()
        await self.peers.register()

    def apply_configuration(self) -> None:
        """Use a new configuration's limits and models."""
        configuration = self.configuration.current
        self.callers.limits = configuration.limits
        self.converger.configuration = configuration
        self.converger.changed.set()
        self.scheduler.wake()

    def reload(self) -> None:
        """Note that the settings may have changed; addresses need a restart."""
        log_event(events.NODE_RELOADED, outcome="kept until a restart", settings=str(self.settings))

    def ask_to_stop(self, signal_name: str) -> None:
        """Begin to stop."""
        self.stop_signal = signal_name
        self.stopping.set()

    async def stop(self) -> None:
        """Leave the rotation, hand over the lots, and end when the requests are done."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.peers.leaving = True
        self.callers.closing = True
        log_event(
            events.NODE_STOPPING,
            signal=self.stop_signal,
            requests=self.callers.active,
            lots=len(self.registry.owned()),
        )
        self.duty.drop("stopping")
        await self.takeover.hand_over("stopping")
        stop_at = began + self.settings.timings.grace_s - STOP_MARGIN_S
        while loop.time() < stop_at:
            left_rotation = loop.time() - began >= LEAVE_ROTATION_S
            if left_rotation:
                self.callers.close_idle()
            if left_rotation and not self.callers.active and not self.callers.connections:
                break
            await asyncio.sleep(STOP_POLL_S)
        log_event(events.NODE_STOPPED, seconds=loop.time() - began, requests=self.callers.active)
        for task in self.tasks:
            task.cancel()
        for server in (self.callers, self.ready_checks, self.peer_calls):
            await server.stop()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)

    # Callers

    def not_ready_reason(self) -> str:
        """Return why callers should not come to this process, empty if they should."""
        if self.peers.leaving:
            return "stopping"
        if self.configuration.current is None:
            return "no configuration yet"
        if not self.mirrors[store_wire.TARGETS_KIND].synced.is_set():
            return "targets not listed yet"
        return ""

    def is_ready(self) -> bool:
        """Return whether callers should come to this process; log a change."""
        reason = self.not_ready_reason()
        if reason and self.was_ready:
            log_event(events.NODE_NOT_READY, reason=reason)
        if not reason and not self.was_ready:
            seconds = asyncio.get_running_loop().time() - self.started_at
            log_event(events.NODE_READY, seconds=seconds, version=self.configuration.version())
        self.was_ready = not reason
        return self.was_ready

    async def handle_ready(self, request: Request, responder: Responder) -> None:
        """Answer the ready check."""
        known = request.path == READY_PATH
        responder.send((200 if self.is_ready() else 503) if known else 404)

    async def handle_caller(self, request: Request, responder: Responder) -> None:
        """Answer a caller."""
        lot = lot_wire.lot_call(request.path)
        if lot is not None:
            await self.handle_lot(request, responder, lot)
            return
        lot = lot_wire.item_call(request.path)
        if lot is not None:
            await self.lot_api.read_body(request, responder, lot)
            return
        await self.handle_routed(request, responder)

    async def handle_lot(self, request: Request, responder: Responder, lot: str) -> None:
        """Answer a read or the end of a lot."""
        if request.method == "GET":
            await self.lot_api.read(request, responder, lot)
        elif request.method == "DELETE":
            await self.lot_api.end(request, responder, lot)
        else:
            responder.send(405)

    async def handle_routed(self, request: Request, responder: Responder) -> None:
        """Answer a request that a route selects."""
        configuration = self.configuration.current
        attempt = attempt_head(request.headers)
        if configuration is None:
            self.answer_own(request, responder, 503, "no configuration yet", True)
            return
        route = configuration.find_route(request.headers.get("host", ""), request.path)
        if route is None:
            if self.configuration_is_current():
                self.answer_own(request, responder, 404, "no route", False)
            else:
                self.answer_own(request, responder, 503, "no route known, store away", True)
            return
        if route.kind is RouteKind.BATCH:
            await self.handle_submission(request, responder, route)
            return
        limit_s = attempt.time_limit_s or DEFAULT_TIME_LIMIT_S
        exchange = Exchange(
            request=request,
            responder=responder,
            route=route,
            attempt=attempt,
            deadline=request.received_at + min(limit_s, route.timeout_s),
            configuration_version=configuration.version,
            configuration_age_s=self.configuration_age_s(),
        )
        await self.forwarder.forward(exchange)

    async def handle_submission(self, request: Request, responder: Responder, route: Route) -> None:
        """Answer the submission of a lot."""
        if request.method != "POST":
            responder.send(405)
            return
        await self.lot_api.submit(request, responder, route)

    def configuration_age_s(self) -> float:
        """Return the seconds since the store showed the configuration to be current."""
        mirror = self.mirrors[store_wire.CONFIGURATION_KIND]
        if self.client.available.is_set():
            return min(self.client.contact_age_s(), 1e9)
        return asyncio.get_running_loop().time() - mirror.confirmed_at

    def configuration_is_current(self) -> bool:
        """Return whether a route that is not known does not exist."""
        return self.client.in_contact()

    def answer_own(
        self, request: Request, responder: Responder, status: int, reason: str, starting: bool
    ) -> None:
        """Answer without a target."""
        retry_s = retry_after_s(False, starting) if status == 503 else None
        responder.send(status, refusal_fields(retry_s))
        log_event(
            events.REQUEST_ENDED,
            request=attempt_head(request.headers).id,
            status=status,
            ms=0.0,
            reason=reason,
            route="",
            attempts=0,
            time_left_ms=None,
            configuration=self.configuration.version(),
            configuration_age_s=round(self.configuration_age_s(), 3),
        )

    # Other processes

    async def handle_peer(self, request: Request, responder: Responder) -> None:
        """Answer another process."""
        if request.path == "/peer/status":
            responder.send(200, body=msgspec.json.encode(self.peers.own_status()))
            return
        if request.path == "/peer/loading":
            self.converger.take_notice(msgspec.json.decode(request.body, type=LoadNotice))
            responder.send(200)
            return
        if request.path == "/peer/take":
            taken = await self.takeover.take_from_peer(
                msgspec.json.decode(request.body, type=HandOver)
            )
            responder.send(200 if taken else 409)
            return
        await self.handle_caller(request, responder)
