"""The HTTP page with the metrics of a process."""

import asyncio
from collections import Counter
from typing import Protocol

from turmericreach.batches.scheduler import ItemScheduler
from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.peers import PeerTable
from turmericreach.coordination.permits import TargetPermits
from turmericreach.http1 import REASONS, ConnectionPool, Request, Responder, ServerBounds
from turmericreach.metadata import MetadataClient
from turmericreach.node.configuration import ConfigurationHolder
from turmericreach.node.overload import OverloadControl
from turmericreach.placement import PlacementPolicy
from turmericreach.services import TargetDirectory
from turmericreach.sharing import SharedTables
from turmericreach.telemetry import node_metrics as metrics
from turmericreach.telemetry.log import EVENT_LOG
from turmericreach.telemetry.served_metrics import CONTENT_TYPE, ServedMetrics
from turmericreach.tenancy import Reason

__all__ = ["MetricsPage", "MetricsSources"]

LAG_INTERVAL_S = 0.25
# The gauge shows the longest delay among about this many of the latest measurements.
LAG_SAMPLES = 40


class MetricsSources(Protocol):
    """Components of a process whose state is shown as gauges."""

    client: MetadataClient
    configuration: ConfigurationHolder
    directory: TargetDirectory
    pool: ConnectionPool
    scheduler: ItemScheduler
    peers: PeerTable
    duty: CoordinatorDuty
    permits: TargetPermits
    shared: SharedTables
    overload: OverloadControl | None
    placement: PlacementPolicy
    bounds: ServerBounds


class MetricsPage:
    """Counts log events and serves all metrics as text.

    Attributes
    ----------
    lags : list of float
        Latest delays of the event loop in seconds.
    """

    def __init__(self, sources: MetricsSources):
        self.sources = sources
        self.metrics = ServedMetrics()
        self.lags: list[float] = []

    def listen(self) -> None:
        """Start counting log events."""
        EVENT_LOG.listeners.append(self.count)

    def close(self) -> None:
        """Stop counting log events."""
        if self.count in EVENT_LOG.listeners:
            EVENT_LOG.listeners.remove(self.count)

    def count(self, event, fields) -> None:
        """Update the counters for a log event with its fields."""
        metrics.count_event(self.metrics, event, fields)

    async def measure_lag(self) -> None:
        """Measure how late the event loop resumes a sleeping task, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lags = [*self.lags[-LAG_SAMPLES:], loop.time() - due]

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve the page, with gauges updated at the time of the request."""
        self.set_gauges()
        responder.send(200, [("Content-Type", CONTENT_TYPE)], self.metrics.render().encode())

    def set_gauges(self) -> None:
        """Set all gauges from the state of the components."""
        sources, page = self.sources, self.metrics
        for purpose, calls in sources.client.calls.items():
            page.gauge(metrics.STORE_CALLS, calls, purpose=purpose)
        page.gauge(metrics.STORE_AGE, round(min(sources.client.last_response_age_s(), 1e9), 3))
        page.gauge(metrics.CONFIGURATION, sources.configuration.version())
        page.gauge(metrics.CONNECTIONS, sources.pool.opened)
        page.gauge(metrics.COORDINATES, int(sources.duty.token is not None))
        for result, number in sources.permits.counts.items():
            page.gauge(metrics.PERMITS, number, result=result)
        barred = sources.shared.crashes.rejected(asyncio.get_running_loop().time())
        page.gauge(metrics.BARRED_REQUESTS, len(barred))
        for reason in Reason:
            page.gauge(
                metrics.REJECTED_KEYS, sources.authentication.rejected[reason], reason=str(reason)
            )
        page.gauge(metrics.STREAM_ORIGINS, len(sources.shared.origins.origins))
        page.gauge(metrics.LOG_DROPPED, EVENT_LOG.count_dropped_lines())
        page.gauge(metrics.LOOP_LAG, round(max(self.lags, default=0.0) * 1000, 1))
        self.set_bound_gauges()
        self.set_target_gauges()
        self.set_item_gauges()
        self.set_peer_gauges()
        self.set_overload_gauges()

    def set_overload_gauges(self) -> None:
        """Set the scorer calls by state, and the use of the budgets; 0 without overload control."""
        overload = self.sources.overload
        extra = Counter({"hedge": 0, "move": 0, "score": 0})
        denied = Counter(extra)
        calls = Counter({"allowed": 0, "running": 0, "waiting": 0})
        if overload is not None:
            for kind, budget in overload.budgets(self.sources.placement).items():
                extra[kind], denied[kind] = budget.used, budget.denied
            calls.update(overload.scoring.calls(asyncio.get_running_loop().time()))
        for kind in extra:
            self.metrics.gauge(metrics.EXTRA_ATTEMPTS, extra[kind], kind=kind, result="permitted")
            self.metrics.gauge(metrics.EXTRA_ATTEMPTS, denied[kind], kind=kind, result="denied")
        for state, number in calls.items():
            self.metrics.gauge(metrics.SCORING_CALLS, number, state=state)

    def set_bound_gauges(self) -> None:
        """Set the gauges of what is held for clients, and of those that were rejected."""
        bounds, page = self.sources.bounds, self.metrics
        for reason in REASONS:
            page.gauge(metrics.REJECTED_CLIENTS, bounds.rejections.total[reason], reason=reason)
        for listener, connections in bounds.connections.open.items():
            page.gauge(metrics.ACCEPTED_CONNECTIONS, len(connections), listener=listener)
        page.gauge(metrics.HELD_MEMORY, bounds.memory.held_bytes, period="now")
        page.gauge(metrics.HELD_MEMORY, bounds.memory.peak_bytes, period="most")

    def set_target_gauges(self) -> None:
        """Set the number of targets by state."""
        now = asyncio.get_running_loop().time()
        states = Counter({"ready": 0, "draining": 0, "suspect": 0})
        for target in self.sources.directory.targets.values():
            if self.sources.directory.is_leaving(target):
                states["draining"] += 1
            elif target.is_suspected(now):
                states["suspect"] += 1
            else:
                states["ready"] += 1
        for state, number in states.items():
            self.metrics.gauge(metrics.TARGETS, number, state=state)

    def set_item_gauges(self) -> None:
        """Set the number of running lots, and of their items by phase."""
        runs = self.sources.scheduler.runs
        self.metrics.gauge(metrics.LOTS_RUNNING, len(runs))
        phases = Counter({"waiting": 0, "running": 0, "scoring": 0, "ready": 0, "listed": 0})
        for run in runs.values():
            phases.update(str(state.phase) for state in run.items.states.values())
        for phase, number in phases.items():
            self.metrics.gauge(metrics.ITEMS, number, phase=phase)

    def set_peer_gauges(self) -> None:
        """Set the number of other processes by state."""
        peers = self.sources.peers
        now = asyncio.get_running_loop().time()
        states = Counter({"alive": 0, "silent": 0})
        for host in peers.peers:
            states["alive" if peers.is_alive(host, now) else "silent"] += 1
        for state, number in states.items():
            self.metrics.gauge(metrics.PEERS, number, state=state)
