"""The gateway process: HTTP endpoint, routing, coordination of lots, and duties."""

import asyncio
import uuid

import msgspec

from turmericreach.api import AnnounceRequest
from turmericreach.attempts import (
    CallerRequest,
    ClaimRegistry,
    RequestRunner,
    SentAttempt,
    settle_attempt,
)
from turmericreach.audit import AuditLog, AuditRecord
from turmericreach.daemon.audit_copies import AUDIT_COPY, AuditCopies
from turmericreach.daemon.config_audit import ConfigAudit
from turmericreach.daemon.duty_watch import DutyWatch
from turmericreach.daemon.fleet import FleetSync
from turmericreach.daemon.gateway_app import build_app
from turmericreach.daemon.inspection import INSPECT, Inspection
from turmericreach.daemon.lot_runner import LotContext
from turmericreach.daemon.lot_service import LOT, LotService
from turmericreach.daemon.node import Node
from turmericreach.daemon.observations import (
    BreakerWatch,
    ObservedBudget,
    ObservedRunner,
    log_claim,
)
from turmericreach.daemon.operator_queries import UNWRITTEN_AUDIT, OperatorQueries
from turmericreach.daemon.ordinary import OrdinaryRequests
from turmericreach.daemon.rollout import WeightRollouts, save_wanted
from turmericreach.daemon.routing_sync import AgentPeers, RoutingSync
from turmericreach.daemon.sweeps import Sweeps
from turmericreach.daemon.target_drain import DrainWriter
from turmericreach.httpserver import CancelOnDisconnect, HttpServer, bind_socket
from turmericreach.lots import LotSpec
from turmericreach.routing import RoutingTable
from turmericreach.rpc import Hello, PeerServer
from turmericreach.security import TokenTable
from turmericreach.sharing import CrashTable
from turmericreach.telemetry import events, log_event
from turmericreach.telemetry import metric_catalogue as metrics
from turmericreach.verdicts import ErrorCode, Outcome, RequestError, Verdict
from turmericreach.weights import PREPARE, WantedVersion

__all__ = ["GatewayDaemon"]

# Time between updates of the routing table from the member table.
SYNC_INTERVAL_S = 0.25
# Upper bound of the wait for an idempotency claim; the request's deadline may shorten it.
CLAIM_TIMEOUT_S = 1.0
# Health checks fail for this long before connections are refused, so that the platform's load
# balancer stops sending requests here first.
LEAVE_DELAY_S = 2.0
AUDIT_DRAIN_TIMEOUT_S = 3.0
# Time to send the last report before the connections are closed.
REPORT_DELAY_S = 0.1


