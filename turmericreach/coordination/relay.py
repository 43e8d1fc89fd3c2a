"""Changes that processes get from the coordinator instead of the store.

A watch of every process for every kind would cost a call of each process for each change. The
coordinator watches for all; the others wait at it, and at the store where it does not answer.
"""

import asyncio

import msgspec

from turmericreach.coordination.messages import ChangePage
from turmericreach.coordination.peers import Peer, PeerTable
from turmericreach.http1 import ConnectFailed, ResponseIncomplete
from turmericreach.metadata import KindMirror, MetadataClient, StoredObject, WatchPage

__all__ = ["RelaySource", "answer_watch"]

# How long a follower waits at the coordinator. With the margin, it is the longest time for which
# a coordinator that has gone silent is not noticed.
RELAY_WAIT_S = 0.9
RELAY_MARGIN_S = 0.4
# A coordinator that the store has not answered for this long relays nothing; a change must be in
# force everywhere within two seconds.
MAX_CONTACT_AGE_S = 1.4
# A copy whose watch has not answered for this long is not relayed.
MAX_COPY_AGE_S = 2.2
# After a failure the store is asked for this long.
RELAY_PAUSE_S = 1.0
# So that a process that had to ask the store soon returns to the coordinator.
DIRECT_WAIT_S = 4.0


class RelaySource:
    """Lists from the store; watches at the coordinator while it answers."""

    def __init__(self, client: MetadataClient, peers: PeerTable):
        self.client = client
        self.peers = peers
        self.available = client.available
        self.direct_until = 0.0

    async def list_all(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the revision to watch from."""
        return await self.client.list_all(kind)

    async def watch(self, kind: str, revision: int, wait_s: float) -> WatchPage:
        """Return the changes after a revision."""
        now = asyncio.get_running_loop().time()
        peer = self.coordinator(now)
        if peer is None:
            return await self.client.watch(kind, revision, self.direct_wait_s(wait_s))
        path = f"/peer/watch?kind={kind}&after={revision}"
        try:
            body = await self.peers.call(peer, "GET", path, b"", RELAY_WAIT_S + RELAY_MARGIN_S)
            page = msgspec.json.decode(body, type=ChangePage)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, msgspec.DecodeError):
            # The coordinator is asked again after a pause; its state is logged by the peer table.
            self.direct_until = asyncio.get_running_loop().time() + RELAY_PAUSE_S
            return await self.client.watch(kind, revision, RELAY_PAUSE_S)
        return WatchPage(page.changes, page.revision)

    def coordinator(self, now: float) -> Peer | None:
        """Return the coordinator if it may be asked."""
        host = self.peers.coordinator
        if host is None or host == self.peers.host or now < self.direct_until:
            return None
        # One that is about to stop still relays, also who follows it.
        if not self.peers.reaches_store(host, now, MAX_CONTACT_AGE_S):
            return None
        return self.peers.peers.get(host)

    def direct_wait_s(self, wait_s: float) -> float:
        """Return how long to wait at the store."""
        if self.peers.coordinator == self.peers.host:
            return wait_s
        return DIRECT_WAIT_S


async def answer_watch(
    mirror: KindMirror, client: MetadataClient, revision: int
) -> ChangePage | None:
    """Return the changes for a follower, None if this process cannot vouch for them.

    The wait ends as soon as the store's last answer is too old, so that a follower is not held
    by a process that hears of no changes itself.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + RELAY_WAIT_S
    while True:
        fresh_s = MAX_CONTACT_AGE_S - client.last_response_age_s()
        if fresh_s <= 0 or mirror.age_s() > MAX_COPY_AGE_S:
            return None
        left_s = give_up_at - loop.time()
        page = await mirror.page_after(revision, max(min(fresh_s, left_s), 0.0))
        if page.changes or loop.time() >= give_up_at:
            break
    if client.last_response_age_s() > MAX_CONTACT_AGE_S:
        return None
    return ChangePage(page.changes, page.revision, round(mirror.age_s(), 3))
