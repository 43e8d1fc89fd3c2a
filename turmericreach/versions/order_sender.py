"""Sending of load orders to targets, and what is known of their outcome."""

import asyncio

from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.messages import LoadNotice
from turmericreach.coordination.peers import PeerTable
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseHead, ResponseIncomplete
from turmericreach.platform import targets as wire
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.names import REPORT_PATH
from turmericreach.services import Target, TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.unexpected import log_unexpected
from turmericreach.versions.planner import LoadOrder

__all__ = ["OrderSender"]

# Targets respond to an order at once. After a timeout the order can safely be sent again, since it
# is conditional on the number of orders that the target has accepted.
ORDER_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 0.6
# A load takes 0.9 s, and longer while several targets load.
LOAD_S = 1.0
# Pause before the report of a target is read after an order with unknown outcome.
UNKNOWN_OUTCOME_PAUSE_S = 0.3
# Pause before another order to a target that has rejected one or is still loading.
BUSY_PAUSE_S = 0.3


class OrderSender:
    """Sends load orders for the holder of the coordinator duty.

    Attributes
    ----------
    host : str
        Name of this host, the sender of the orders.
    duty : CoordinatorDuty
        Duty to coordinate, with its fencing token.
    directory : TargetDirectory
        All targets.
    peers : PeerTable
        The other processes.
    pool : ConnectionPool
        Connections to targets.
    orders_accepted : dict of str to int
        Number of orders that each target has accepted; targets whose number has to be read from
        their report first are missing.
    busy_until : dict of str to float
        Loop time until which each target gets no order.
    """

    def __init__(
        self,
        host: str,
        duty: CoordinatorDuty,
        directory: TargetDirectory,
        peers: PeerTable,
        pool: ConnectionPool,
    ):
        self.host = host
        self.duty = duty
        self.directory = directory
        self.peers = peers
        self.pool = pool
        self.orders_accepted: dict[str, int] = {}
        self.busy_until: dict[str, float] = {}

    def is_busy(self, target: Target, now: float) -> bool:
        """Return whether a target is, or may be, processing an order."""
        return now < self.busy_until.get(target.id, 0.0)

    async def try_order(self, order: LoadOrder, target: Target, token: int) -> None:
        """Send one order; an unexpected error ends this order alone, and it is sent again later."""
        try:
            await self.send_order(order, target, token)
        except Exception as error:
            log_unexpected("order", target.id, error)
            self.orders_accepted.pop(target.id, None)

    async def send_order(self, order: LoadOrder, target: Target, token: int) -> None:
        """Send one order, record its outcome and log it.

        Parameters
        ----------
        order : LoadOrder
            Order to send.
        target : Target
            Target of the order.
        token : int
            Fencing token of the coordinator duty.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.busy_until[target.id] = started_at + ORDER_TIMEOUT_S + UNKNOWN_OUTCOME_PAUSE_S
        expected = self.orders_accepted.get(target.id)
        if expected is None:
            expected = await self.fetch_orders_accepted(target)
            if expected is None or target.model_versions.get(order.model, 0) >= order.version:
                self.busy_until[target.id] = loop.time() + BUSY_PAUSE_S
                return
        status = await self.post_order(order, target, token, expected)
        now = loop.time()
        if status in (200, 202):
            self.record_accepted_order(order, target, now, loaded=status == 200)
            await self.notify_peers(order, now)
        elif status == 412:
            self.duty.release("a target has seen a higher fencing token")
        else:
            # The target may have accepted the order, or may still accept it. Its report has to be
            # read before another order is sent.
            self.orders_accepted.pop(target.id, None)
            pause_s = BUSY_PAUSE_S if status is not None else UNKNOWN_OUTCOME_PAUSE_S
            self.busy_until[target.id] = now + pause_s
        log_event(
            events.ORDER_SENT,
            target=target.id,
            model=order.model,
            version=order.version,
            outcome="no answer" if status is None else f"status {status}",
            fencing=token,
            expected_orders=expected,
            ms=round((now - started_at) * 1000, 1),
        )

    def record_accepted_order(
        self, order: LoadOrder, target: Target, now: float, loaded: bool
    ) -> None:
        """Record that a target has accepted an order or has loaded the version already.

        Parameters
        ----------
        order : LoadOrder
            Accepted order.
        target : Target
            Target of the order.
        now : float
            Loop time in seconds.
        loaded : bool
            Whether the target had already loaded the version, so that no load begins.
        """
        if not loaded:
            self.orders_accepted[target.id] = self.orders_accepted.get(target.id, 0) + 1
        pause_s = 0.0 if loaded else LOAD_S
        self.busy_until[target.id] = now + pause_s
        target.loading_until = now + pause_s
        target.record_version(order.model, order.version)

    async def notify_peers(self, order: LoadOrder, now: float) -> None:
        """Notify the other processes, whose records of the target are updated only later."""
        ready_in_s = max(self.busy_until[order.target] - now, 0.0)
        notice = LoadNotice(order.target, order.model, order.version, ready_in_s)
        await self.peers.send_to_all("/peer/loading", notice)

    async def fetch_orders_accepted(self, target: Target) -> int | None:
        """Return the number of orders that a target has accepted, from its report.

        Returns None if there is no report, if the target is still loading, or if the report is from
        another run of the target than the known record.
        """
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                head, body = await self.pool.fetch(
                    target.record.address,
                    "GET",
                    REPORT_PATH,
                    wire.report_fields(),
                    echo=wire.echo_field(),
                )
            if head.status != 200:
                return None
            report = wire.decode_report(body)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError) as error:
            log_event(
                events.ORDER_SENT,
                target=target.id,
                model="",
                version=0,
                outcome=f"no report: {type(error).__name__} {error}",
                fencing=self.duty.token,
                expected_orders=None,
                ms=0.0,
            )
            return None
        if report.loading:
            self.busy_until[target.id] = asyncio.get_running_loop().time() + BUSY_PAUSE_S
            return None
        if target.record.started_ms and report.started_ms not in (0, target.record.started_ms):
            return None
        self.record_leave(target, head)
        target.model_versions.update(report.versions)
        self.orders_accepted[target.id] = report.orders_accepted
        return report.orders_accepted

    async def post_order(
        self, order: LoadOrder, target: Target, token: int, expected: int
    ) -> int | None:
        """Send an order over HTTP.

        Parameters
        ----------
        order : LoadOrder
            Order to send.
        target : Target
            Target of the order.
        token : int
            Fencing token of the coordinator duty.
        expected : int
            Number of orders that the target must have accepted so far; otherwise it rejects it.

        Returns
        -------
        int or None
            Status code of the response, None if there was no complete response.
        """
        self.peers.last_order_at = asyncio.get_running_loop().time()
        message = wire.VersionOrder(order.model, order.version, self.host, token, expected)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                head, _ = await self.pool.fetch(
                    target.record.address,
                    "POST",
                    wire.ORDER_PATH,
                    wire.order_fields(target.id),
                    wire.encode_order(message),
                    wire.echo_field(),
                )
        except (ConnectFailed, ResponseIncomplete, TimeoutError):
            # send_order logs an order without a response.
            return None
        self.record_leave(target, head)
        return head.status

    def record_leave(self, target: Target, head: ResponseHead) -> None:
        """Record whether a response of a target announces that it leaves."""
        if wire.read_response_head(head.status, head.headers).leaving:
            self.directory.record_leave(target, asyncio.get_running_loop().time())
