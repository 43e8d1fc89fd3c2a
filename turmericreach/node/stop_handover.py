"""Handover of what a stopping process does to other processes."""

import asyncio

from turmericreach.admission import ShutdownTimes
from turmericreach.batches.handover import LotHandover
from turmericreach.coordination.peers import PeerTable
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["StopHandover"]


class StopHandover:
    """Hands over lots and counts of requests, within the time of a stop.

    Parameters
    ----------
    peers : PeerTable
        Other processes.
    lots : LotHandover
        Hands over the lots that run here.
    """

    def __init__(self, peers: PeerTable, lots: LotHandover):
        self.peers = peers
        self.lots = lots

    async def run(self) -> None:
        """Hand the lots and the counts of requests so far over."""
        await asyncio.gather(self.hand_over_usage(), self.lots.hand_over_all("stopping"))

    async def finish(self, handover: asyncio.Task, times: ShutdownTimes) -> None:
        """Hand over the counts of the last requests, and give up a handover that takes too long."""
        deadline = (times.close_at + times.end_at) / 2
        try:
            async with asyncio.timeout_at(deadline):
                await handover
                await self.hand_over_usage()
        except TimeoutError:
            log_event(
                events.HANDOVER_INCOMPLETE,
                lots=len(self.lots.registry.owned_records()),
                seconds=deadline - times.began,
            )

    async def hand_over_usage(self) -> None:
        """Send the counts of requests to the processes that will report them."""
        if self.peers.usage is not None:
            await self.peers.usage.hand_over()
