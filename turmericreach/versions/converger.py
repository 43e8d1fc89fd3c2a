"""Brings targets to the versions that trainers have named."""

import asyncio
from collections.abc import Mapping

from turmericreach.batches.registry import ModelArrival
from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.messages import LoadNotice
from turmericreach.coordination.names import DIVISION_NAME, OWN_KIND
from turmericreach.coordination.peers import PeerTable
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseIncomplete
from turmericreach.metadata import Conflict, MetadataError, StoredObject
from turmericreach.platform import documents
from turmericreach.platform import targets as wire
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.names import REPORT_PATH
from turmericreach.services import Configuration, Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.versions.planner import (
    EngineView,
    LoadOrder,
    assign_models,
    loads_at_once,
    plan_orders,
)

__all__ = ["VersionConverger"]

CHECK_INTERVAL_S = 0.1
# An order is answered at once; a late answer costs no more than asking again under its condition.
ORDER_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 0.6
# A load takes 0.9 s; longer while several targets load.
LOAD_S = 1.0
# An order whose outcome is not known is looked into after this long.
UNKNOWN_PAUSE_S = 0.3
BUSY_PAUSE_S = 0.3
# A trainer submits its lot just after it has named a version; items take the free slots first.
ARRIVAL_PAUSE_S = 0.15


