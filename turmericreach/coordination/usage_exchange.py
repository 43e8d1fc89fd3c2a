"""Exchange of the counts of requests, and of wall clocks, with the pings between processes."""

import asyncio
import time

import attrs

from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.messages import CountingStatus, PeerStatus
from turmericreach.coordination.names import DUTY_NAME
from turmericreach.coordination.peers import PeerTable
from turmericreach.duties import ReportTimings, TrueTime, UsageBook, UsageShare
from turmericreach.http1 import query_value, read_number
from turmericreach.placement.ownership import choose_owner
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["USAGE_HANDOVER_PATH", "UsageExchange"]

USAGE_HANDOVER_PATH = "/peer/usage"
# A process that stops has one second left at the end of its grace period.
HANDOVER_TIMEOUT_S = 0.6
# The holder asks each peer for counts once in this time per peer, and at most with each ping. Among
# many gateways each counts little, so that the kill of one loses little even after a second.
ASK_INTERVAL_PER_PEER_S = 0.0035
# Pings are up to this much earlier than their interval.
ASK_SLACK_S = 0.05
# Clocks drift by less than a millisecond in this time.
CLOCK_INTERVAL_S = 5.0
# Whether this process is the deputy is checked this often, since all hosts are compared.
DEPUTY_INTERVAL_S = 1.0
# Reports no longer wait for a process that has been silent for this long.
GONE_S = 30.0


@attrs.frozen
class UsagePosition:
    """How far the counts of a peer have been read.

    Attributes
    ----------
    incarnation : str
        Run of the peer's process.
    revision : int
        Revision of its counts up to which they were read.
    asked_at : float
        True time at which the last ping with its counts was sent.
    """

    incarnation: str
    revision: int
    asked_at: float


