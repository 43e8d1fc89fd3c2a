"""The agent process, which runs beside the targets of one host."""

import asyncio
import datetime

import msgspec

from turmericreach.attempts import AttemptTable
from turmericreach.daemon.agent import AttemptServer
from turmericreach.daemon.convergence import ConvergenceLoop
from turmericreach.daemon.fleet import FleetSync
from turmericreach.daemon.hosted import HostedTarget
from turmericreach.daemon.inspection import INSPECT, Inspection
from turmericreach.daemon.node import START_SHIFT, Node
from turmericreach.daemon.rollout import GRANT, GrantMessage, GrantReply
from turmericreach.daemon.target_drain import (
    DRAIN,
    WORK,
    DrainMessage,
    TargetWork,
    WorkQuery,
    read_drains,
)
from turmericreach.httpclient import open_session
from turmericreach.membership import TargetStatus
from turmericreach.objectstore import ObjectStoreError
from turmericreach.rpc import Hello, PeerServer
from turmericreach.telemetry import events, log_event
from turmericreach.telemetry import metric_catalogue as metrics
from turmericreach.verdicts import Outcome
from turmericreach.weights import FencingTokens

__all__ = ["AgentDaemon"]

STEER_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 5.0
DRAIN_RETRY_S = 2.0
# Time in which gateways learn that an agent is leaving; its targets reject new work meanwhile.
LEAVE_DELAY_S = 2.0


