"""Copies of the origins of callers' streams at other processes, and requests for them."""

import asyncio
from collections.abc import Callable

import attrs
import msgspec

from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.messages import OriginQuery, OriginReply, StreamBegun
from turmericreach.coordination.peer import Peer
from turmericreach.coordination.peers import PeerTable
from turmericreach.http1 import ConnectFailed, ResponseIncomplete
from turmericreach.platform.decoding import DecodeError
from turmericreach.sharing import (
    ASKED_REPLICAS,
    REPLICAS,
    OriginTable,
    SoftwareHistory,
    replicas_of,
)
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ORIGIN_PATH", "STREAMS_PATH", "FoundOrigin", "StreamOrigins"]

STREAMS_PATH = "/peer/streams"
ORIGIN_PATH = "/peer/origin"
# Delay of a message to a peer, so that streams that begin together share one. The first event of a
# stream usually follows its head later than this.
BATCH_S = 0.005
# Copies that wait to be sent to a peer; further ones are dropped, and the other peer has them.
MAX_QUEUED = 1000
SEND_TIMEOUT_S = 0.5
# The caller waits for the rest of its stream meanwhile.
QUERY_TIMEOUT_S = 0.3


@attrs.frozen
class FoundOrigin:
    """The software that began a stream.

    Attributes
    ----------
    software : str
        Software of the target that brought the first event, empty if it is unknown.
    source : str
        Where it is known from, for the log.
    """

    software: str
    source: str


class StreamOrigins:
    """Tells other processes which software began a stream, and asks them.

    A stream is never delayed for the copies: if this process ends before they are sent, nobody
    knows the software and the stream is not resumed. The copies decide only how many streams are.

    Attributes
    ----------
    table : OriginTable
        Origins that this process knows.
    history : SoftwareHistory
        Software of the targets of each service.
    queues : dict of str to list of StreamBegun
        Copies that wait to be sent, by host.
    senders : dict of str to asyncio.Task
        Tasks that send them, by host.
    failing : set of str
        Hosts that did not accept the last message.
    is_current : callable
        Returns whether this process knows the targets that are listed now.
    """

    def __init__(self, table: OriginTable, history: SoftwareHistory, peers: PeerTable):
        self.table = table
        self.history = history
        self.peers = peers
        self.queues: dict[str, list[StreamBegun]] = {}
        self.senders: dict[str, asyncio.Task] = {}
        self.failing: set[str] = set()
        self.is_current: Callable[[], bool] = lambda: True

    # Recording

    def record(self, attempt: str, software: str, order: int) -> None:
        """Record the software of a target that begins a stream, here and at other processes."""
        now = asyncio.get_running_loop().time()
        if not self.table.record(attempt, software, order, now):
            return
        available = [host for host in self.peers.peers if self.peers.is_available(host, now)]
        for host in replicas_of(attempt, available, REPLICAS):
            self.queue(host, StreamBegun(attempt, software, order))

    def queue(self, host: str, stream: StreamBegun) -> None:
        """Queue a copy for a host, and send it soon."""
        waiting = self.queues.setdefault(host, [])
        if len(waiting) >= MAX_QUEUED:
            return
        waiting.append(stream)
        if host not in self.senders:
            self.senders[host] = asyncio.get_running_loop().create_task(self.send_queued(host))

    async def send_queued(self, host: str) -> None:
        """Send the copies that wait for a host until there are none."""
        try:
            while self.queues.get(host):
                await asyncio.sleep(BATCH_S)
                streams, self.queues[host] = self.queues[host], []
                await self.send(host, streams)
        finally:
            del self.senders[host]

    async def send(self, host: str, streams: list[StreamBegun]) -> None:
        """Send copies to a host; those that it does not accept are dropped."""
        peer = self.peers.peers.get(host)
        if peer is None:
            return
        try:
            body = msgspec.json.encode(streams)
            await self.peers.call(peer, "POST", STREAMS_PATH, body, SEND_TIMEOUT_S)
        except (ConnectFailed, ResponseIncomplete, TimeoutError) as error:
            if host not in self.failing:
                reason = f"{type(error).__name__} {error}".strip()
                log_event(events.ORIGINS_UNSENT, peer=host, streams=len(streams), reason=reason)
            self.failing.add(host)
            return
        self.failing.discard(host)

    def merge(self, streams: list[StreamBegun]) -> None:
        """Apply the copies that another process has sent."""
        now = asyncio.get_running_loop().time()
        for stream in streams:
            self.table.record(stream.attempt, stream.software, stream.order, now)

    # Finding

    async def find(self, attempt: str, services: list[str]) -> FoundOrigin:
        """Return the software that began a stream.

        Parameters
        ----------
        attempt : str
            Id of the attempt that brought the first event, empty if the caller names none.
        services : list of str
            Services to which the route of the stream leads.
        """
        now = asyncio.get_running_loop().time()
        software = self.table.find(attempt, now)
        if software:
            return FoundOrigin(software, "own record")
        if attempt:
            software = await self.ask_replicas(attempt)
        if software:
            self.table.record(attempt, software, 0, now)
            return FoundOrigin(software, "other process")
        if len(services) == 1 and self.is_current():
            software = self.history.only_software(services[0], now)
        if software:
            return FoundOrigin(software, "only software of the service")
        return FoundOrigin("", "nobody knows")

    async def ask_replicas(self, attempt: str) -> str:
        """Return the software that another process knows, empty if none of them does."""
        loop = asyncio.get_running_loop()
        peers = self.peers.peers
        hosts = replicas_of(attempt, peers, ASKED_REPLICAS)
        queries = [loop.create_task(self.ask(peers[host], attempt)) for host in hosts]
        try:
            for answer in asyncio.as_completed(queries):
                software = await answer
                if software:
                    return software
        finally:
            for query in queries:
                query.cancel()
        return ""

    async def ask(self, peer: Peer, attempt: str) -> str:
        """Return the software that a peer knows, empty if it does not know or respond."""
        try:
            body = await self.peers.call(
                peer,
                "POST",
                ORIGIN_PATH,
                msgspec.json.encode(OriginQuery(attempt)),
                QUERY_TIMEOUT_S,
            )
            return decode_message(body, OriginReply).software
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError):
            # The other processes that hold a copy are asked at the same time.
            return ""

    def answer(self, query: OriginQuery) -> OriginReply:
        """Return what this process itself knows of a stream."""
        now = asyncio.get_running_loop().time()
        return OriginReply(self.table.find(query.attempt, now))