class UsageExchange:
    """Counts the requests of this process, and collects the counts of others.

    The holder of the duty asks for counts with its pings, and gets what has changed since it last
    asked. Its deputy, the process that would succeed it, asks for the holder's own counts and for
    those of ended processes, which nobody else has. A process that stops hands all counts that it
    knows to the holder and to two likely successors.

    Attributes
    ----------
    book : UsageBook
        Counts of this process and those heard of.
    clock : TrueTime
        Estimate of true time.
    timings : ReportTimings
        Times of the reports.
    positions : dict of str to UsagePosition
        How far the counts of each peer have been read, by host.
    own_positions : dict of str to UsagePosition
        How far the own counts of a holder have been read as its deputy, by host.
    asked_at : dict of str to float
        Loop time in seconds of the last ping that asked a peer for counts, by host.
    """

    def __init__(self, peers: PeerTable, duty: CoordinatorDuty, timings: ReportTimings):
        self.peers = peers
        self.duty = duty
        self.timings = timings
        self.clock = TrueTime()
        self.book = UsageBook(peers.host, peers.incarnation, self.true_time())
        self.positions: dict[str, UsagePosition] = {}
        self.own_positions: dict[str, UsagePosition] = {}
        self.asked_at: dict[str, float] = {}
        self.deputy = False
        self.deputy_checked_at = float("-inf")
        self.first_kept = 0

    def true_time(self) -> float:
        """Return the estimate of true time, in seconds since 1970."""
        now = asyncio.get_running_loop().time()
        self.clock.record_own(time.time(), now)
        return self.clock.at(now)

    def query(self, host: str) -> str:
        """Return what a ping to a peer asks for, as a part of the query."""
        now = asyncio.get_running_loop().time()
        if self.duty.token is not None:
            interval_s = ASK_INTERVAL_PER_PEER_S * len(self.peers.peers) - ASK_SLACK_S
            if now - self.asked_at.get(host, -1e9) >= interval_s:
                self.asked_at[host] = now
                return position_query(self.positions.get(host))
        elif host == self.duty.holder() and self.is_deputy(now):
            return position_query(self.own_positions.get(host)) + "&own=1"
        sample = self.clock.peer_offsets.get(host)
        is_known = sample is not None and now - sample[1] < CLOCK_INTERVAL_S
        return "" if is_known else "&clock=1"

    def is_deputy(self, now: float) -> bool:
        """Return whether the duty would go to this process if its holder was lost."""
        if now - self.deputy_checked_at >= DEPUTY_INTERVAL_S:
            self.deputy_checked_at = now
            hosts = self.peers.writers()
            hosts.pop(self.duty.holder(), None)
            self.deputy = choose_owner(DUTY_NAME, hosts) == self.peers.host
        return self.deputy

    def extended(self, status: PeerStatus, query: str) -> PeerStatus:
        """Return the own status with the own clock or counts if a ping asks for them."""
        after = read_number(query_value(query, "usage"))
        if after is None and query_value(query, "clock") is None:
            return status
        now = asyncio.get_running_loop().time()
        clock = self.clock.record_own(time.time(), now)
        self.discard_expired()
        fields = {name: getattr(status, name) for name in attrs.fields_dict(PeerStatus)}
        if after is None:
            return CountingStatus(**fields, clock=clock)
        if query_value(query, "run") != self.peers.incarnation:
            after = 0
        own_only = query_value(query, "own") is not None
        return CountingStatus(
            **fields,
            clock=clock,
            usage_revision=self.book.revision,
            usage=self.irreplaceable(after) if own_only else self.book.changes_after(after),
            own_only=own_only,
        )

    def irreplaceable(self, after: int) -> list[UsageShare]:
        """Return the own counts that changed since a revision, and all of ended processes.

        No other process could tell them to the next holder.
        """
        now = asyncio.get_running_loop().time()
        shares = []
        for host, incarnation in self.book.sources:
            if (host, incarnation) == (self.peers.host, self.peers.incarnation):
                shares.append(self.book.share_after((host, incarnation), after))
                continue
            peer = self.peers.peers.get(host)
            is_running = peer is not None and peer.incarnation == incarnation
            if not is_running or not self.peers.is_alive(host, now):
                shares.append(self.book.share_after((host, incarnation), 0))
        return shares

    def record(self, status: CountingStatus, sent_at: float) -> None:
        """Record the status of a peer with which it responded to a ping.

        Parameters
        ----------
        sent_at : float
            Loop time in seconds at which the ping was sent.
        """
        now = asyncio.get_running_loop().time()
        if status.clock:
            self.clock.record_peer(status.host, status.clock, (sent_at + now) / 2)
        if status.usage is None:
            return
        self.book.merge(status.usage)
        asked_at = self.true_time() - (now - sent_at)
        position = UsagePosition(status.incarnation, status.usage_revision, asked_at)
        (self.own_positions if status.own_only else self.positions)[status.host] = position

    def missing_hosts(self, since: float) -> list[str]:
        """Return the peers that were not asked since a true time and may have counted requests."""
        now = asyncio.get_running_loop().time()
        missing = []
        for host, peer in self.peers.peers.items():
            position = self.positions.get(host)
            if position is not None and position.asked_at >= since:
                continue
            has_left = peer.status is not None and peer.status.leaving
            if has_left and not self.peers.is_alive(host, now):
                continue
            if peer.response_age_s(now) < GONE_S:
                missing.append(host)
        return missing

    def discard_expired(self) -> None:
        """Discard the counts of windows that are too old to be reported."""
        first_kept = self.timings.first_kept(self.true_time())
        if first_kept > self.first_kept:
            self.first_kept = first_kept
            self.book.discard_before(first_kept)

    async def hand_over(self) -> None:
        """Send all counts to the holder and to its probable successor."""
        hosts = {self.duty.holder(), *self.peers.successors()} - {None, self.peers.host}
        shares = self.book.changes_after(0)
        results = await asyncio.gather(*(self.send_shares(host, shares) for host in sorted(hosts)))
        accepted = sum(results)
        log_event(events.USAGE_HANDED_OVER, accepted=accepted, hosts=str(sorted(hosts)))

    async def send_shares(self, host: str, shares: list[UsageShare]) -> bool:
        """Send counts to a host and return whether it accepted them."""
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                return await self.peers.send(host, USAGE_HANDOVER_PATH, shares)
        except TimeoutError:
            # The caller logs how many hosts accepted the counts.
            return False


def position_query(position: UsagePosition | None) -> str:
    """Return the part of a query that asks for the counts after a position."""
    if position is None:
        return "&usage=0"
    return f"&usage={position.revision}&run={position.incarnation}"
