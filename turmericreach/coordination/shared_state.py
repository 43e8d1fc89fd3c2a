"""Exchange of the shared tables between processes."""

import attrs

from turmericreach.coordination.crashing_requests import CrashingRequests
from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.leaving_targets import LeavingTargets
from turmericreach.coordination.messages import SharedState
from turmericreach.coordination.peer import Peer
from turmericreach.coordination.peers import PeerTable
from turmericreach.coordination.permits import TargetPermits
from turmericreach.http1 import ConnectFailed, ResponseIncomplete
from turmericreach.platform.decoding import DecodeError
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["SHARED_STATE_PATH", "SharedStateExchange"]

SHARED_STATE_PATH = "/peer/shared"


@attrs.frozen
class ReadPosition:
    """How far the shared state of a peer has been read.

    Attributes
    ----------
    incarnation : str
        Run of the peer's process.
    observed_only : bool
        Whether only what the peer itself observed was read.
    revision : int
        Revision of the peer's table up to which it was read.
    """

    incarnation: str
    observed_only: bool
    revision: int


class SharedStateExchange:
    """Exchanges what processes know of targets, and of requests that end targets.

    Of targets these are the limits that they name and the leave that they announce.

    Each process reads all that the hub knows; the hub reads what each process has observed itself.

    The pings between the hub and each process carry revisions, so an unchanged state costs no call.

    Attributes
    ----------
    positions : dict of str to ReadPosition
        How far each peer's state has been read, by host.
    """

    def __init__(
        self,
        peers: PeerTable,
        permits: TargetPermits,
        requests: CrashingRequests,
        leaving: LeavingTargets,
    ):
        self.peers = peers
        self.permits = permits
        self.requests = requests
        self.leaving = leaving
        self.positions: dict[str, ReadPosition] = {}

    def state_after(self, revision: int, observed_only: bool) -> SharedState:
        """Return what became known here after a revision of the shared tables."""
        return SharedState(
            self.permits.state_after(revision, observed_only),
            self.requests.state_after(revision, observed_only),
            self.leaving.state_after(revision, observed_only),
        )

    async def update(self, peer: Peer) -> None:
        """Read what a peer has learned since the last time, if it concerns this process."""
        is_hub = self.peers.hub == self.peers.host
        if not is_hub and peer.host != self.peers.hub:
            return
        status = peer.status
        revision = status.observed_revision if is_hub else status.shared_revision
        position = self.positions.get(peer.host)
        after = 0
        if position is not None and position.incarnation == status.incarnation:
            after = position.revision if position.observed_only == is_hub else 0
        if revision <= after:
            return
        path = f"{SHARED_STATE_PATH}?after={after}&observed={int(is_hub)}"
        try:
            state = decode_message(await self.peers.call(peer, "GET", path, b""), SharedState)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError) as error:
            reason = f"{type(error).__name__} {error}".strip()
            log_event(events.SHARED_STATE_UNREAD, peer=peer.host, reason=reason)
            return
        self.permits.merge(state.limits)
        self.requests.merge(state.requests)
        self.leaving.merge(state.leaving)
        self.positions[peer.host] = ReadPosition(status.incarnation, is_hub, revision)
