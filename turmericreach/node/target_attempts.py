"""Attempts to serve requests at targets."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterator

import attrs

from turmericreach.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ResponseHead,
)
from turmericreach.node.crash_probe import CrashProbe
from turmericreach.node.exchange import Exchange
from turmericreach.node.usage_meter import UsageMeter
from turmericreach.placement import PlacementPolicy, ReturnSchedule, service_rate_per_s
from turmericreach.platform import targets as wire
from turmericreach.services import RouteKind, Target, TargetDirectory
from turmericreach.services.identity import verify_run
from turmericreach.sharing import CrashTable, Denial, PermitSource

__all__ = ["SUSPECT_S", "TargetAttempt", "TargetAttempts"]

# Time for which a target that failed is avoided.
SUSPECT_S = 2.0
# A pooled connection that was idle for longer may be closing; only repeatable requests are sent on
# it.
REUSE_MAX_IDLE_S = 1.0
# Longest wait for a permit, in seconds and as a share of the time until the deadline. A caller that
# would have to wait longer is rejected at once.
MAX_PERMIT_DELAY_S = 0.08
PERMIT_DELAY_SHARE = 0.1


@attrs.define
class TargetAttempt:
    """One attempt of a request at a target.

    Attributes
    ----------
    connection : ClientConnection or None
        Connection that carries the request; None until there is one.
    outcome : str
        Result as text; its first two words become a metric label.
    failed : bool
        Whether the target could not be reached or its response was incomplete.
    connection_lost : bool
        Whether the response was incomplete.
    """

    connection: ClientConnection | None = None
    outcome: str = "cancelled"
    failed: bool = False
    connection_lost: bool = False

    def record_failure(self, error: Exception) -> str:
        """Record a failed connection or an incomplete response; return the outcome."""
        self.connection_lost = not isinstance(error, ConnectFailed)
        failure = "no whole answer" if self.connection_lost else "not connected"
        self.outcome = f"{failure}: {error}"
        self.failed = True
        return self.outcome


class TargetAttempts:
    """Sends requests to targets, and records the latency, load and failures observed.

    Parameters
    ----------
    directory : TargetDirectory
        Targets of each service, which receives the observations.
    pool : ConnectionPool
        Connections to targets.
    data_centre : str
        Data centre of this process, for the selection of targets.
    policy : PlacementPolicy
        Selects among targets.
    permits : PermitSource
        Permits for targets that have named a limit.
    crashes : CrashTable
        Requests under which targets have ended.

    Attributes
    ----------
    meter : UsageMeter or None
        Counts the requests of tenants, None if they are not counted.
    on_arrival : callable or None
        Called with the service of each request of a caller, once.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        pool: ConnectionPool,
        data_centre: str,
        policy: PlacementPolicy,
        permits: PermitSource,
        crashes: CrashTable,
    ):
        self.directory = directory
        self.crashes = crashes
        self.permits = permits
        self.policy = policy
        self.pool = pool
        self.data_centre = data_centre
        self.random = random.Random()
        self.returns = ReturnSchedule()
        self.meter: UsageMeter | None = None
        self.on_arrival: Callable[[str], None] | None = None
        self.crash_probe = CrashProbe(pool, self.record_crash)

    def record_crash(self, fingerprint: str, target: Target) -> None:
        """Record that a target ended while it served a request."""
        now = asyncio.get_running_loop().time()
        self.crashes.record_crash(fingerprint, target.record.run, now)

    def record_completion(self, exchange: Exchange) -> None:
        """Record that a target has run a request and sent its whole response."""
        now = asyncio.get_running_loop().time()
        self.crashes.record_completion(exchange.fingerprint, now)

    def is_rejected(self, exchange: Exchange) -> bool:
        """Return whether a request has ended too many targets to be sent to another one."""
        now = asyncio.get_running_loop().time()
        return self.crashes.is_rejected(exchange.fingerprint, now)

    def busy_retry_s(self, exchange: Exchange) -> float:
        """Return the seconds after which a request that no target accepted may come again."""
        services = exchange.route.active_services()
        now = asyncio.get_running_loop().time()
        targets = [t for service in services for t in self.directory.accepting_targets(service)]
        rate_per_s = service_rate_per_s(
            targets, now, self.directory.limits.per_s, self.permits.processes()
        )
        return self.returns.busy_retry_s("+".join(services), rate_per_s, now)

    def select_target(self, exchange: Exchange, unlimited: bool = False) -> Target | None:
        """Select a target of the route to which the request was not sent yet.

        Parameters
        ----------
        unlimited : bool
            Whether only targets without a limit are selected.

        Returns
        -------
        Target or None
            None if there is no such target that can accept the request.
        """
        now = asyncio.get_running_loop().time()
        excluded = exchange.tried_targets | self.permits.denied_targets(
            max_permit_delay_s(exchange), now
        )
        for service in exchange.route.service_order(self.random):
            candidates = self.candidates(exchange, service)
            if unlimited:
                candidates = [target for target in candidates if not self.is_limited(target)]
            target = self.policy.choose(candidates, now, self.data_centre, excluded)
            if target is not None:
                return target
        return None

    def candidates(self, exchange: Exchange, service: str) -> list[Target]:
        """Return the targets of a service that may serve a request, tried or not.

        A stream that has begun is served only by targets with the software that began it. A new one
        that may be resumed goes to a target whose software all processes know, if there is one.
        """
        if exchange.software:
            return self.targets_with_software(exchange)
        found = self.directory.accepting_targets(service)
        if exchange.route.kind is not RouteKind.STREAMING or not exchange.route.resumable:
            return found
        history = self.directory.software
        known = [t for t in found if history.is_recorded(service, t.record.software)]
        return known or found

    def targets_with_software(self, exchange: Exchange) -> list[Target]:
        """Return the targets of a stream's route that have the software that began it."""
        found = []
        for part in exchange.route.services:
            for target in self.directory.accepting_targets(part.service):
                if target.record.software == exchange.software:
                    found.append(target)
        return found

    async def admit(self, exchange: Exchange) -> Target | None:
        """Select a target and obtain a permit for it if it has named a limit.

        Returns
        -------
        Target or None
            None if no target can accept the request now.
        """
        while True:
            target = self.select_target(exchange)
            if target is None or not self.is_limited(target):
                return target
            targets = self.limited_candidates(exchange, target)
            permit = await self.permits.acquire(
                [candidate.id for candidate in targets],
                exchange.priority,
                max_permit_delay_s(exchange),
            )
            if isinstance(permit, Denial):
                continue
            if permit.delay_s > 0:
                await asyncio.sleep(permit.delay_s)
            admitted = self.directory.targets.get(permit.target)
            if admitted is not None and self.directory.accepts(admitted):
                return admitted

    def limited_candidates(self, exchange: Exchange, preferred: Target) -> list[Target]:
        """Return the targets with a limit that may serve a request, a preferred one first."""
        found = [preferred]
        for target in self.directory.accepting_targets(preferred.record.service):
            if target is preferred or target.id in exchange.tried_targets:
                continue
            if exchange.software and target.record.software != exchange.software:
                continue
            if self.is_limited(target):
                found.append(target)
        return found

    def is_limited(self, target: Target) -> bool:
        """Return whether a target has named a limit."""
        return self.directory.limits.per_s(target.id) is not None

    def are_limits_exhausted(self, exchange: Exchange) -> bool:
        """Return whether all targets of a request have limits that permit no request now."""
        now = asyncio.get_running_loop().time()
        denied = self.permits.denied_targets(max_permit_delay_s(exchange), now)
        found = [
            target
            for part in exchange.route.services
            for target in self.directory.accepting_targets(part.service)
        ]
        if exchange.software:
            found = self.targets_with_software(exchange)
        return bool(found) and all(target.id in denied for target in found)

    @contextlib.contextmanager
    def track(self, exchange: Exchange, target: Target) -> Iterator[TargetAttempt]:
        """Count an attempt as in flight while the context lasts, then log its outcome.

        At the end the connection is released, and a failure is recorded in the directory, which
        then avoids the target for `SUSPECT_S` seconds if the failure is the target's fault.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        in_flight = target.in_flight
        limit_per_s = self.directory.limits.per_s(target.id)
        begun_with = exchange.software
        resumed_after = exchange.last_event_id()
        leaving_s = self.directory.leaving_s(target, began)
        if self.on_arrival is not None and exchange.attempt_count <= 1:
            self.on_arrival(target.record.service)
        target.in_flight += 1
        attempt = TargetAttempt()
        try:
            yield attempt
        finally:
            target.in_flight -= 1
            if attempt.connection is not None:
                self.pool.release(attempt.connection)
            exchange.log_attempt(
                target,
                attempt.outcome,
                began,
                in_flight,
                limit_per_s,
                begun_with,
                resumed_after,
                leaving_s,
            )
            if attempt.connection_lost:
                self.crash_probe.start(exchange.fingerprint, exchange.attempt.id, target)
            if attempt.failed:
                self.directory.record_failure(target, attempt.outcome, SUSPECT_S, loop.time())

    async def send(
        self,
        exchange: Exchange,
        target: Target,
        attempt: TargetAttempt,
        last_event_id: int | None = None,
    ) -> ResponseHead:
        """Send the request and return the head of the response.

        From its first byte on the request counts as possibly run, unless the target responds that
        it did not run it.

        Raises
        ------
        ConnectFailed
            If nothing was sent.
        ResponseIncomplete
            If there is no complete response head; the request may have run.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        attempt.connection = await self.connection_for(exchange, target)
        if exchange.route.kind is RouteKind.STREAMING and exchange.route.resumable:
            await verify_run(attempt.connection, target, self.directory)
        exchange.possible_runs += 1
        if self.meter is not None:
            self.meter.record_sent(exchange, target)
        request = exchange.request
        fields = wire.forwarded_fields(
            request.headers,
            target.id,
            exchange.remaining_s(),
            last_event_id,
            exchange.sent_tenant(),
        )
        head = await attempt.connection.request(
            request.method,
            request.target,
            fields,
            request.body,
            wire.echo_field(exchange.attempt.id),
        )
        attempt.outcome = f"status {head.status}"
        self.record_response(exchange, target, head, began)
        return head

    async def connection_for(self, exchange: Exchange, target: Target) -> ClientConnection:
        """Return a connection to a target.

        A pooled connection that may be closing is used only for repeatable requests, and one that
        has carried an earlier attempt of the request is not used: a late extra copy of its response
        would be taken for the response to this attempt.
        """
        echo = wire.echo_field(exchange.attempt.id)
        connection = self.pool.acquire_idle(target.record.address, echo)
        if connection is None:
            return await self.pool.acquire(target.record.address, fresh=True)
        idle_s = asyncio.get_running_loop().time() - connection.idle_since
        if exchange.may_repeat() or idle_s < REUSE_MAX_IDLE_S:
            return connection
        connection.close()
        return await self.pool.acquire(target.record.address, fresh=True)

    def record_response(
        self, exchange: Exchange, target: Target, head: ResponseHead, sent_at: float
    ) -> None:
        """Record what a response says about its target and whether the request was run."""
        response = wire.read_response_head(head.status, head.headers)
        now = asyncio.get_running_loop().time()
        target.record_response(now)
        self.directory.record_state(target, response, sent_at, now)
        if response.not_run:
            exchange.possible_runs -= 1
            if self.meter is not None:
                self.meter.record_not_run(exchange, target)
            return
        target.record_latency(now - sent_at, response.slowdown)
        if head.status < 500:
            self.directory.record_success(target, now)


def max_permit_delay_s(exchange: Exchange) -> float:
    """Return the longest time in seconds that a request waits for the permit that it has."""
    return min(MAX_PERMIT_DELAY_S, PERMIT_DELAY_SHARE * max(exchange.remaining_s(), 0.0))
