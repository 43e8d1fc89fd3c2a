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
from turmericreach.http1 import ConnectionPool
from turmericreach.metadata import Conflict, MetadataError, StoredObject
from turmericreach.platform import documents
from turmericreach.platform.decoding import DecodeError
from turmericreach.services import Configuration, Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.versions.assignment import ModelNeeds, assign_models
from turmericreach.versions.demand import DemandTracker
from turmericreach.versions.division import Division, decode_division
from turmericreach.versions.engine_view import EngineView
from turmericreach.versions.order_sender import OrderSender
from turmericreach.versions.planner import max_concurrent_loads, plan_orders
from turmericreach.versions.turns import ModelTurns, turn_s

__all__ = ["VersionConverger"]

CHECK_INTERVAL_S = 0.1
# A trainer submits its lot just after it has requested a version. Loads wait this long, so that the
# items of the lot get the free slots first.
ARRIVAL_PAUSE_S = 0.15


class VersionConverger:
    """Sends load orders to engines while this process holds the coordinator duty.

    Attributes
    ----------
    duty : CoordinatorDuty
        Duty to coordinate, with its fencing token.
    directory : TargetDirectory
        All targets.
    peers : PeerTable
        The other processes.
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
    orders : OrderSender
        Sends the orders.
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
        self.duty = duty
        self.directory = directory
        self.peers = peers
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
        self.orders = OrderSender(host, duty, directory, peers, pool)
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
            *(self.orders.try_order(order, targets[order.target], token) for order in orders)
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
        self.assigned = {}
        if self.division is None:
            return
        try:
            self.assigned = dict(decode_division(self.division).engines)
        except DecodeError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=OWN_KIND, problem=str(error))

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
        spec = Division(self.assigned, reserved).spec()
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
            loading=self.orders.is_busy(target, now),
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

    def apply_load_notice(self, notice: LoadNotice) -> None:
        """Record a notification from another process that a target loads a version."""
        target = self.directory.targets.get(notice.target)
        if target is None:
            return
        now = asyncio.get_running_loop().time()
        target.loading_until = max(target.loading_until, now + notice.ready_in_s)
        target.record_version(notice.model, notice.version)
        self.directory.notify_changed()
