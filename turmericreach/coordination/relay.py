"""Watches of the metadata store that the coordinator relays to other processes.

If every process watched every kind itself, each change would cost one request to the store per
process. Instead the coordinator watches for all. The other processes, its followers, watch at the
coordinator, and at the store when the coordinator does not respond.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.messages import ChangePage
from turmericreach.coordination.peer import Peer
from turmericreach.coordination.peers import PeerTable
from turmericreach.http1 import ConnectFailed, ResponseIncomplete
from turmericreach.metadata import KindMirror, MetadataClient, StoredObject, WatchPage
from turmericreach.platform.decoding import DecodeError

__all__ = ["RelaySource", "serve_watch"]

# Timeout of a follower's watch at the coordinator. With the margin, it is the longest time until
# a follower detects that the coordinator no longer responds.
RELAY_WAIT_S = 0.9
RELAY_MARGIN_S = 0.4
# Delay of a response with changes. Without it, each of hundreds of registrations at a start would
# be one response to each follower.
RELAY_BATCH_S = 0.1
# A coordinator without a response of the store for this long relays nothing, since a change must
# be in force everywhere within two seconds.
MAX_CONTACT_AGE_S = 1.4
# A mirror whose watch has had no response for this long is not relayed.
MAX_COPY_AGE_S = 2.2
# After a failure at the coordinator, followers watch at the store for this long.
RELAY_PAUSE_S = 1.0
# Timeout of a watch at the store, so that a follower soon returns to the coordinator.
DIRECT_WAIT_S = 4.0
# Mean time between two watches of a kind that a follower makes at the store. Hundreds of changes a
# second arrive while all processes and targets start and there is no coordinator yet.
DIRECT_INTERVAL_S = 0.5
# Interval of the checks whether the coordinator can be reached while the store cannot.
AVAILABLE_CHECK_S = 0.1


class RelaySource:
    """Lists objects from the store and watches them at the coordinator while it responds.

    Attributes
    ----------
    available : RelayAvailability
        Set while the store is available to this process. If `relays_alone` returns true, it is
        also set while the coordinator is.
    protect : callable
        Removes secrets from an object that the store returned; nothing else is kept or relayed.
    direct_until : float
        Loop time in seconds until which watches go to the store.
    next_direct_at : dict of str to float
        Loop time in seconds before which a kind is not watched at the store again, by kind.
    """

    def __init__(
        self,
        client: MetadataClient,
        peers: PeerTable,
        protect: Callable[[StoredObject], StoredObject] = lambda object: object,
        relays_alone: Callable[[], bool] = lambda: False,
    ):
        self.client = client
        self.protect = protect
        self.peers = peers
        self.available = RelayAvailability(self, relays_alone)
        self.direct_until = 0.0
        self.next_direct_at: dict[str, float] = {}
        self.random = random.Random()

    async def list_all(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the revision after which to watch."""
        await self.client.available.wait()
        objects, revision = await self.client.list_all(kind)
        self.delay_direct(kind)
        return [self.protect(object) for object in objects], revision

    def delay_direct(self, kind: str) -> None:
        """Delay the next watch of a kind at the store."""
        interval_s = DIRECT_INTERVAL_S * (0.75 + 0.5 * self.random.random())
        self.next_direct_at[kind] = asyncio.get_running_loop().time() + interval_s

    def watch_delay_s(self, kind: str) -> float:
        """Return the seconds to wait before the next watch of a kind.

        Load pattern: without a coordinator every process watches at the store, and each change is
        one call of each process. A pause between the watches of a follower lets one call return
        many changes, so that the calls grow with the processes and not with their square.
        """
        now = asyncio.get_running_loop().time()
        if self.peers.coordinator == self.peers.host or self.coordinator(now) is not None:
            return 0.0
        return max(self.next_direct_at.get(kind, 0.0) - now, 0.0)

    async def watch(self, kind: str, revision: int, wait_s: float) -> WatchPage:
        """Return the changes after a revision."""
        now = asyncio.get_running_loop().time()
        peer = self.coordinator(now)
        if peer is None:
            self.delay_direct(kind)
            return await self.watch_store(kind, revision, self.direct_wait_s(wait_s))
        path = f"/peer/watch?kind={kind}&after={revision}"
        try:
            body = await self.peers.call(peer, "GET", path, b"", RELAY_WAIT_S + RELAY_MARGIN_S)
            page = decode_message(body, ChangePage)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError):
            # The coordinator is used again after a pause; the peer table logs its state.
            self.direct_until = asyncio.get_running_loop().time() + RELAY_PAUSE_S
            self.delay_direct(kind)
            return await self.watch_store(kind, revision, RELAY_PAUSE_S)
        return WatchPage(page.changes, page.revision)

    async def watch_store(self, kind: str, revision: int, wait_s: float) -> WatchPage:
        """Return the changes that the store reports, without secrets."""
        page = await self.client.watch(kind, revision, wait_s)
        changes = [
            attrs.evolve(change, object=self.protect(change.object)) for change in page.changes
        ]
        return attrs.evolve(page, changes=changes)

    def coordinator(self, now: float) -> Peer | None:
        """Return the coordinator, or None if the watch must go to the store."""
        host = self.peers.coordinator
        if host is None or host == self.peers.host or now < self.direct_until:
            return None
        # A coordinator that is about to stop still relays, including the entry of its successor.
        if not self.peers.reaches_store(host, now, MAX_CONTACT_AGE_S):
            return None
        return self.peers.peers.get(host)

    def direct_wait_s(self, wait_s: float) -> float:
        """Return the timeout in seconds of a watch at the store."""
        if self.peers.coordinator == self.peers.host:
            return wait_s
        return DIRECT_WAIT_S


class RelayAvailability:
    """Tells whether a source can be watched, with the methods of an event that mirrors use.

    Load pattern: hosts are cut off from the store and not from each other. Their mirrors follow
    the coordinator where that matters more than calls that may fail.
    """

    def __init__(self, source: RelaySource, relays_alone: Callable[[], bool]):
        self.source = source
        self.relays_alone = relays_alone

    def is_set(self) -> bool:
        """Return whether the store is available, or a coordinator that suffices."""
        if self.source.client.available.is_set():
            return True
        now = asyncio.get_running_loop().time()
        return self.relays_alone() and self.source.coordinator(now) is not None

    async def wait(self) -> None:
        """Wait until it is set."""
        while not self.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(AVAILABLE_CHECK_S):
                    await self.source.client.available.wait()


async def serve_watch(
    mirror: KindMirror, client: MetadataClient, revision: int
) -> ChangePage | None:
    """Return the changes for a follower, or None if they may be incomplete.

    Load pattern: many objects change within a second. Changes that follow the first one shortly
    are part of the same response, so that the responses grow with the time and not with the
    changes.

    The wait ends as soon as the last response of the store is too old, so that no follower waits
    at a process that receives no changes itself.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RELAY_WAIT_S
    while True:
        remaining_contact_s = MAX_CONTACT_AGE_S - client.last_response_age_s()
        if remaining_contact_s <= 0 or mirror.age_s() > MAX_COPY_AGE_S:
            return None
        remaining_s = deadline - loop.time()
        page = await mirror.page_after(revision, max(min(remaining_contact_s, remaining_s), 0.0))
        if page.changes:
            await asyncio.sleep(RELAY_BATCH_S)
            page = await mirror.page_after(revision, 0.0)
            break
        if loop.time() >= deadline:
            break
    if client.last_response_age_s() > MAX_CONTACT_AGE_S:
        return None
    return ChangePage(page.changes, page.revision, round(mirror.age_s(), 3))
