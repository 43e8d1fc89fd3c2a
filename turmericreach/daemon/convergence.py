"""Loop that brings one engine to its wanted weight version."""

import asyncio

from turmericreach.daemon.hosted import HostedTarget
from turmericreach.targets import EngineError, EngineOrder, EngineVersion, OrderKind, OrderRefused
from turmericreach.telemetry import Metrics, events, log_event
from turmericreach.telemetry import metric_catalogue as metrics
from turmericreach.verdicts import ErrorCode, Verdict
from turmericreach.weights import (
    ActionKind,
    ActionResult,
    FencingTokens,
    ResultKind,
    TargetConverger,
    WantedTable,
)

__all__ = ["ConvergenceLoop"]

# Shortest wait between two decisions, so that a deadline that has passed causes no busy loop.
MIN_PAUSE_S = 0.01
ORDER_KINDS = {
    ActionKind.PREPARE: OrderKind.PREPARE,
    ActionKind.ACTIVATE: OrderKind.ACTIVATE,
}


class ConvergenceLoop:
    """Carries out the actions that the converger of one engine decides.

    Parameters
    ----------
    target : HostedTarget
        The engine; its version, prepared version and reachability are updated.
    wanted : WantedTable
        Wanted versions of all models.
    fencing_tokens : FencingTokens
        Source of the fencing tokens of orders.
    order_token : str
        Token that authenticates orders, for engines that check it.
    on_change : callable
        Called without arguments when the real version or the reachability changed.
    sink : Metrics
        Receives the gauge of the real version and the swap times.
    """

    def __init__(
        self,
        target: HostedTarget,
        wanted: WantedTable,
        fencing_tokens: FencingTokens,
        order_token: str,
        on_change,
        sink: Metrics,
    ):
        self.target = target
        self.sink = sink
        self.mismatched_version: int | None = None
        self.wanted = wanted
        self.converger = TargetConverger(fencing_tokens)
        self.order_token = order_token
        self.on_change = on_change
        self.wake_event = asyncio.Event()
        self.swap_started_at = 0.0
        self.store_refused_until = 0.0

    def wake(self) -> None:
        """End the current wait, because of a new wanted version or grant."""
        self.wake_event.set()

    def grant(self, version: int, seconds: float) -> float:
        """Allow the download of a version before its activation.

        Parameters
        ----------
        version : int
            The weight version.
        seconds : float
            Duration of the grant.

        Returns
        -------
        float
            Seconds for which the weight store asked to wait, 0 for none.
        """
        now = asyncio.get_running_loop().time()
        self.converger.grant(version, now + seconds)
        self.wake()
        return max(0.0, self.store_refused_until - now)

    def apply_wanted(self) -> None:
        """Apply the newest and the active wanted version of the model to the converger."""
        model = self.target.service.model
        for table in (self.wanted.newest, self.wanted.active):
            row = table.get(model)
            if row is not None:
                self.converger.raise_wanted(row.version, row.phase)

    async def run(self) -> None:
        """Converge until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.wake_event.clear()
            self.apply_wanted()
            action = self.converger.next_action(loop.time())
            if action.kind is ActionKind.WAIT:
                await self.pause(action.until - loop.time())
                continue
            if action.kind is ActionKind.READ:
                await self.read_version(action, loop)
                continue
            await self.send_order(action, loop)

    async def pause(self, seconds: float) -> None:
        """Wait for some seconds or until `wake` is called."""
        try:
            async with asyncio.timeout(max(MIN_PAUSE_S, seconds)):
                await self.wake_event.wait()
        except TimeoutError:
            return

    async def read_version(self, action, loop) -> None:
        """Read the version that the engine serves and record it."""
        try:
            served = await self.target.engine.version()
        except EngineError as error:
            result = ActionResult(ResultKind.FAILED, error=str(error))
            self.converger.on_action_result(action, result, loop.time())
            self.set_reachable(False, str(error))
            return
        prepared = max([*served.prepared, served.version])
        self.log_version_change(served, loop.time())
        self.converger.observe(served.version, prepared, loop.time())
        changed = served.version != self.target.version or prepared != self.target.prepared
        self.target.version = served.version
        self.target.prepared = prepared
        self.set_reachable(True)
        if changed:
            self.on_change()

    def log_version_change(self, served: EngineVersion, now: float) -> None:
        """Log the end of a swap, or an engine that serves less than the active version."""
        name = self.target.spec.name
        active = self.converger.active
        self.sink.gauge(metrics.REAL_VERSION, served.version, target=name)
        if served.version >= active:
            self.log_swapped(served, now)
            return
        was_active = self.target.version >= active > 0
        if self.mismatched_version is None and (self.converger.swapping or was_active):
            self.mismatched_version = served.version
            log_event(events.MISMATCH_FOUND, target=name, real=served.version, wanted=active)

    def log_swapped(self, served: EngineVersion, now: float) -> None:
        """Log that the engine serves the active version after a swap or a mismatch."""
        name = self.target.spec.name
        if self.converger.swapping:
            seconds = now - self.swap_started_at
            log_event(events.SWAP_DONE, target=name, version=served.version, seconds=seconds)
            self.sink.timing(metrics.SWAP_TIME, seconds, target=name)
        if self.mismatched_version is not None:
            real, self.mismatched_version = self.mismatched_version, None
            log_event(
                events.MISMATCH_REPAIRED, target=name, real=real, wanted=self.converger.active
            )

    def set_reachable(self, reachable: bool, error: str = "") -> None:
        """Record whether the engine responds and log when it stops doing so."""
        if self.target.reachable is reachable:
            return
        self.target.reachable = reachable
        if not reachable:
            log_event(events.TARGET_UNREACHABLE, target=self.target.spec.name, error=error)
        self.on_change()

    async def send_order(self, action, loop) -> None:
        """Send one order to the engine and pass its result to the converger."""
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
    """Return the result of an order that was not carried out or whose response was lost."""
    if error.code == ErrorCode.OVERLOADED:
        return ActionResult(ResultKind.BUSY, retry_after_s=error.retry_after_s, error=str(error))
    kind = ResultKind.LOST if error.verdict is Verdict.MAY_HAVE_RUN else ResultKind.FAILED
    return ActionResult(kind, error=str(error))
