"""Tries of requests at targets."""

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
from turmericreach.placement import PlacementPolicy
from turmericreach.platform import targets as wire
from turmericreach.services import LoadReport, Target, TargetDirectory

__all__ = ["SUSPECT_S", "TargetTries", "Try"]

# A target that failed is avoided for this long.
SUSPECT_S = 2.0
# A kept connection that was idle for longer may be closing; only requests that may be repeated
# are sent on it.
FRESH_IDLE_S = 1.0


@attrs.define
class Try:
    """A request at one target.

    Attributes
    ----------
    connection : ClientConnection or None
        Carries it, None if there is none.
    outcome : str
        What became of it.
    lost : bool
        Whether the target could not be reached or its answer was not whole.
    """

    connection: ClientConnection | None = None
    outcome: str = "cancelled"
    lost: bool = False

    def lose(self, error: Exception) -> str:
        """Note that the target was not reached or did not answer whole; return the outcome."""
        what = "not connected" if isinstance(error, ConnectFailed) else "no whole answer"
        self.outcome = f"{what}: {error}"
        self.lost = True
        return self.outcome


class TargetTries:
    """Sends requests to targets, and keeps what that tells of them."""

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

    def choose(self, exchange: Exchange) -> Target | None:
        """Return a target of the route that has not been tried."""
        service = exchange.route.choose_service(self.random)
        now = asyncio.get_running_loop().time()
        return self.policy.choose(
            self.directory.of_service(service), now, self.data_centre, exchange.tried
        )

    @contextlib.contextmanager
    def track(self, exchange: Exchange, target: Target) -> Iterator[Try]:
        """Count a try while it lasts, and log its outcome."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        in_flight = target.in_flight
        target.in_flight += 1
        attempt = Try()
        try:
            yield attempt
        finally:
            target.in_flight -= 1
            if attempt.connection is not None:
                self.pool.release(attempt.connection)
            exchange.log_try(target, attempt.outcome, began, in_flight)
            if attempt.lost:
                self.directory.note_failure(target, attempt.outcome, SUSPECT_S, loop.time())

    async def send(
        self,
        exchange: Exchange,
        target: Target,
        attempt: Try,
        last_event_id: int | None = None,
    ) -> ResponseHead:
        """Send the request and return the head of the answer.

        From its first byte on the request counts as run, until the target says that it did not
        run it.

        Raises
        ------
        ConnectFailed
            If nothing was sent.
        ResponseIncomplete
            If there is no answer; the request may have run.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        attempt.connection = await self.connection_for(exchange, target)
        exchange.ran += 1
        request = exchange.request
        fields = wire.forwarded_fields(
            request.headers, target.id, exchange.time_left_s(), last_event_id
        )
        head = await attempt.connection.request(
            request.method,
            request.target,
            fields,
            request.body,
            wire.echo_field(exchange.attempt.id),
        )
        attempt.outcome = f"status {head.status}"
        self.note_answer(exchange, target, head, loop.time() - began)
        return head

    async def connection_for(self, exchange: Exchange, target: Target) -> ClientConnection:
        """Return a connection to a target; one that may be closing only for repeatable requests."""
        connection = self.pool.acquire_idle(target.record.address)
        if connection is None:
            return await self.pool.acquire(target.record.address, fresh=True)
        idle_s = asyncio.get_running_loop().time() - connection.idle_since
        if exchange.may_repeat() or idle_s < FRESH_IDLE_S:
            return connection
        connection.close()
        return await self.pool.acquire(target.record.address, fresh=True)

    def note_answer(
        self, exchange: Exchange, target: Target, head: ResponseHead, seconds: float
    ) -> None:
        """Keep what an answer tells of its target and of the request."""
        answer = wire.read_response_head(head.status, head.headers)
        now = asyncio.get_running_loop().time()
        target.note_sign_of_life(now)
        if answer.load is not None:
            target.load = LoadReport(*answer.load, now)
        if answer.not_run:
            exchange.ran -= 1
            return
        target.note_latency(seconds)
        if head.status < 500:
            self.directory.note_success(target, now)
