"""Brings targets to the versions of the weights that trainers have requested."""

import asyncio
from collections.abc import Mapping

from turmericreach.batches.arrivals import ModelArrival, tokens_per_item
from turmericreach.batches.model_work import ModelWork
from turmericreach.batches.registry import BatchRegistry
from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.messages import LoadNotice
from turmericreach.coordination.names import DIVISION_NAME, OWN_KIND
from turmericreach.coordination.peers import PeerTable
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseHead, ResponseIncomplete
from turmericreach.metadata import Conflict, MetadataError, StoredObject
from turmericreach.platform import documents
from turmericreach.platform import targets as wire
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.names import REPORT_PATH
from turmericreach.services import Configuration, Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.unexpected import log_unexpected
from turmericreach.versions.assignment import ModelNeeds, assign_models
from turmericreach.versions.demand import DemandTracker
from turmericreach.versions.engine_view import EngineView
from turmericreach.versions.planner import LoadOrder, max_concurrent_loads, plan_orders
from turmericreach.versions.turns import ModelTurns, turn_s

__all__ = ["VersionConverger"]

CHECK_INTERVAL_S = 0.1
# Targets respond to an order at once. After a timeout the order can safely be sent again, since it
# is conditional on the number of orders that the target has accepted.
ORDER_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 0.6
# A load takes 0.9 s, and longer while several targets load.
LOAD_S = 1.0
# Pause before the report of a target is read after an order with unknown outcome.
UNKNOWN_OUTCOME_PAUSE_S = 0.3
# Pause before another order to a target that has rejected one or is still loading.
BUSY_PAUSE_S = 0.3
# A trainer submits its lot just after it has requested a version. Loads wait this long, so that the
# items of the lot get the free slots first.
ARRIVAL_PAUSE_S = 0.15


