"""Brings one engine to its wanted weight version."""

import asyncio

from turmericreach.daemon.hosted import HostedTarget
from turmericreach.targets import EngineError, EngineOrder, EngineVersion, OrderKind, OrderRefused
from turmericreach.telemetry import Metrics, events, log_event
from turmericreach.telemetry import metric_catalogue as metrics
from turmericreach.verdicts import ErrorCode, Verdict
from turmericreach.weights import (
    ActionKind,
    ActionResult,
    FencingNumbers,
    ResultKind,
    TargetConverger,
    WantedTable,
)

__all__ = ["ConvergenceLoop"]

MIN_PAUSE_S = 0.01
ORDER_KINDS = {
    ActionKind.PREPARE: OrderKind.PREPARE,
    ActionKind.ACTIVATE: OrderKind.ACTIVATE,
}


class ConvergenceLoop:
    """Carries out what the converger of one target decides.

    Parameters
    ----------
    target : HostedTarget
    wanted : WantedTable
    numbers : FencingNumbers
    order_token : str
        Proof of who gives the order, for engines that check it.
    on_change : callable
        Called without arguments when the real version or the reachability changed.
    sink : Metrics
    """

    def __init__(
        self,
        target: HostedTarget,
        wanted: WantedTable,
        numbers: FencingNumbers,
        order_token: str,
        on_change,
        sink: Metrics,
    ):
        self.target = target
        self.sink = sink
        self.mismatch: int | None = None
        self.wanted = wanted
        self.converger = TargetConverger(numbers)
        self.order_token = order_token
        self.on_change = on_change
        self.woken = asyncio.Event()
        self.swap_started_at = 0.0
        self.store_refused_until = 0.0

    def wake(self) -> None:
        """Decide again at once, because a wanted version or a grant is new."""
        self.woken.set()

    def grant(self, version: int, seconds: float) -> float:
        """Allow the download of a version before its activation, for some seconds.

        Returns
        -------
        float
            Seconds for which the weight store asked to wait, 0 for none.
        """
        now = asyncio.get_running_loop().time()
        self.converger.grant(version, now + seconds)
        self.wake()
        return max(0.0, self.store_refused_until - now)

    def take_wanted(self) -> None:
        """Pass the wanted versions of the target's model on to the converger."""
        model = self.target.service.model
        for table in (self.wanted.newest, self.wanted.active):
            row = table.get(model)
            if row is not None:
                self.converger.raise_wanted(row.version, row.phase)

    async def run(self) -> None:
        """Converge until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.woken.clear()
            self.take_wanted()
            action = self.converger.next_action(loop.time())
            if action.kind is ActionKind.WAIT:
                await self.pause(action.until - loop.time())
                continue
            if action.kind is ActionKind.READ:
                await self.read(action, loop)
                continue
            await self.order(action, loop)

    async def pause(self, seconds: float) -> None:
        """Wait, or until woken."""
        try:
            async with asyncio.timeout(max(MIN_PAUSE_S, seconds)):
                await self.woken.wait()
        except TimeoutError:
            return

    async def read(self, action, loop) -> None:
        """Read the version that the engine really serves."""
        try:
            answer = await self.target.engine.version()
        except EngineError as error:
            result = ActionResult(ResultKind.FAILED, error=str(error))
            self.converger.on_action_result(action, result, loop.time())
            self.set_reachable(False, str(error))
            return
        prepared = max([*answer.prepared, answer.version])
        self.log_swap(answer, loop.time())
        self.converger.observe(answer.version, prepared, loop.time())
        changed = answer.version != self.target.version or prepared != self.target.prepared
        self.target.version = answer.version
        self.target.prepared = prepared
        self.set_reachable(True)
        if changed:
            self.on_change()

    def log_swap(self, answer: EngineVersion, now: float) -> None:
        """Log the end of a swap, and a version that nobody ordered."""
        name = self.target.spec.name
        active = self.converger.active
        self.sink.gauge(metrics.REAL_VERSION, answer.version, target=name)
        if answer.version >= active:
            self.log_swapped(answer, now)
            return
        was_there = self.target.version >= active > 0
        if self.mismatch is None and (self.converger.swapping or was_there):
            self.mismatch = answer.version
            log_event(events.MISMATCH_FOUND, target=name, real=answer.version, wanted=active)

    def log_swapped(self, answer: EngineVersion, now: float) -> None:
        """Log that the engine serves what is wanted."""
        name = self.target.spec.name
        if self.converger.swapping:
            seconds = now - self.swap_started_at
            log_event(events.SWAP_DONE, target=name, version=answer.version, seconds=seconds)
            self.sink.timing(metrics.SWAP_TIME, seconds, target=name)
        if self.mismatch is not None:
            real, self.mismatch = self.mismatch, None
            log_event(
                events.MISMATCH_REPAIRED, target=name, real=real, wanted=self.converger.active
            )

    def set_reachable(self, reachable: bool, error: str = "") -> None:
        """Note whether the engine answers."""
        if self.target.reachable is reachable:
            return
        self.target.reachable = reachable
        if not reachable:
            log_event(events.TARGET_UNREACHABLE, target=self.target.spec.name, error=error)
        self.on_change()

    async def order(self, action, loop) -> None:
        """Give one order and report its end to the converger."""
        name = self.target.spec.name
        if action.kind is ActionKind.ACTIVATE:
            self.swap_started_at = loop.time()
            log_event(
                events.SWAP_STARTED,
                target=name,
                from_version=self.target.version,
                to_version=action.version,
            )
        order = EngineOrder(
            ORDER_KINDS[action.kind],
            action.version,
            action.fencing,
            self.order_token if self.target.spec.checks_orders else "",
        )
        try:
            await self.target.engine.order(order)
            result = ActionResult(ResultKind.OK)
        except OrderRefused as error:
            kind = ResultKind.FENCED if error.fencing > action.fencing else ResultKind.FAILED
            result = ActionResult(kind, fencing=error.fencing, error=str(error))
        except EngineError as error:
            result = failed_result(error)
        if result.kind is ResultKind.BUSY:
            self.store_refused_until = loop.time() + result.retry_after_s
            log_event(events.WEIGHT_STORE_LIMITED, seconds=result.retry_after_s)
        elif result.kind is not ResultKind.OK:
            log_event(events.SWAP_FAILED, target=name, version=action.version, error=result.error)
        self.converger.on_action_result(action, result, loop.time())


def failed_result(error: EngineError) -> ActionResult:
    """Return the result of an order that was not carried out or whose answer is missing."""
    if error.code == ErrorCode.OVERLOADED:
        return ActionResult(ResultKind.BUSY, retry_after_s=error.retry_after_s, error=str(error))
    kind = ResultKind.LOST if error.verdict is Verdict.MAY_HAVE_RUN else ResultKind.FAILED
    return ActionResult(kind, error=str(error))
