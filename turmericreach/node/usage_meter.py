"""Counting of the callers' requests by tenant, where they begin to run at targets."""

from turmericreach.coordination.usage_exchange import UsageExchange
from turmericreach.duties import RequestUsage
from turmericreach.node.exchange import Exchange
from turmericreach.services import RouteKind, Target

__all__ = ["UsageMeter", "billed_tenant"]


def billed_tenant(exchange: Exchange) -> str:
    """Return the tenant that a request is counted for, empty if it is not counted."""
    if getattr(exchange.route, "public", False):
        return ""
    return getattr(exchange, "tenant", "")


class UsageMeter:
    """Counts each request of a tenant once, in the window in which it begins to run.

    A plain request begins when it is sent to the target, a stream with its first event.
    """

    def __init__(self, usage: UsageExchange):
        self.usage = usage

    def record_sent(self, exchange: Exchange, target: Target) -> None:
        """Record that a request is about to be sent to a target."""
        if exchange.route.kind is not RouteKind.STREAMING:
            self.begin(exchange, target)

    def record_event(self, exchange: Exchange, target: Target) -> None:
        """Record that a target has sent an event of a stream."""
        if exchange.usage is None:
            self.begin(exchange, target)

    def record_not_run(self, exchange: Exchange, target: Target) -> None:
        """Record that a target has responded that it did not run a request."""
        if exchange.usage is not None:
            exchange.usage.withdraw(target.id)

    def begin(self, exchange: Exchange, target: Target) -> None:
        """Count a request now, unless it has no tenant."""
        tenant = billed_tenant(exchange)
        if not tenant:
            return
        if exchange.usage is None:
            window_s = self.usage.timings.window_s
            exchange.usage = RequestUsage(self.usage.book, tenant, window_s)
        exchange.usage.begin(target.id, self.usage.true_time())