class VersionConverger:
    """Gives orders while the duty is held.

    Attributes
    ----------
    named : dict of str to int
        Newest version of each model that a trainer has named.
    assigned : dict of str to str
        Model of each target.
    """

    def __init__(
        self,
        host: str,
        duty: CoordinatorDuty,
        directory: TargetDirectory,
        peers: PeerTable,
        pool: ConnectionPool,
        arrivals: Mapping[str, ModelArrival],
    ):
        self.host = host
        self.duty = duty
        self.directory = directory
        self.peers = peers
        self.pool = pool
        self.configuration: Configuration | None = None
        self.arrivals = arrivals
        self.client = duty.client
        self.division: StoredObject | None = None
        self.named: dict[str, int] = {}
        self.named_at: dict[str, float] = {}
        self.assigned: dict[str, str] = {}
        self.orders_accepted: dict[str, int] = {}
        self.busy_until: dict[str, float] = {}
        self.changed = asyncio.Event()

    def object_changed(self, object: StoredObject) -> None:
        """Take a version that a trainer names; the highest one counts."""
        try:
            version = documents.decode_version(object)
        except DecodeError as error:
            problem = f"{object.name}: {error}"
            log_event(events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=problem)
            return
        if version.version <= self.named.get(version.model, 0):
            return
        self.named[version.model] = version.version
        self.named_at[version.model] = asyncio.get_running_loop().time()
        log_event(
            events.VERSION_NAMED,
            model=version.model,
            version=version.version,
            revision=object.revision,
        )
        self.changed.set()

    def object_removed(self, object: StoredObject) -> None:
        """Keep the version: targets are never taken back to an older one."""

    async def run(self) -> None:
        """Give orders as they become due, until cancelled."""
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
        """Give the orders that are due now."""
        now = asyncio.get_running_loop().time()
        targets = self.engine_targets()
        views = [self.view(target, now) for target in targets.values()]
        models = self.configuration.engine_models()
        named = {model: self.named.get(model, 1) for model in models}
        if not named:
            return
        demand = self.demand(models)
        self.assigned = assign_models(views, demand, self.assigned)
        await self.publish_division(demand)
        held = {model for model in models if self.is_held(model, now)}
        orders = plan_orders(views, named, self.assigned, loads_at_once(len(views)), held)
        if not orders:
            return
        token = await self.duty.verified_token()
        if token is None:
            return
        await asyncio.gather(*(self.give(order, targets[order.target], token) for order in orders))

    def engine_targets(self) -> dict[str, Target]:
        """Return the targets of all engines that take requests."""
        found = {}
        for service in self.configuration.services.values():
            if service.engine is None:
                continue
            for target in self.directory.of_service(service.name):
                found[target.id] = target
        return found

    async def publish_division(self, demand: dict[str, float]) -> None:
        """Write which engine serves which model, if it has changed."""
        current = self.division
        spec = {"engines": self.assigned}
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
            # Written at one of the next rounds; engines serve as divided before meanwhile.
            return
        log_event(events.DIVISION_CHANGED, division=str(self.assigned), demand=str(demand))

    def division_changed(self, object: StoredObject) -> None:
        """Take the division as it is stored."""
        if self.division is None or object.revision > self.division.revision:
            self.division = object

    def demand(self, models: list[str]) -> dict[str, float]:
        """Return the expected tokens of a lot of each model."""
        known = {}
        for model in models:
            if model in self.arrivals:
                known[model] = self.arrivals[model].expected_tokens
        usual = max(known.values(), default=1.0)
        return {model: known.get(model, usual) for model in models}

    def is_held(self, model: str, now: float) -> bool:
        """Return whether a lot of a model is about to take the free slots."""
        named_at = self.named_at.get(model, 0.0)
        if now < named_at + ARRIVAL_PAUSE_S:
            return True
        arrival = self.arrivals.get(model)
        if arrival is None or arrival.at < named_at - ARRIVAL_PAUSE_S:
            return False
        return now < arrival.at + ARRIVAL_PAUSE_S

    def view(self, target: Target, now: float) -> EngineView:
        """Return a target as the planner sees it."""
        return EngineView(
            id=target.id,
            versions=target.model_versions,
            slots=target.record.slots,
            event_s=target.latency_s or self.peers.event_s(target.id),
            loading=now < self.busy_until.get(target.id, 0.0),
        )

    async def give(self, order: LoadOrder, target: Target, token: int) -> None:
        """Give one order and note what became of it."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.busy_until[target.id] = began + ORDER_TIMEOUT_S + UNKNOWN_PAUSE_S
        expected = self.orders_accepted.get(target.id)
        if expected is None:
            expected = await self.refresh(target)
            if expected is None or target.model_versions.get(order.model, 0) >= order.version:
                self.busy_until[target.id] = loop.time() + BUSY_PAUSE_S
                return
        status = await self.send(order, target, token, expected)
        now = loop.time()
        if status in (200, 202):
            self.accepted(order, target, now, loaded=status == 200)
            await self.notify(order, now)
        elif status == 412:
            self.duty.release("a target has seen a higher fencing token")
        else:
            # The order may have been carried out, or may still be: only a report tells.
            self.orders_accepted.pop(target.id, None)
            pause_s = BUSY_PAUSE_S if status is not None else UNKNOWN_PAUSE_S
            self.busy_until[target.id] = now + pause_s
        log_event(
            events.ORDER_SENT,
            target=target.id,
            model=order.model,
            version=order.version,
            outcome="no answer" if status is None else f"status {status}",
            fencing=token,
            expected_orders=expected,
            ms=round((now - began) * 1000, 1),
        )

    def accepted(self, order: LoadOrder, target: Target, now: float, loaded: bool) -> None:
        """Note an order that is carried out."""
        if not loaded:
            self.orders_accepted[target.id] = self.orders_accepted.get(target.id, 0) + 1
        pause_s = 0.0 if loaded else LOAD_S
        self.busy_until[target.id] = now + pause_s
        target.loading_until = now + pause_s
        target.note_version(order.model, order.version)

    async def notify(self, order: LoadOrder, now: float) -> None:
        """Tell the other processes, whose entries for the target lag behind."""
        ready_in_s = max(self.busy_until[order.target] - now, 0.0)
        notice = LoadNotice(order.target, order.model, order.version, ready_in_s)
        await self.peers.send_to_all("/peer/loading", notice)

    def take_notice(self, notice: LoadNotice) -> None:
        """Take another process's word that a target loads a version."""
        target = self.directory.targets.get(notice.target)
        if target is None:
            return
        now = asyncio.get_running_loop().time()
        target.loading_until = max(target.loading_until, now + notice.ready_in_s)
        target.note_version(notice.model, notice.version)
        self.directory.changed()

    async def refresh(self, target: Target) -> int | None:
        """Ask a target for its report; return the orders that it has accepted."""
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                head, body = await self.pool.fetch(
                    target.record.address, "GET", REPORT_PATH, wire.report_fields()
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
        target.model_versions.update(report.versions)
        self.orders_accepted[target.id] = report.orders_accepted
        return report.orders_accepted

    async def send(self, order: LoadOrder, target: Target, token: int, expected: int) -> int | None:
        """Send an order and return the status of its answer, None if there is none."""
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
                )
        except (ConnectFailed, ResponseIncomplete, TimeoutError):
            # The caller logs an order without an answer.
            return None
        return head.status