class GatewayDaemon:
    """The process that serves callers and sends their requests to agents.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.
    """

    def __init__(self, node: Node):
        self.node = node
        self.fleet = FleetSync(node, self.on_config, lambda: None)
        self.table = RoutingTable(node.settings.data_centre, node.settings.region)
        self.breaker_watch = BreakerWatch(self.table.breaker)
        self.crashes = CrashTable()
        self.routing_sync = RoutingSync(node, self.table, self.crashes)
        self.peers = AgentPeers(node)
        self.runner = RequestRunner(
            self, self.peers, self, ObservedBudget(node.metrics, node.now()), self.crashes
        )
        self.claims = ClaimRegistry(node.store, self, node.wall_clock)
        self.lots = LotService(node, self.lot_context)
        self.sweeps = Sweeps(node, self.lots.store, self.claims.cleaner)
        self.lots.observer.write_audit_record = self.record
        self.rollouts = WeightRollouts(node, self.fleet.apply_wanted, self.record)
        self.audit = AuditLog(
            node.store, node.settings.data_centre, node.name, on_lost=self.count_lost_records
        )
        self.tokens = TokenTable(node.settings.security.tokens)
        self.drain_writer = DrainWriter(node)
        self.duty_watch = DutyWatch(node, self.record)
        self.audit_copies = AuditCopies(node, self.audit)
        self.config_audit = ConfigAudit(node, self.audit)
        self.queries = OperatorQueries(self)
        self.ordinary = OrdinaryRequests(
            ObservedRunner(self.runner, node.metrics), self.node.services.get, node.settings.limits
        )
        self.rpc = PeerServer(
            self, node.settings.listen.ip, node.settings.listen.rpc_port, node.server_ssl
        )
        self.http: HttpServer | None = None
        self.tasks: list[asyncio.Task] = []

    # Life cycle

    async def start(self) -> None:
        """Open the ports and start the background loops.

        Raises
        ------
        OSError
            If an address is in use.
        """
        listen = self.node.settings.listen
        listener = bind_socket(listen.ip, listen.http_port)
        await self.rpc.start()
        self.fleet.start()
        self.http = HttpServer(
            CancelOnDisconnect(build_app(self)),
            listener,
            self.node.settings.limits,
            self.node.settings.stop_timeout_s,
            self.node.caller_ssl,
        )
        await self.http.start()
        loops = (
            self.sync_loop,
            self.lots.run,
            self.sweeps.run,
            self.rollouts.run,
            self.audit.run,
            self.duty_watch.run,
            self.config_audit.run,
            self.audit_copies.run,
            self.drain_writer.run,
        )
        for loop in loops:
            self.tasks.append(asyncio.ensure_future(self.fleet.supervise(loop)))

    async def stop(self) -> int:
        """Stop gracefully and return the number of requests that were abandoned."""
        self.node.leaving = True
        self.node.members.set_own(self.node.now(), state="leaving")
        self.fleet.report_now.set()
        await asyncio.sleep(LEAVE_DELAY_S)
        await self.lots.leave()
        abandoned = await self.http.stop()
        await self.audit.drain(AUDIT_DRAIN_TIMEOUT_S, self.audit_copies.send)
        self.node.members.set_own(self.node.now(), state="stopped")
        self.fleet.report_now.set()
        await asyncio.sleep(REPORT_DELAY_S)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.fleet.stop()
        await self.rpc.stop()
        await self.node.close()
        return abandoned

    def in_flight(self) -> int:
        """Return the number of open caller connections."""
        if self.http is None or self.http.server is None:
            return 0
        return len(self.http.server.server_state.tasks)

    def ready(self) -> bool:
        """Return whether a configuration that may be served is in force."""
        return self.node.config.ready(self.node.now()).ready

    def on_config(self) -> None:
        """Apply a new configuration to the parts that hold a copy of it."""
        self.ordinary.service_of = self.node.services.get
        self.routing_sync.configure()
        self.config_audit.on_revision(self.node.config.revision)

    async def sync_loop(self) -> None:
        """Update the routing table and the gauge of unwritten audit records periodically."""
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S)
            if self.node.manifest is not None:
                self.routing_sync.update()
            self.node.metrics.gauge(metrics.AUDIT_PENDING, len(self.audit.pending))

    # Router protocol

    def choose(self, request, now):
        """Select a target for a request."""
        return self.table.choose(request, now)

    def on_sent(self, target, attempt_id, priority, now):
        """Record that an attempt was sent to a target."""
        self.table.on_sent(target, attempt_id, priority, now)

    def on_ended(self, target, attempt_id, outcome, latency_s, tokens, now):
        """Record the outcome, latency and tokens of an attempt that ended."""
        self.table.on_ended(target, attempt_id, outcome, latency_s, tokens, now)
        self.breaker_watch.check(target)

    def state_of(self, target):
        """Return the routing state of a target, None if the target is unknown."""
        record = self.table.records.get(target)
        return None if record is None else record.state

    # AttemptObserver protocol

    async def before_send(self, request: CallerRequest, sent: SentAttempt) -> Outcome | None:
        """Claim the idempotency key of a non-idempotent request before it is sent.

        Returns
        -------
        Outcome or None
            An outcome that replaces the attempt; None if the attempt may be sent.
        """
        if request.idempotent or not request.key:
            return None
        remaining_s = max(0.0, request.deadline - self.node.now())
        outcome = await self.claims.claim(request, sent, min(CLAIM_TIMEOUT_S, remaining_s))
        log_claim(request, outcome)
        return outcome

    def on_decision(self, request_id, attempt_id, what, evidence) -> None:
        """Record a decision about a request for `explain`."""
        self.node.record_decision(request_id, attempt_id, what, evidence)

    # AttemptSettler protocol

    async def settle_sent(self, sent: SentAttempt, wait_s: float) -> Outcome:
        """Establish at the agent whether an attempt, possibly of another gateway, ran."""
        client = await self.peers.connect_agent(sent.target)
        return await settle_attempt(client, sent, wait_s)

    # PeerHandler protocol

    def hello(self, hello: Hello) -> Hello:
        """Return the identity of this process to a peer that connects."""
        return self.node.reply_to_hello(hello)

    async def submit(self, attempt, writer) -> Outcome:
        """Reject an attempt, since a gateway has no targets."""
        return Outcome(
            Verdict.NOT_RUN,
            code=ErrorCode.UNKNOWN_TARGET,
            evidence=f"gateway {self.node.name} has no targets",
        )

    async def settle(self, attempt_id, incarnation, deadline_ms, wait_s) -> Outcome:
        """Reply that the attempt may have run.

        Attempts are run by agents, so that a gateway knows nothing of them.
        """
        return Outcome(
            Verdict.MAY_HAVE_RUN,
            code=ErrorCode.UNKNOWN_TARGET,
            evidence=f"gateway {self.node.name} does not run attempts",
        )

    async def cancel(self, attempt_id) -> None:
        """Do nothing, since a gateway runs no attempts."""

    async def control(self, kind: str, body: bytes) -> bytes:
        """Handle a control message of a peer and return the reply.

        Raises
        ------
        RequestError
            If the kind of message is unknown.
        """
        if kind == LOT:
            return await self.lots.handle_forwarded_call(body)
        if kind == INSPECT:
            return Inspection(self.node).handle_query(body)
        if kind == AUDIT_COPY:
            self.audit_copies.handle_message(body)
            return b""
        if kind == UNWRITTEN_AUDIT:
            return msgspec.json.encode(self.queries.own_unwritten())
        return await self.fleet.handle_control(kind, body)

    # Operations of the HTTP interface

    def lot_context(self, spec: LotSpec) -> LotContext:
        """Return the runner, engines and versions that a lot uses on this gateway."""
        share = self.share_of(spec.trainer)
        return LotContext(
            runner=self.runner,
            engine_view=lambda service, outstanding: self.routing_sync.engine_view(
                service, share, outstanding
            ),
            wanted_version=self.active_version,
            target_version=self.target_version,
        )

    def share_of(self, trainer: str) -> float:
        """Return a trainer's share of the engines, 0 to 1; 0 for an unknown trainer."""
        shares = {item.name: item.share for item in self.node.manifest.trainers}
        total = sum(shares.values())
        return shares.get(trainer, 0.0) / total if total > 0 else 0.0

    def active_version(self, model: str) -> int:
        """Return the newest active version of a model, 0 if none was announced."""
        row = self.node.wanted.active.get(model)
        return 0 if row is None else row.version

    def target_version(self, target: str) -> int:
        """Return the last known weight version of a target, 0 if the target is unknown."""
        record = self.table.records.get(target)
        return 0 if record is None else record.version

    async def announce(self, model: str, body: AnnounceRequest, who: str) -> dict:
        """Apply a weight version that a trainer announces.

        Parameters
        ----------
        model : str
            Name of a model of the manifest.
        body : AnnounceRequest
            The version, a positive integer, and the id of the change.
        who : str
            Name of the trainer.

        Returns
        -------
        dict
            Model, announced version and the version that was active before.

        Raises
        ------
        RequestError
            If the model is unknown or the version is not positive.
        """
        if model not in {item.name for item in self.node.manifest.models}:
            raise RequestError(ErrorCode.UNKNOWN_VERSION, f"no model {model}", 404)
        if body.version <= 0:
            raise RequestError(ErrorCode.BAD_REQUEST, "version must be positive")
        row = WantedVersion(
            model,
            body.version,
            PREPARE,
            body.change_id or uuid.uuid4().hex,
            self.node.wall_clock(),
            who,
        )
        before = self.active_version(model)
        self.fleet.apply_wanted([row])
        log_event(events.VERSION_ANNOUNCED, version=body.version, model=model, trainer=who)
        self.record(who, "announce", f"model/{model}", str(before), str(body.version))
        if not await save_wanted(self.node.store, row):
            self.rollouts.unsaved.setdefault(model, row)
        return {"model": model, "version": body.version, "active": before}

    def record(self, actor, action, subject, before="", after="", record_id="") -> None:
        """Add a record to the audit trail; readers merge records with the same id."""
        self.audit.append(
            AuditRecord(
                self.node.wall_clock(),
                self.node.name,
                actor,
                action,
                subject,
                before,
                after,
                self.node.config.generation,
                record_id=record_id,
            )
        )

    def count_lost_records(self, count: int) -> None:
        """Count audit records that were lost before they could be written."""
        self.node.metrics.count(metrics.AUDIT_LOST, count)

    async def drain(self, target: str, drain: bool, who: str) -> dict:
        """Start or lift the drain of a target and record it in the audit trail.

        Raises
        ------
        RequestError
            If the target is unknown, or neither the platform nor its agent responded.
        """
        if target not in self.node.targets:
            raise RequestError(ErrorCode.UNKNOWN_TARGET, f"no target {target}", 404)
        action, subject = "drain" if drain else "undrain", f"target/{target}"
        try:
            result = await self.drain_writer.drain(target, drain, who)
        except RequestError:
            self.record(who, action, subject, "", "unknown: neither platform nor agent answered")
            raise
        self.record(who, action, subject, "", "drained" if drain else "in service")
        return result
