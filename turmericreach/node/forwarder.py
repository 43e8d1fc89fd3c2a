"""Forwarding of callers' requests to targets, with retries and hedging."""

import asyncio

import attrs

from turmericreach.coordination.stream_origins import StreamOrigins
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseHead, ResponseIncomplete
from turmericreach.node.exchange import Exchange
from turmericreach.node.request_gate import RequestGate
from turmericreach.node.shutdown import Shutdown, cancel_and_wait
from turmericreach.node.streams import StreamForwarder
from turmericreach.node.target_attempts import TargetAttempts
from turmericreach.placement import PlacementPolicy, hedge_delay_s
from turmericreach.placement.budgets import Budget
from turmericreach.platform import targets as wire
from turmericreach.services import RouteKind, Target, TargetDirectory, is_responding
from turmericreach.sharing import CrashTable, PermitSource
from turmericreach.telemetry.unexpected import log_unexpected

__all__ = ["Forwarder"]

# Pause before a request that all targets rejected is sent again; a slot may be free by then.
REJECTED_PAUSE_S = 0.03
# Factor on the route's `max_attempts`: bound on all attempts, those that targets rejected included.
REJECTIONS_PER_TARGET = 4


@attrs.frozen
class AttemptResult:
    """Result of one attempt at a target.

    Attributes
    ----------
    head : ResponseHead or None
        Head of the response; None if there is no response that the caller should get.
    body : bytes
        Body of the response, empty if there is none.
    reason : str
        Why there is no such response; empty if there is one.
    """

    head: ResponseHead | None
    body: bytes
    reason: str = ""


