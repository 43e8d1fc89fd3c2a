"""Attempts to serve requests at targets."""

import asyncio
import contextlib
import random
from collections.abc import Iterator

import attrs

from turmericreach.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ResponseHead,
)
from turmericreach.node.exchange import Exchange
from turmericreach.placement import PlacementPolicy, ReturnSchedule, service_rate_per_s
from turmericreach.platform import targets as wire
from turmericreach.services import Target, TargetDirectory

__all__ = ["SUSPECT_S", "TargetAttempt", "TargetAttempts"]

# Time for which a target that failed is avoided.
SUSPECT_S = 2.0
# A pooled connection that was idle for longer may be closing; only repeatable requests are sent on
# it.
REUSE_MAX_IDLE_S = 1.0


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
    """

    connection: ClientConnection | None = None
    outcome: str = "cancelled"
    failed: bool = False

    def record_failure(self, error: Exception) -> str:
        """Record a failed connection or an incomplete response; return the outcome."""
        failure = "not connected" if isinstance(error, ConnectFailed) else "no whole answer"
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
    """

    def __init__(
        self,
        directory: TargetDirectory,
        pool: ConnectionPool,
        data_centre: str,
        policy: PlacementPolicy,
    ):
        self.directory = directory
        self.policy = policy
        self.pool = pool
        self.data_centre = data_centre
        self.random = random.Random()
        self.returns = ReturnSchedule()

    def busy_retry_s(self, exchange: Exchange) -> float:
        """Return the seconds after which a request that no target accepted may come again."""
        service = exchange.route.services[0].service
        now = asyncio.get_running_loop().time()
        rate_per_s = service_rate_per_s(self.directory.accepting_targets(service), now)
        return self.returns.busy_retry_s(service, rate_per_s, now)

    def select_target(self, exchange: Exchange) -> Target | None:
        """Select a target of the route to which the request was not sent yet.

        Returns
        -------
        Target or None
            None if there is no such target that can accept the request.
        """
        service = exchange.route.choose_service(self.random)
        now = asyncio.get_running_loop().time()
        return self.policy.choose(
            self.directory.accepting_targets(service), now, self.data_centre, exchange.tried_targets
        )

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
        target.in_flight += 1
        attempt = TargetAttempt()
        try:
            yield attempt
        finally:
            target.in_flight -= 1
            if attempt.connection is not None:
                self.pool.release(attempt.connection)
            exchange.log_attempt(target, attempt.outcome, began, in_flight, limit_per_s)
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
        exchange.possible_runs += 1
        request = exchange.request
        fields = wire.forwarded_fields(
            request.headers, target.id, exchange.remaining_s(), last_event_id
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

        A pooled connection that may be closing is used only for repeatable requests.
        """
        connection = self.pool.acquire_idle(target.record.address)
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
            return
        target.record_latency(now - sent_at)
        if head.status < 500:
            self.directory.record_success(target, now)
