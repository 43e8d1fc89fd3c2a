"""Tests of streamed responses between two processes."""

import asyncio
import socket

import capnp
import pytest

from turmericreach.attempts import CallerStream
from turmericreach.rpc import Attempt, Hello, PeerClient, PeerServer
from turmericreach.verdicts import Outcome, Verdict

SIZES = {"small": 64, "large": 16 * 1024}
ATTEMPT = Attempt(
    "r1", "a1", "t1", 1, 10_000, True, "ordinary", "GET", "/", [], b"", True, "", "", 0
)  # fmt: skip


def chunk_of(number, size):
    return b"%d" % number + b"x" * size


class Streamer:
    """Handler that responds to every attempt with a number of chunks."""

    def __init__(self, chunks, size):
        self.chunks = chunks
        self.size = size
        self.sent = 0

    def hello(self, hello):
        return Hello("agent", "agent", "d", 1)

    async def submit(self, attempt, writer):
        await writer.begin(200, [("A", "b")])
        for number in range(self.chunks):
            await writer.write(chunk_of(number, self.size))
            self.sent += 1
        return Outcome(Verdict.ANSWERED, status=200)


async def read_slowly(stream, task, pause_s):
    """Read a stream as the HTTP endpoint does; return its chunks."""
    await stream.started.wait()
    chunks = []
    while (chunk := await stream.next_chunk()) is not None:
        chunks.append(chunk)
        await asyncio.sleep(pause_s)
    return chunks, await task


@pytest.mark.parametrize("pause_s", [0.0, 0.005])
@pytest.mark.parametrize("chunks", [1, 12, 100])
@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
async def test_slow_reader_gets_every_chunk(chunks, size, pause_s):
    """Guards against a stream that ends early, since its outcome overtakes its last chunks."""
    async with capnp.kj_loop():
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        handler = Streamer(chunks, size)
        server = PeerServer(handler, "127.0.0.1", port)
        await server.start()
        client = await PeerClient.connect("127.0.0.1", port, Hello("g", "gateway", "d", 2))
        stream = CallerStream()
        task = asyncio.ensure_future(client.submit(ATTEMPT, 10.0, stream))
        task.add_done_callback(lambda _: stream.end())
        received, outcome = await read_slowly(stream, task, pause_s)
        client.close()
        await server.stop()
    assert outcome.verdict is Verdict.ANSWERED
    assert received == [chunk_of(number, size) for number in range(chunks)]


async def test_reader_that_stops_stops_the_sender():
    """Guards against a response that fills the memory of two processes for a slow caller."""
    async with capnp.kj_loop():
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        handler = Streamer(10_000, SIZES["large"])
        server = PeerServer(handler, "127.0.0.1", port)
        await server.start()
        client = await PeerClient.connect("127.0.0.1", port, Hello("g", "gateway", "d", 2))
        task = asyncio.ensure_future(client.submit(ATTEMPT, 10.0, CallerStream()))
        sent = -1
        for _ in range(20):
            if handler.sent == sent > 0:
                break
            sent = handler.sent
            await asyncio.sleep(0.3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        client.close()
        await server.stop()
    assert handler.sent == sent
    assert sent * SIZES["large"] < 4 * 1024 * 1024
