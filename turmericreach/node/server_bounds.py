"""Bounds on what the clients of all listeners of a process make it hold."""

import asyncio

import attrs

from turmericreach.http1 import (
    BUFFER_MEMORY_SHARE,
    ConnectionBudget,
    ConnectionPool,
    Handler,
    MemoryBudget,
    RejectionCounts,
    Request,
    Responder,
    ServerBounds,
    ServerLimits,
    budget_bytes,
    connection_limit,
)
from turmericreach.platform.targets import retry_after_fields
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = [
    "CALLERS",
    "METRICS",
    "PEERS",
    "READY",
    "make_bounds",
    "peer_limits",
    "report_rejections",
    "with_room",
]

CALLERS, READY, PEERS, METRICS = "callers", "ready", "peers", "metrics"
# Connections that the other listeners cannot use. The rest goes to whichever listener needs it: to
# the calls of other gateways at the coordinator, to callers elsewhere.
CONNECTION_SHARES = {CALLERS: 0.1, PEERS: 0.2, READY: 0.01, METRICS: 0.01}
# Kept for connections to targets, other gateways and the store: the coordinator pings 340 gateways,
# and the smallest gateway has 1,374 descriptors for connections.
OWN_SHARE = 0.27
# A client that was rejected for lack of memory may retry once the bodies in progress are complete.
BUSY_RETRY_S = 1.0
# Calls between processes carry whole lots and need larger bodies than those of callers.
PEER_LIMITS = ServerLimits(header_bytes=65_536, body_bytes=64 << 20, idle_timeout_s=30.0)
REPORT_INTERVAL_S = 1.0


def make_bounds(memory_bytes: int, max_descriptors: int) -> ServerBounds:
    """Return the bounds of a process; without a limit on descriptors, connections have none."""
    limit = connection_limit(max_descriptors) if max_descriptors else None
    return ServerBounds(
        memory=MemoryBudget(budget_bytes(memory_bytes)),
        connections=ConnectionBudget(limit, CONNECTION_SHARES, OWN_SHARE),
        busy_fields=retry_after_fields(BUSY_RETRY_S),
    )


def peer_limits(memory_bytes: int) -> ServerLimits:
    """Return the limits on calls of other gateways.

    A message occupies several times the memory of its body once it is decoded.
    """
    body_bytes = min(PEER_LIMITS.body_bytes, int(memory_bytes * BUFFER_MEMORY_SHARE))
    return attrs.evolve(PEER_LIMITS, body_bytes=body_bytes)


def with_room(handler: Handler, bounds: ServerBounds, pools: list[ConnectionPool]) -> Handler:
    """Return a handler that rejects a request for which no own connections are left.

    Idle own connections are closed first.
    """
    in_progress = 0
    bounds.connections.count_own = lambda: sum(pool.buffers.connections for pool in pools)

    async def handle(request: Request, responder: Responder) -> None:
        nonlocal in_progress
        missing, lasting = bounds.connections.missing_own(in_progress)
        for pool in pools:
            if missing > 0:
                missing -= pool.close_some_idle(missing)
        if missing > 0 or lasting > 0:
            bounds.rejections.count("connections")
            responder.send(503, bounds.busy_fields)
            return
        in_progress += 1
        try:
            await handler(request, responder)
        finally:
            in_progress -= 1

    return handle


async def report_rejections(counts: RejectionCounts) -> None:
    """Log the rejected clients, at most once a second, until cancelled."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        new = counts.take_new()
        if not new:
            continue
        reasons = ", ".join(f"{reason} {number}" for reason, number in new.items())
        log_event(events.CLIENTS_REJECTED, clients=sum(new.values()), reasons=reasons)
