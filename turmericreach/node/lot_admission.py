"""Admission of lots by the view of the process that would run them."""

import asyncio
from collections.abc import Callable
from statistics import median_low
from urllib.parse import quote

import msgspec

from turmericreach.admission import (
    LotBacklog,
    LotDecision,
    LotWork,
    admit_lot,
    joined_backlog,
    lot_work,
)
from turmericreach.batches.items import ItemPhase
from turmericreach.batches.model import BatchSpec
from turmericreach.batches.scheduler import ItemScheduler
from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.peers import PeerTable
from turmericreach.http1 import ConnectFailed, Request, Responder, ResponseIncomplete, query_value
from turmericreach.placement.engines import DEFAULT_EVENT_S
from turmericreach.platform.decoding import DecodeError
from turmericreach.services import Configuration, Target
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["BACKLOG_PATH", "LotAdmission"]

BACKLOG_PATH = "/peer/backlog"
# The owner has to answer well within the 100 ms in which a rejection is reported.
BACKLOG_TIMEOUT_S = 0.05
# Usual time to read a prompt and to score a text.
ITEM_OVERHEAD_S = 0.15


class LotAdmission:
    """Decides at the submission of a lot whether it can be served at all.

    Attributes
    ----------
    scheduler : ItemScheduler
        Lots that run here, and the engines that they may use.
    peers : PeerTable
        The other processes.
    configuration : callable
        Returns the configuration in force, None before the first one.
    """

    def __init__(
        self,
        scheduler: ItemScheduler,
        peers: PeerTable,
        configuration: Callable[[], Configuration | None],
    ):
        self.scheduler = scheduler
        self.peers = peers
        self.configuration = configuration

    async def decide(self, spec: BatchSpec, owner: str) -> LotDecision:
        """Return whether a lot that a host would run is accepted."""
        configuration = self.configuration()
        route = None if configuration is None else configuration.find_route(spec.host, spec.path)
        if route is None:
            return LotDecision(True, "no route known")
        loop = asyncio.get_running_loop()
        began = loop.time()
        services = route.active_services()
        backlogs = await asyncio.gather(
            *(self.backlog_at(owner, spec.model, service) for service in services)
        )
        backlog = joined_backlog(backlogs)
        work = lot_work(
            spec.model,
            ((item.group, item.expected_tokens) for item in spec.items),
            configuration.tokens_per_event(route),
        )
        age_s = loop.time() - began
        decision = admit_lot(work, backlog, route.item_lifetime_s - age_s, age_s)
        log_decision(spec, owner, work, backlog, decision, age_s)
        return decision

    async def backlog_at(self, owner: str, model: str, service: str) -> LotBacklog | None:
        """Return the backlog of a model as its owner sees it, None if it does not answer."""
        if owner == self.peers.host:
            return self.backlog(model, service)
        peer = self.peers.peers.get(owner)
        if peer is None:
            return None
        path = f"{BACKLOG_PATH}?model={quote(model, safe='')}&service={quote(service, safe='')}"
        try:
            body = await self.peers.call(peer, "GET", path, b"", BACKLOG_TIMEOUT_S)
            return decode_message(body, LotBacklog)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError):
            # The decision says that the backlog is not known.
            return None

    async def send_backlog(self, request: Request, responder: Responder) -> None:
        """Send the backlog of a model at this process."""
        model = query_value(request.query, "model") or ""
        service = query_value(request.query, "service") or ""
        responder.send(200, body=msgspec.json.encode(self.backlog(model, service)))

    def backlog(self, model: str, service: str) -> LotBacklog:
        """Return the backlog of a model at this process."""
        now = asyncio.get_running_loop().time()
        engines = self.usable_engines(model, service, now)
        speeds = [target.latency_s for target in engines.values() if target.latency_s]
        event_s = median_low(speeds) if speeds else DEFAULT_EVENT_S
        running_events, waiting_events, useful_s = 0.0, 0.0, 0.0
        for run in self.scheduler.runs.values():
            if run.spec.model != model or run.stopped:
                continue
            useful_s = max(useful_s, run.items.remaining_s(now))
            surplus = run.items.surplus_groups()
            for state in run.items.states.values():
                if state.phase is ItemPhase.RUNNING:
                    running_events += run.items.remaining_events(state)
                elif state.phase is ItemPhase.WAITING and state.item.group not in surplus:
                    waiting_events += run.items.remaining_events(state)
        return LotBacklog(
            model=model,
            slots=sum(target.record.slots for target in engines.values()),
            event_s=event_s,
            running_s=running_events * event_s,
            waiting_events=waiting_events,
            useful_s=useful_s,
            overhead_s=ITEM_OVERHEAD_S,
        )

    def usable_engines(self, model: str, service: str, now: float) -> dict[str, Target]:
        """Return the engines that the lots of a model may use, by target id."""
        found = {}
        for target in self.scheduler.directory.accepting_targets(service):
            if self.scheduler.division.get(target.id) not in (None, model):
                continue
            if not target.is_suspected(now):
                found[target.id] = target
        return found


def log_decision(
    spec: BatchSpec,
    owner: str,
    work: LotWork,
    backlog: LotBacklog | None,
    decision: LotDecision,
    age_s: float,
) -> None:
    """Log a decision with its inputs and their age."""
    log_event(
        events.LOT_ADMISSION,
        lot=spec.id,
        decision="accepted" if decision.accepted else "rejected",
        reason=decision.reason,
        model=spec.model,
        owner=owner,
        items=work.items,
        expected_events=round(work.events, 1),
        group_longest_events=round(work.group_longest_events, 1),
        slots=None if backlog is None else backlog.slots,
        event_s=None if backlog is None else round(backlog.event_s, 4),
        running_s=None if backlog is None else round(backlog.running_s, 1),
        waiting_events=None if backlog is None else round(backlog.waiting_events, 1),
        start_s=round(decision.start_s, 2),
        group_s=round(decision.group_s, 2),
        retry_after_s=decision.retry_s,
        backlog_age_s=round(age_s, 4),
    )
