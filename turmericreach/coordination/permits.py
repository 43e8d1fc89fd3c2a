"""Permits for requests to targets that have named a limit for all processes together."""

import asyncio
import random
from collections.abc import Sequence

import msgspec

from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.messages import PermitReply, PermitRequest, TargetLimit
from turmericreach.coordination.peer import Peer
from turmericreach.coordination.peers import PeerTable
from turmericreach.http1 import ConnectFailed, ResponseIncomplete
from turmericreach.platform.decoding import DecodeError
from turmericreach.sharing import Denial, LimitTable, Permit, RateArbiter
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["PERMIT_PATH", "TargetPermits"]

PERMIT_PATH = "/peer/permit"
# An arbiter that takes longer is treated as unreachable until it responds again.
PERMIT_TIMEOUT_S = 0.2
# Pause before an arbiter that responded with an error is asked again.
REJECTED_PAUSE_S = 0.3


class TargetPermits:
    """Obtains permits from the process that arbitrates, and grants them if it is this one.

    One process arbitrates the limits of all targets: the coordinator, or while there is none the
    process that would succeed it. Each process learns from responses of targets, and from the
    arbiter, which targets have named a limit. A process that cannot reach the arbiter uses its
    equal share of each limit.

    Parameters
    ----------
    limits : LimitTable
        Limits that are known to this process.
    peers : PeerTable
        Other processes, and which of them arbitrates.

    Attributes
    ----------
    arbiter : RateArbiter
        Grants permits to all processes while this one arbitrates.
    fallback : RateArbiter or None
        Grants this process's share while the arbiter cannot be reached, else None.
    failed_at : float
        Loop time in seconds of the last call that the arbiter did not answer.
    retry_at : float
        Loop time in seconds before which the arbiter is not asked again after a failed call.
    denied_until : dict of str to float
        Loop time in seconds until which no permit for a target is asked for, by target id.
    counts : dict of str to int
        Number of permits by result.
    """

    def __init__(self, limits: LimitTable, peers: PeerTable):
        self.limits = limits
        self.peers = peers
        self.arbiter = RateArbiter()
        self.fallback: RateArbiter | None = None
        self.failed_at = float("-inf")
        self.retry_at = float("-inf")
        self.denied_until: dict[str, float] = {}
        self.counts = {"granted": 0, "denied": 0, "own share": 0}
        self.random = random.Random()

    # What may be asked for

    def denied_targets(self, max_delay_s: float, now: float) -> set[str]:
        """Return the targets for which no permit is available within a number of seconds."""
        found = set()
        for target, until in list(self.denied_until.items()):
            if until <= now:
                del self.denied_until[target]
            elif until - now > max_delay_s and self.limits.per_s(target) is not None:
                found.add(target)
        return found

    def processes(self) -> int:
        """Return the number of processes that share the limits."""
        return len(self.peers.peers) + 1

    def remove(self, target: str) -> None:
        """Remove a target that has left or restarted."""
        self.arbiter.remove(target)
        self.denied_until.pop(target, None)

    # Requests for permits

    async def acquire(
        self, targets: Sequence[str], priority: int, max_delay_s: float
    ) -> Permit | Denial:
        """Request a permit for one of several targets that have named a limit.

        After a denial, none of the targets is asked for again before its time.

        Parameters
        ----------
        targets : sequence of str
            Ids of the targets, the preferred ones first.
        priority : int
            Priority of the request to be sent; 0 is the highest.
        max_delay_s : float
            Longest time in seconds that the request can wait.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        result = await self.ask(targets, priority, max_delay_s)
        if isinstance(result, Permit):
            self.counts["granted"] += 1
            return result
        self.counts["denied"] += 1
        for target in targets:
            self.denied_until[target] = max(now, loop.time()) + max_delay_s + result.retry_s
        return result

    async def ask(
        self, targets: Sequence[str], priority: int, max_delay_s: float
    ) -> Permit | Denial:
        """Ask the arbiter, or decide on this process's share if the arbiter cannot be reached."""
        now = asyncio.get_running_loop().time()
        if self.peers.hub == self.peers.host:
            self.end_fallback()
            return self.arbiter.request(self.rates(targets), priority, max_delay_s, now)
        peer = self.peers.peers.get(self.peers.hub or "")
        if peer is None or not self.may_ask(peer, now):
            return self.decide_alone(targets, priority, max_delay_s, peer)
        message = PermitRequest(self.describe(targets, now), priority, max_delay_s)
        try:
            body = await self.peers.call(
                peer, "POST", PERMIT_PATH, msgspec.json.encode(message), PERMIT_TIMEOUT_S
            )
            reply = decode_message(body, PermitReply)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError) as error:
            self.failed_at = asyncio.get_running_loop().time()
            self.retry_at = self.failed_at + REJECTED_PAUSE_S
            return self.decide_alone(targets, priority, max_delay_s, peer, error)
        self.end_fallback()
        return Permit(reply.target, reply.wait_s) if reply.target else Denial(reply.wait_s)

    def may_ask(self, peer: Peer, now: float) -> bool:
        """Return whether the arbiter has responded since a call to it failed."""
        return peer.last_response_at > self.failed_at and now >= self.retry_at

    def decide_alone(
        self,
        targets: Sequence[str],
        priority: int,
        max_delay_s: float,
        peer: Peer | None,
        error: Exception | None = None,
    ) -> Permit | Denial:
        """Decide on this process's equal share of the limits."""
        if self.fallback is None:
            self.fallback = RateArbiter(1.0 / self.processes(), self.random)
            log_event(
                events.PERMITS_UNAVAILABLE,
                peer="" if peer is None else peer.host,
                processes=self.processes(),
                reason=f"{type(error).__name__} {error}".strip() if error else "no response yet",
            )
        self.counts["own share"] += 1
        now = asyncio.get_running_loop().time()
        return self.fallback.request(self.rates(targets), priority, max_delay_s, now)

    def end_fallback(self) -> None:
        """Return to the arbiter; what remains of this process's share is dropped."""
        self.fallback = None

    def rates(self, targets: Sequence[str]) -> dict[str, float]:
        """Return the limits by target id; a target whose limit has ended is left unlimited."""
        found = {}
        for target in targets:
            per_s = self.limits.per_s(target)
            found[target] = float("inf") if per_s is None else per_s
        return found

    # Service for other processes

    def grant(self, request: PermitRequest) -> PermitReply | None:
        """Decide on the request of another process, or return None if another one arbitrates."""
        if self.peers.hub != self.peers.host:
            return None
        now = asyncio.get_running_loop().time()
        self.merge(request.limits)
        targets = [limit.target for limit in request.limits]
        result = self.arbiter.request(
            self.rates(targets), request.priority, request.max_delay_s, now
        )
        if isinstance(result, Permit):
            return PermitReply(result.target, result.delay_s)
        return PermitReply("", result.retry_s)

    # Exchange of limits

    def describe(self, targets: Sequence[str], now: float) -> list[TargetLimit]:
        """Return what is known of the limits of targets."""
        found = []
        for target in targets:
            limit = self.limits.limits.get(target)
            if limit is None:
                continue
            found.append(
                TargetLimit(target, limit.per_s, now - limit.since, now - limit.confirmed_at)
            )
        return found

    def merge(self, limits: Sequence[TargetLimit]) -> None:
        """Apply what another process knows of the limits of targets."""
        now = asyncio.get_running_loop().time()
        for limit in limits:
            self.limits.merge(
                limit.target, limit.per_s, now - limit.since_s, now - limit.confirmed_s
            )

    def state_after(self, revision: int, observed_only: bool) -> list[TargetLimit]:
        """Return the limits that became known after a revision of the shared tables."""
        now = asyncio.get_running_loop().time()
        return self.describe(list(self.limits.changes_after(revision, observed_only)), now)