class AgentDaemon:
    """The process that runs attempts at the targets of one host.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.
    """

    def __init__(self, node: Node):
        self.node = node
        self.fleet = FleetSync(node, self.on_config, self.wake_loops)
        self.attempts = AttemptServer(AttemptTable(node.name, node.incarnation))
        self.fencing_tokens = FencingTokens((node.incarnation >> START_SHIFT) // 1000)
        self.convergence_loops: dict[str, ConvergenceLoop] = {}
        self.convergence_tasks: dict[str, asyncio.Task] = {}
        self.drained: dict[str, bool] = {}
        self.drain_versions: dict[str, int] = {}
        self.draining_since: dict[str, float] = {}
        self.drain_logged: set[str] = set()
        self.session = open_session()
        self.fresh_session = open_session(reuse=False)
        self.rpc = PeerServer(
            self, node.settings.listen.ip, node.settings.listen.rpc_port, node.server_ssl
        )
        self.tasks: list[asyncio.Task] = []

    # Life cycle

    async def start(self) -> None:
        """Open the port and start the background loops.

        Raises
        ------
        OSError
            If the address is in use.
        """
        await self.rpc.start()
        self.fleet.start()
        for loop in (self.steer_loop, self.expire_loop, self.drain_loop):
            self.tasks.append(asyncio.ensure_future(self.fleet.supervise(loop)))

    async def stop(self) -> int:
        """Stop gracefully and return the number of attempts that were abandoned."""
        self.node.leaving = True
        self.attempts.start_leaving()
        for name in self.attempts.targets:
            log_event(events.TARGET_LEAVING, target=name, reason="the agent stops")
        self.node.members.set_own(self.node.now(), state="leaving")
        self.fleet.report_now.set()
        await asyncio.sleep(LEAVE_DELAY_S)
        abandoned = await self.attempts.wait_until_idle(self.node.settings.stop_timeout_s)
        self.node.members.set_own(self.node.now(), state="stopped")
        self.fleet.report_now.set()
        # Replies that were just written leave the socket before it is closed.
        await asyncio.sleep(0.1)
        tasks = [*self.tasks, *self.convergence_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.fleet.stop()
        await self.rpc.stop()
        await self.session.close()
        await self.fresh_session.close()
        await self.node.close()
        return abandoned

    def in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return self.attempts.table.in_flight()

    def ready(self) -> bool:
        """Return whether a configuration that may be served is in force."""
        return self.node.config.ready(self.node.now()).ready

    # Configuration

    def on_config(self) -> None:
        """Add, update and remove targets so that they match this agent's part of the manifest."""
        own = self.node.members.own.address
        wanted = {spec.name: spec for spec in self.node.targets.values() if spec.agent == own}
        now = self.node.now()
        for name, spec in wanted.items():
            service = self.node.services[spec.service]
            hosted = self.attempts.targets.get(name)
            if hosted is not None and hosted.spec.url == spec.url:
                hosted.configure(spec, service, self.node.manifest, now)
                continue
            if hosted is not None:
                # A new URL is another back end: attempts and convergence end with the former one.
                self.remove_target(name)
            self.add_target(spec, service, now)
        for name in list(self.attempts.targets.keys() - wanted.keys()):
            self.remove_target(name)
        self.publish()

    def add_target(self, spec, service, now) -> None:
        """Start serving a target and, if it is an engine, converging its weight version."""
        hosted = HostedTarget(
            spec,
            service,
            self.node.manifest,
            self.attempts.table,
            self.session,
            self.fresh_session,
            now,
            self.node.metrics,
        )
        hosted.crash_watch.on_crash = self.publish
        hosted.drained = self.drained.get(spec.name, False)
        self.attempts.targets[spec.name] = hosted
        if not hosted.is_model:
            return
        loop = ConvergenceLoop(
            hosted,
            self.node.wanted,
            self.fencing_tokens,
            self.node.settings.security.order_token,
            self.publish,
            self.node.metrics,
        )
        self.convergence_loops[spec.name] = loop
        self.convergence_tasks[spec.name] = asyncio.ensure_future(self.fleet.supervise(loop.run))

    def remove_target(self, name: str) -> None:
        """Stop serving a target that the manifest no longer assigns to this agent."""
        hosted = self.attempts.targets.pop(name)
        hosted.start_leaving()
        log_event(events.TARGET_LEAVING, target=name, reason="removed from the manifest")
        self.convergence_loops.pop(name, None)
        task = self.convergence_tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def wake_loops(self) -> None:
        """Wake the convergence loops of all engines after a new wanted version."""
        for loop in self.convergence_loops.values():
            loop.wake()

    def publish(self) -> None:
        """Write the state of the targets to the own member record.

        A change other than of the load is reported at once.
        """
        statuses = [self.status_of(hosted) for hosted in self.attempts.targets.values()]
        former = self.node.members.own
        own = self.node.members.set_own(self.node.now(), targets=statuses)
        if own.without_load() != former.without_load():
            self.fleet.report_now.set()

    def status_of(self, hosted: HostedTarget) -> TargetStatus:
        """Return the status of one target for the member record."""
        running, waiting = hosted.in_flight()
        active = self.node.wanted.active.get(hosted.service.model)
        return TargetStatus(
            name=hosted.spec.name,
            service=hosted.spec.service,
            state="up" if hosted.reachable else "down",
            version=hosted.version,
            prepared=hosted.prepared,
            wanted=0 if active is None else active.version,
            running=running,
            waiting=waiting,
            slots=hosted.spec.slots,
            drained=hosted.drained or hosted.spec.drain,
            crashed=hosted.crash_watch.report(),
        )

    # Loops

    async def steer_loop(self) -> None:
        """Adapt the limits of the targets to site hours and latency, and report the load."""
        while True:
            await asyncio.sleep(STEER_INTERVAL_S)
            self.check_host_state()
            wall = datetime.datetime.now(datetime.UTC)
            for hosted in self.attempts.targets.values():
                hosted.update_limits(self.node.now(), wall)
                self.record_load(hosted)
            self.publish()

    def check_host_state(self) -> None:
        """Reject new attempts once the platform lists this host as leaving."""
        if self.attempts.leaving or self.node.members.own.state == "live":
            return
        self.attempts.start_leaving()
        for name in self.attempts.targets:
            log_event(events.TARGET_LEAVING, target=name, reason="the host is leaving")

    def record_load(self, hosted: HostedTarget) -> None:
        """Send the gauges of a target, and log once when a drained one has no work left."""
        name = hosted.spec.name
        running, waiting = hosted.in_flight()
        self.node.metrics.gauge(metrics.IN_FLIGHT, running, target=name)
        self.node.metrics.gauge(metrics.QUEUED, waiting, target=name)
        if not (hosted.drained or hosted.spec.drain):
            self.draining_since.pop(name, None)
            self.drain_logged.discard(name)
            return
        since = self.draining_since.setdefault(name, self.node.now())
        if running or waiting or name in self.drain_logged:
            return
        self.drain_logged.add(name)
        log_event(events.TARGET_DRAINED, target=name, seconds=self.node.now() - since)

    async def expire_loop(self) -> None:
        """Remove attempts whose retention has passed from the table."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.attempts.table.expire(self.node.now())

    async def drain_loop(self) -> None:
        """Read the stored drains once, as soon as the platform responds."""
        while True:
            try:
                stored = await read_drains(self.node.store)
            except ObjectStoreError:
                await asyncio.sleep(DRAIN_RETRY_S)
                continue
            for message in stored:
                # A change received before the platform responded is later than the stored one.
                if message.target not in self.drained:
                    self.set_drain(message)
            await asyncio.Event().wait()

    def set_drain(self, message: DrainMessage) -> None:
        """Start or lift the drain of a target; a change that a later one replaced is ignored.

        A change without a version was made while the platform was unavailable and counts as the
        latest.
        """
        applied_version = self.drain_versions.get(message.target, 0)
        if message.version and message.version <= applied_version:
            return
        self.drain_versions[message.target] = max(applied_version, message.version)
        self.drained[message.target] = message.drain
        hosted = self.attempts.targets.get(message.target)
        if hosted is None or hosted.drained == message.drain:
            return
        hosted.set_drained(message.drain)
        if message.drain:
            log_event(events.TARGET_LEAVING, target=message.target, reason="drained")
        self.publish()

    def work_of(self, target: str) -> TargetWork:
        """Return whether a target is drained and how many attempts it has in flight."""
        hosted = self.attempts.targets.get(target)
        if hosted is None:
            return TargetWork(target, True)
        running, waiting = hosted.in_flight()
        return TargetWork(target, True, hosted.drained or hosted.spec.drain, running, waiting)

    # PeerHandler protocol

    def hello(self, hello: Hello) -> Hello:
        """Return the identity of this process to a peer that connects."""
        return self.node.reply_to_hello(hello)

    async def submit(self, attempt, writer) -> Outcome:
        """Run an attempt at a target of this host and record its outcome."""
        outcome = await self.attempts.submit(attempt, writer)
        self.node.metrics.count(metrics.ATTEMPTS, target=attempt.target, verdict=outcome.verdict)
        what = f"{attempt.target}: {outcome.verdict} {outcome.code}".strip()
        self.node.record_decision(attempt.request_id, attempt.attempt_id, what, outcome.evidence)
        return outcome

    async def settle(self, attempt_id, incarnation, deadline_ms, wait_s) -> Outcome:
        """Establish whether an attempt ran; one that did not start is revoked."""
        return await self.attempts.settle(attempt_id, incarnation, deadline_ms, wait_s)

    async def cancel(self, attempt_id) -> None:
        """Stop an attempt whose result is no longer needed."""
        await self.attempts.cancel(attempt_id)

    async def control(self, kind: str, body: bytes) -> bytes:
        """Handle a control message of a peer and return the reply.

        Raises
        ------
        RequestError
            If the kind of message is unknown.
        """
        if kind == INSPECT:
            return Inspection(self.node).handle_query(body)
        if kind == GRANT:
            grant = msgspec.json.decode(body, type=GrantMessage)
            loop = self.convergence_loops.get(grant.target)
            if loop is not None:
                backoff_s = loop.grant(grant.version, grant.seconds)
                return msgspec.json.encode(GrantReply(backoff_s))
            return msgspec.json.encode(GrantReply())
        if kind == DRAIN:
            self.set_drain(msgspec.json.decode(body, type=DrainMessage))
            return b""
        if kind == WORK:
            query = msgspec.json.decode(body, type=WorkQuery)
            return msgspec.json.encode(self.work_of(query.target))
        return await self.fleet.handle_control(kind, body)
