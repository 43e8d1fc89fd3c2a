"""Requests of callers that are passed on to one target each."""

import asyncio
import contextlib

import attrs

from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseHead, ResponseIncomplete
from turmericreach.node.exchange import Exchange
from turmericreach.node.streams import StreamForwarder
from turmericreach.node.target_tries import TargetTries
from turmericreach.placement import PlacementPolicy, hedge_delay_s, retry_after_s
from turmericreach.platform import targets as wire
from turmericreach.services import RouteKind, Target, TargetDirectory

__all__ = ["Forwarder"]

# A request that no target took waits this long for one that may have a free place by then.
REFUSED_PAUSE_S = 0.03
# Tries for each target that the route allows, as long as none of them runs the request.
REFUSALS_A_TARGET = 4


@attrs.frozen
class TryResult:
    """What became of one try at a target.

    Attributes
    ----------
    head, body
        The answer, None if there is none.
    reason : str
        Why there is no answer.
    """

    head: ResponseHead | None
    body: bytes
    reason: str = ""


class Forwarder:
    """Passes requests on to targets."""

    def __init__(
        self,
        directory: TargetDirectory,
        pool: ConnectionPool,
        data_centre: str,
        policy: PlacementPolicy,
    ):
        self.tries = TargetTries(directory, pool, data_centre, policy)
        self.streams = StreamForwarder(self.tries)

    async def forward(self, exchange: Exchange) -> None:
        """Serve a request until it is answered, its time is over, or its caller leaves."""
        loop = asyncio.get_running_loop()
        is_stream = exchange.route.kind is RouteKind.STREAMING
        serve = self.streams.serve if is_stream else self.serve
        work = loop.create_task(serve(exchange))
        gone = loop.create_task(exchange.request.disconnected.wait())
        try:
            await asyncio.wait(
                {work, gone},
                timeout=max(exchange.time_left_s(), 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work
        if not work.cancelled():
            work.result()
            return
        if exchange.request.disconnected.is_set():
            exchange.log_end(0, "the caller left")
            return
        self.end_late(exchange)

    def end_late(self, exchange: Exchange) -> None:
        """Answer a request whose time is over."""
        if exchange.responder.started:
            exchange.break_off("time limit within the answer")
        elif exchange.ran:
            exchange.refuse(504, "time limit")
        else:
            exchange.refuse(503, "no target took it in time", retry_after_s(False, False))

    async def serve(self, exchange: Exchange) -> None:
        """Try targets until one answers."""
        result = await self.first_answer(exchange)
        if result is not None and result.head is not None:
            exchange.pass_on(result.head, result.body)
        elif exchange.ran:
            exchange.refuse(502, result.reason if result is not None else "no answer")
        else:
            exchange.refuse(503, "no target takes requests", retry_after_s(False, False))

    async def first_answer(self, exchange: Exchange) -> TryResult | None:
        """Return the first usable answer; a second target is asked when the first is slow."""
        running: dict[asyncio.Task, Target] = {}
        last: TryResult | None = None
        try:
            while True:
                if not running or self.may_hedge(exchange, running):
                    target = self.tries.choose(exchange)
                    if target is not None:
                        running[self.start_try(exchange, target)] = target
                    elif not running:
                        if not self.may_wait(exchange):
                            return last
                        await asyncio.sleep(REFUSED_PAUSE_S)
                        continue
                done, _ = await asyncio.wait(
                    running,
                    timeout=self.patience_s(exchange, running),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    del running[task]
                    last = self.judge(exchange, task.result())
                    if last.head is not None:
                        return last
                if not running and self.is_used_up(exchange):
                    return last
        finally:
            for task in running:
                task.cancel()

    def is_used_up(self, exchange: Exchange) -> bool:
        """Return whether the request may not be sent again."""
        if exchange.ran >= exchange.route.max_attempts:
            return True
        return exchange.ran > 0 and not exchange.may_repeat()

    def may_wait(self, exchange: Exchange) -> bool:
        """Return whether waiting may help: targets that are full may have a place soon."""
        if exchange.time_left_s() < 2 * REFUSED_PAUSE_S or not exchange.tried:
            return False
        if exchange.tries >= REFUSALS_A_TARGET * exchange.route.max_attempts:
            return False
        exchange.tried.clear()
        return True

    def may_hedge(self, exchange: Exchange, running: dict) -> bool:
        """Return whether one more target may be asked while others are running."""
        if not exchange.may_repeat():
            return False
        return max(exchange.ran, len(running)) < exchange.route.max_attempts

    def patience_s(self, exchange: Exchange, running: dict[asyncio.Task, Target]) -> float:
        """Return how long to wait for the targets that are running."""
        left_s = max(exchange.time_left_s(), 0.0)
        if not self.may_hedge(exchange, running):
            return left_s
        newest = list(running.values())[-1]
        return hedge_delay_s(newest, left_s)

    def start_try(self, exchange: Exchange, target: Target) -> asyncio.Task:
        """Send the request to a target."""
        exchange.tried.add(target.id)
        exchange.tries += 1
        return asyncio.get_running_loop().create_task(self.try_target(exchange, target))

    async def try_target(self, exchange: Exchange, target: Target) -> TryResult:
        """Send a request to a target and return its whole answer."""
        with self.tries.track(exchange, target) as attempt:
            try:
                head = await self.tries.send(exchange, target, attempt)
                return TryResult(head, await attempt.connection.read_body())
            except (ConnectFailed, ResponseIncomplete) as error:
                return TryResult(None, b"", attempt.lose(error))

    def judge(self, exchange: Exchange, result: TryResult) -> TryResult:
        """Return a result without its answer if another target should be tried."""
        if result.head is None:
            return result
        answer = wire.read_response_head(result.head.status, result.head.headers)
        if answer.not_run:
            return attrs.evolve(result, head=None, reason=f"not run: status {answer.status}")
        if 200 <= answer.status < 300 and not answer.stamp:
            return attrs.evolve(result, head=None, reason="no stamp")
        repeatable = exchange.may_repeat() and exchange.ran < exchange.route.max_attempts
        if answer.status >= 500 and repeatable and self.tries.choose(exchange) is not None:
            return attrs.evolve(result, head=None, reason=f"status {answer.status}")
        return result