class VersionConverger:
    """Sends load orders to engines while this process holds the coordinator duty.

    Attributes
    ----------
    host : str
        Name of this host, the sender of the orders.
    duty : CoordinatorDuty
        Duty to coordinate, with its fencing token.
    directory : TargetDirectory
        All targets.
    peers : PeerTable
        The other processes.
    pool : ConnectionPool
        Connections to targets.
    configuration : Configuration or None
        Current configuration, None until it has been read.
    registry : BatchRegistry
        Known lots.
    demand_tracker : DemandTracker
        Follows which models have work.
    turns : ModelTurns
        Turns of models that are more than there are engines.
    assigned_token : int or None
        Fencing token of the term of the duty in which `assigned` was made.
    client : MetadataClient
        Client of the metadata store.
    division : StoredObject or None
        Stored object that assigns a model to each engine, as last read or written.
    requested_versions : dict of str to int
        Newest version of each model that a trainer has requested.
    requested_at : dict of str to float
        Loop time at which the newest version of each model was requested.
    assigned : dict of str to str
        Model that each engine serves, by target id.
    orders_accepted : dict of str to int
        Number of orders that each target has accepted; targets whose number has to be read from
        their report first are missing.
    busy_until : dict of str to float
        Loop time until which each target gets no order.
    changed : asyncio.Event
        Set when orders may have become due before the next periodic check.
    usual_demand : bool
        Whether engines are divided by the usual work of each model's lots instead of the newest.
    """

    def __init__(
        self,
        host: str,
        duty: CoordinatorDuty,
        directory: TargetDirectory,
        peers: PeerTable,
        pool: ConnectionPool,
        registry: BatchRegistry,
    ):
        self.host = host
        self.duty = duty
        self.directory = directory
        self.peers = peers
        self.pool = pool
        self.configuration: Configuration | None = None
        self.registry = registry
        self.demand_tracker = DemandTracker()
        self.turns = ModelTurns()
        self.assigned_token: int | None = None
        self.client = duty.client
        self.division: StoredObject | None = None
        self.requested_versions: dict[str, int] = {}
        self.requested_at: dict[str, float] = {}
        self.assigned: dict[str, str] = {}
        self.orders_accepted: dict[str, int] = {}
        self.busy_until: dict[str, float] = {}
        self.changed = asyncio.Event()
        self.usual_demand = False

    @property
    def arrivals(self) -> Mapping[str, ModelArrival]:
        """Newest lot of each model."""
        return self.registry.arrivals

    def object_changed(self, object: StoredObject) -> None:
        """Record the version that a trainer requests, if it is the highest one of its model."""
        try:
            version = documents.decode_version(object)
        except DecodeError as error:
            problem = f"{object.name}: {error}"
            log_event(events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=problem)
            return
        if version.version <= self.requested_versions.get(version.model, 0):
            return
        self.requested_versions[version.model] = version.version
        self.requested_at[version.model] = asyncio.get_running_loop().time()
        log_event(
            events.VERSION_NAMED,
            model=version.model,
            version=version.version,
            revision=object.revision,
        )
        self.changed.set()

    def object_removed(self, object: StoredObject) -> None:
        """Do nothing: targets never return to an older version."""

    async def run(self) -> None:
        """Send orders as they become due, until cancelled."""
        while True:
            if self.duty.token is not None and self.configuration is not None:
                await self.converge()
            self.changed.clear()
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def converge(self) -> None:
        """Update the assignment of engines to models and send the orders that are due now."""
        now = asyncio.get_running_loop().time()
        targets = self.engine_targets()
        views = [self.engine_view(target, now) for target in targets.values()]
        models = self.configuration.engine_models()
        requested_versions = {model: self.requested_versions.get(model, 1) for model in models}
        if not requested_versions:
            return
        await self.divide_engines(views, models, now)
        deferred = {model for model in models if self.must_defer_loads(model, now)}
        orders = plan_orders(
            views, requested_versions, self.assigned, max_concurrent_loads(len(views)), deferred
        )
        if not orders:
            return
        token = await self.duty.verified_token()
        if token is None:
            return
        await asyncio.gather(
            *(self.try_order(order, targets[order.target], token) for order in orders)
        )

    async def divide_engines(self, views: list[EngineView], models: list[str], now: float) -> None:
        """Assign the engines to the models that need them, and publish the assignment."""
        if self.duty.token != self.assigned_token:
            self.begin_term(now)
        work = self.present_work(now)
        needs = self.demand_tracker.needs(
            self.configuration, self.demand(models), self.arrivals, self.requested_at, work, now
        )
        assigned = assign_models(views, needs, self.assigned)
        waiting = [model for model in models if model in work and work[model].waiting]
        due_s = min((part.due_s for part in work.values()), default=0.0)
        reserved = self.turns.advance(
            views, needs, assigned, waiting, turn_s(len(views), len(needs.working), due_s), now
        )
        self.assigned = assigned
        await self.publish_division(needs, reserved)

    def begin_term(self, now: float) -> None:
        """Continue the stored assignment, since another process may have changed it meanwhile."""
        self.assigned_token = self.duty.token
        self.demand_tracker.restart(now)
        self.turns = ModelTurns()
        self.assigned = {} if self.division is None else dict(self.division.spec["engines"])

    def present_work(self, now: float) -> dict[str, ModelWork]:
        """Return the work of each model, with that of lots whose owner is not reachable."""
        work = self.peers.work_by_model(now)
        for model in self.registry.models_of_absent_owners(self.peers.live_hosts(now)):
            if model not in work:
                work[model] = ModelWork(model, 0, 1, self.services_of_newest_lot(model), 0.0)
        return work

    def services_of_newest_lot(self, model: str) -> list[str]:
        """Return the services to which the newest lot of a model goes, as far as they are known."""
        arrival = self.arrivals.get(model)
        if arrival is None:
            return []
        route = self.configuration.find_route(arrival.host, arrival.path)
        return [] if route is None else route.active_services()

    def engine_targets(self) -> dict[str, Target]:
        """Return all engines that accept requests, by target id."""
        found = {}
        for service in self.configuration.services.values():
            if service.engine is None:
                continue
            for target in self.directory.accepting_targets(service.name):
                found[target.id] = target
        return found

    async def publish_division(self, needs: ModelNeeds, reserved: frozenset[str]) -> None:
        """Write the assignment of engines to models to the metadata store, if it has changed."""
        current = self.division
        spec: dict[str, object] = {"engines": self.assigned}
        if reserved:
            spec["reserved"] = sorted(reserved)
        if current is not None and current.spec == spec:
            return
        now = asyncio.get_running_loop().time()
        try:
            if current is None:
                self.division = await self.client.create(OWN_KIND, DIVISION_NAME, spec, now)
            else:
                self.division = await self.client.replace(
                    OWN_KIND, DIVISION_NAME, spec, current.revision, now
                )
        except Conflict as conflict:
            self.division = conflict.current
        except MetadataError:
            # One of the next checks writes it; meanwhile the stored assignment remains in effect.
            return
        log_event(
            events.DIVISION_CHANGED,
            division=str(self.assigned),
            demand=str(dict(needs.demand)),
            working=str(sorted(needs.working)),
            reserved=str(sorted(reserved)),
        )

    def division_changed(self, object: StoredObject) -> None:
        """Record the stored assignment of engines to models, unless a newer one is known."""
        if self.division is None or object.revision > self.division.revision:
            self.division = object

    def demand(self, models: list[str]) -> dict[str, float]:
        """Return the expected tokens of a lot by model; a model without one gets the highest.

        Load pattern: lots have long tails and rough estimates, so the expected work of two lots of
        a model in a row differs by a third. Engines that follow the newest lots change between
        models, and each change costs a load. So where the settings ask for control of overload,
        the usual work of the model's lots counts.
        """
        known = {}
        for model in models:
            arrival = self.arrivals.get(model)
            if arrival is None:
                continue
            known[model] = arrival.usual_tokens if self.usual_demand else arrival.expected_tokens
        default = max(known.values(), default=1.0)
        return {model: known.get(model, default) for model in models}

    def must_defer_loads(self, model: str, now: float) -> bool:
        """Return whether loads of a model wait for a lot that is about to occupy the free slots."""
        requested_at = self.requested_at.get(model, 0.0)
        if now < requested_at + ARRIVAL_PAUSE_S:
            return True
        arrival = self.arrivals.get(model)
        if arrival is None or arrival.at < requested_at - ARRIVAL_PAUSE_S:
            return False
        return now < arrival.at + ARRIVAL_PAUSE_S

    def engine_view(self, target: Target, now: float) -> EngineView:
        """Return the state of a target that the planner needs."""
        return EngineView(
            id=target.id,
            versions=target.model_versions,
            slots=target.record.slots,
            event_s=target.latency_s or self.peers.event_s(target.id),
            loading=now < self.busy_until.get(target.id, 0.0),
            limit_events_per_s=self.limit_events_per_s(target),
            service=target.record.service,
        )

    def limit_events_per_s(self, target: Target) -> float:
        """Return the events per second that the limit of a target permits, else infinity."""
        per_s = self.directory.limits.per_s(target.id)
        if per_s is None:
            return float("inf")
        if per_s <= 0:
            return 0.0
        service = self.configuration.services[target.record.service]
        tokens_per_event = max(service.engine.tokens_per_event, 1.0)
        return per_s * tokens_per_item(self.arrivals.values()) / tokens_per_event

    async def try_order(self, order: LoadOrder, target: Target, token: int) -> None:
        """Send one order; an unexpected error ends this order alone, and it is sent again later."""
        try:
            await self.send_order(order, target, token)
        except Exception as error:
            log_unexpected("order", target.id, error)
            self.orders_accepted.pop(target.id, None)

    async def send_order(self, order: LoadOrder, target: Target, token: int) -> None:
        """Send one order, record its outcome and log it.

        Parameters
        ----------
        order : LoadOrder
            Order to send.
        target : Target
            Target of the order.
        token : int
            Fencing token of the coordinator duty.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.busy_until[target.id] = started_at + ORDER_TIMEOUT_S + UNKNOWN_OUTCOME_PAUSE_S
        expected = self.orders_accepted.get(target.id)
        if expected is None:
            expected = await self.fetch_orders_accepted(target)
            if expected is None or target.model_versions.get(order.model, 0) >= order.version:
                self.busy_until[target.id] = loop.time() + BUSY_PAUSE_S
                return
        status = await self.post_order(order, target, token, expected)
        now = loop.time()
        if status in (200, 202):
            self.record_accepted_order(order, target, now, loaded=status == 200)
            await self.notify_peers(order, now)
        elif status == 412:
            self.duty.release("a target has seen a higher fencing token")
        else:
            # The target may have accepted the order, or may still accept it. Its report has to be
            # read before another order is sent.
            self.orders_accepted.pop(target.id, None)
            pause_s = BUSY_PAUSE_S if status is not None else UNKNOWN_OUTCOME_PAUSE_S
            self.busy_until[target.id] = now + pause_s
        log_event(
            events.ORDER_SENT,
            target=target.id,
            model=order.model,
            version=order.version,
            outcome="no answer" if status is None else f"status {status}",
            fencing=token,
            expected_orders=expected,
            ms=round((now - started_at) * 1000, 1),
        )

    def record_accepted_order(
        self, order: LoadOrder, target: Target, now: float, loaded: bool
    ) -> None:
        """Record that a target has accepted an order or has loaded the version already.

        Parameters
        ----------
        order : LoadOrder
            Accepted order.
        target : Target
            Target of the order.
        now : float
            Loop time in seconds.
        loaded : bool
            Whether the target had already loaded the version, so that no load begins.
        """
        if not loaded:
            self.orders_accepted[target.id] = self.orders_accepted.get(target.id, 0) + 1
        pause_s = 0.0 if loaded else LOAD_S
        self.busy_until[target.id] = now + pause_s
        target.loading_until = now + pause_s
        target.record_version(order.model, order.version)

    async def notify_peers(self, order: LoadOrder, now: float) -> None:
        """Notify the other processes, whose records of the target are updated only later."""
        ready_in_s = max(self.busy_until[order.target] - now, 0.0)
        notice = LoadNotice(order.target, order.model, order.version, ready_in_s)
        await self.peers.send_to_all("/peer/loading", notice)

    def apply_load_notice(self, notice: LoadNotice) -> None:
        """Record a notification from another process that a target loads a version."""
        target = self.directory.targets.get(notice.target)
        if target is None:
            return
        now = asyncio.get_running_loop().time()
        target.loading_until = max(target.loading_until, now + notice.ready_in_s)
        target.record_version(notice.model, notice.version)
        self.directory.notify_changed()

    async def fetch_orders_accepted(self, target: Target) -> int | None:
        """Return the number of orders that a target has accepted, from its report.

        Returns None if there is no report, if the target is still loading, or if the report is from
        another run of the target than the known record.
        """
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                head, body = await self.pool.fetch(
                    target.record.address,
                    "GET",
                    REPORT_PATH,
                    wire.report_fields(),
                    echo=wire.echo_field(),
                )
            if head.status != 200:
                return None
            report = wire.decode_report(body)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError) as error:
            log_event(
                events.ORDER_SENT,
                target=target.id,
                model="",
                version=0,
                outcome=f"no report: {type(error).__name__} {error}",
                fencing=self.duty.token,
                expected_orders=None,
                ms=0.0,
            )
            return None
        if report.loading:
            self.busy_until[target.id] = asyncio.get_running_loop().time() + BUSY_PAUSE_S
            return None
        if target.record.started_ms and report.started_ms not in (0, target.record.started_ms):
            return None
        self.record_leave(target, head)
        target.model_versions.update(report.versions)
        self.orders_accepted[target.id] = report.orders_accepted
        return report.orders_accepted

    async def post_order(
        self, order: LoadOrder, target: Target, token: int, expected: int
    ) -> int | None:
        """Send an order over HTTP.

        Parameters
        ----------
        order : LoadOrder
            Order to send.
        target : Target
            Target of the order.
        token : int
            Fencing token of the coordinator duty.
        expected : int
            Number of orders that the target must have accepted so far; otherwise it rejects it.

        Returns
        -------
        int or None
            Status code of the response, None if there was no complete response.
        """
        self.peers.last_order_at = asyncio.get_running_loop().time()
        message = wire.VersionOrder(order.model, order.version, self.host, token, expected)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                head, _ = await self.pool.fetch(
                    target.record.address,
                    "POST",
                    wire.ORDER_PATH,
                    wire.order_fields(target.id),
                    wire.encode_order(message),
                    wire.echo_field(),
                )
        except (ConnectFailed, ResponseIncomplete, TimeoutError):
            # send_order logs an order without a response.
            return None
        self.record_leave(target, head)
        return head.status

    def record_leave(self, target: Target, head: ResponseHead) -> None:
        """Record whether a response of a target announces that it leaves."""
        if wire.read_response_head(head.status, head.headers).leaving:
            self.directory.record_leave(target, asyncio.get_running_loop().time())