class Forwarder:
    """Forwards requests to targets.

    Parameters
    ----------
    directory : TargetDirectory
        Targets of each service.
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
    origins : StreamOrigins
        Software that began the streams of callers.
    shutdown : Shutdown, optional
        Stop of this process; by default it never stops.

    Attributes
    ----------
    hedges : Budget or None
        Hedges that the requests so far permit, None for any number.
    gate : RequestGate or None
        Decides which requests are rejected at their arrival; None if all are admitted.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        pool: ConnectionPool,
        data_centre: str,
        policy: PlacementPolicy,
        permits: PermitSource,
        crashes: CrashTable,
        origins: StreamOrigins,
        shutdown: Shutdown | None = None,
    ):
        self.shutdown = shutdown or Shutdown(lambda: False)
        self.crashes = crashes
        self.hedges: Budget | None = None
        self.attempts = TargetAttempts(directory, pool, data_centre, policy, permits, crashes)
        self.streams = StreamForwarder(self.attempts, origins)
        self.gate: RequestGate | None = None

    async def forward(self, exchange: Exchange) -> None:
        """Serve a request until its response is sent or its deadline passes.

        The work is cancelled if the caller disconnects.
        """
        loop = asyncio.get_running_loop()
        if self.crashes.is_rejected(exchange.fingerprint, loop.time()):
            # 502 promises nothing, since earlier arrivals of the request have run. Without a
            # Retry-After field it does not ask for another one.
            exchange.reject(502, "targets have ended under this request")
            return
        if not self.shutdown.may_begin(exchange):
            reason = "rejected at once: the process is about to stop"
            exchange.reject(503, reason, self.shutdown.retry_s())
            return
        if self.gate is None:
            await self.serve_until_deadline(exchange)
            return
        decision = self.gate.decide(exchange)
        if not decision.admitted:
            reason = f"rejected at once: {decision.reason}"
            exchange.reject(503, reason, self.attempts.busy_retry_s(exchange))
            return
        with self.gate.track(exchange):
            await self.serve_until_deadline(exchange)

    async def serve_until_deadline(self, exchange: Exchange) -> None:
        """Serve an admitted request until its response is sent or its deadline passes.

        The end of this process is a deadline for all requests.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        is_stream = exchange.route.kind is RouteKind.STREAMING
        serve = self.streams.serve if is_stream else self.serve
        work = loop.create_task(serve(exchange))
        disconnected = loop.create_task(exchange.request.disconnected.wait())
        try:
            await asyncio.wait(
                {work, disconnected, self.shutdown.cutoff_future()},
                timeout=max(exchange.remaining_s(), 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            disconnected.cancel()
            await cancel_and_wait(work)
        if not work.cancelled():
            work.result()
            self.shutdown.durations.record(exchange.route.name, loop.time() - began)
            return
        if exchange.request.disconnected.is_set():
            exchange.log_end(0, "the caller disconnected")
            return
        if self.shutdown.is_cut_off():
            self.reject_expired(exchange, "the process stops", self.shutdown.retry_s())
            return
        self.reject_expired(exchange, "deadline passed", self.attempts.busy_retry_s(exchange))

    def reject_expired(self, exchange: Exchange, reason: str, retry_s: float) -> None:
        """End a request for which no time is left.

        503 is sent only if no target can have run the request.
        """
        if exchange.responder.started:
            exchange.abort(f"{reason} during the response")
        elif exchange.possible_runs:
            exchange.reject(504, reason)
        else:
            exchange.reject(503, f"{reason} before a target accepted it", retry_s)

    async def serve(self, exchange: Exchange) -> None:
        """Send the request to targets until one responds, and forward that response."""
        result = await self.first_response(exchange)
        if result is not None and result.head is not None:
            exchange.send_response(result.head, result.body)
        elif exchange.possible_runs:
            exchange.reject(502, result.reason if result is not None else "no response")
        else:
            exchange.reject(503, "no target accepts requests", self.attempts.busy_retry_s(exchange))

    async def first_response(self, exchange: Exchange) -> AttemptResult | None:
        """Return the first usable response.

        A repeatable request is also sent to a second target if the first one is slow.

        Returns
        -------
        AttemptResult or None
            The usable response, else the last result; None if no attempt was made.
        """
        running: dict[asyncio.Task, Target] = {}
        last: AttemptResult | None = None
        if self.hedges is not None:
            self.hedges.earn()
        try:
            while True:
                if not running or self.may_hedge(exchange, running):
                    target = await self.next_target(exchange, bool(running))
                    if target is not None and (not running or self.take_hedge(running)):
                        running[self.start_attempt(exchange, target)] = target
                    elif not running:
                        if not self.may_retry_later(exchange):
                            return last
                        await asyncio.sleep(REJECTED_PAUSE_S)
                        continue
                done, _ = await asyncio.wait(
                    running,
                    timeout=self.wait_timeout_s(exchange, running),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    del running[task]
                    last = self.check_response(exchange, task.result())
                    if last.head is not None:
                        return last
                if not running and self.attempts_exhausted(exchange):
                    return last
        finally:
            for task in running:
                task.cancel()

    async def next_target(self, exchange: Exchange, is_hedge: bool) -> Target | None:
        """Return the target of the next attempt, None if no target can accept the request.

        A hedge goes only to targets without a limit: it must not use up what other requests need,
        nor wait while the response of the first attempt may arrive.
        """
        if is_hedge:
            return self.attempts.select_target(exchange, unlimited=True)
        return await self.attempts.admit(exchange)

    def take_hedge(self, running: dict[asyncio.Task, Target]) -> bool:
        """Return whether a hedge is within the budget, and use it up.

        Load pattern: an overloaded service responds late, and a second attempt of each late request
        doubles its load. A target that responds to nothing has lost its requests instead; they are
        sent to another one whatever the budget.
        """
        if self.hedges is None:
            return True
        newest = list(running.values())[-1]
        if not is_responding(newest, asyncio.get_running_loop().time()):
            return True
        return self.hedges.take()

    def attempts_exhausted(self, exchange: Exchange) -> bool:
        """Return whether the request may not be run again."""
        if exchange.possible_runs >= exchange.route.max_attempts:
            return True
        if self.attempts.is_rejected(exchange):
            return True
        return exchange.possible_runs > 0 and not exchange.may_repeat()

    def may_retry_later(self, exchange: Exchange) -> bool:
        """Return whether to retry after a pause, since full targets may soon have a free slot.

        If so, all targets may be selected again.
        """
        if exchange.remaining_s() < 2 * REJECTED_PAUSE_S or not exchange.tried_targets:
            return False
        if exchange.attempt_count >= REJECTIONS_PER_TARGET * exchange.route.max_attempts:
            return False
        if self.attempts.are_limits_exhausted(exchange):
            return False
        exchange.tried_targets.clear()
        return True

    def may_hedge(self, exchange: Exchange, running: dict) -> bool:
        """Return whether another target may get the request while attempts are running."""
        if not exchange.may_repeat():
            return False
        return max(exchange.possible_runs, len(running)) < exchange.route.max_attempts

    def wait_timeout_s(self, exchange: Exchange, running: dict[asyncio.Task, Target]) -> float:
        """Return the seconds to wait for running attempts before a hedge or the deadline is due."""
        remaining_s = max(exchange.remaining_s(), 0.0)
        if not self.may_hedge(exchange, running):
            return remaining_s
        newest = list(running.values())[-1]
        return hedge_delay_s(newest, remaining_s)

    def start_attempt(self, exchange: Exchange, target: Target) -> asyncio.Task:
        """Start an attempt at a target as a task."""
        exchange.tried_targets.add(target.id)
        exchange.attempt_count += 1
        return asyncio.get_running_loop().create_task(self.send_to_target(exchange, target))

    async def send_to_target(self, exchange: Exchange, target: Target) -> AttemptResult:
        """Send a request to a target and return its whole response."""
        with self.attempts.track(exchange, target) as attempt:
            try:
                head = await self.attempts.send(exchange, target, attempt)
                body = await attempt.connection.read_body()
                if not wire.read_response_head(head.status, head.headers).not_run:
                    self.attempts.record_completion(exchange)
                return AttemptResult(head, body)
            except (ConnectFailed, ResponseIncomplete) as error:
                return AttemptResult(None, b"", attempt.record_failure(error))
            except Exception as error:
                log_unexpected("attempt", target.id, error)
                return AttemptResult(None, b"", attempt.record_failure(error))

    def check_response(self, exchange: Exchange, result: AttemptResult) -> AttemptResult:
        """Return the result, without its response if another target should get the request."""
        if result.head is None:
            return result
        response = wire.read_response_head(result.head.status, result.head.headers)
        if response.not_run:
            return attrs.evolve(result, head=None, reason=f"not run: status {response.status}")
        if 200 <= response.status < 300 and not response.stamp:
            return attrs.evolve(result, head=None, reason="no stamp")
        repeatable = exchange.may_repeat() and exchange.possible_runs < exchange.route.max_attempts
        if (
            response.status >= 500
            and repeatable
            and self.attempts.select_target(exchange) is not None
        ):
            return attrs.evolve(result, head=None, reason=f"status {response.status}")
        return result
