"""Tests that calls over a real connection tolerate faults of the transport and of other calls."""

import asyncio
import contextlib
import functools

import capnp
import pytest

from tests.builders.attempts import make_attempt
from turmericreach.rpc import Hello, PeerPool, PeerServer, PeerTimeout
from turmericreach.verdicts import Outcome, Verdict

CHUNKS = 40
CHUNK = b"x" * 16384


def in_kj_loop(test):
    @functools.wraps(test)
    async def run(*args, **kwargs):
        async with capnp.kj_loop():
            await test(*args, **kwargs)

    return run


class Handler:
    """Streams chunks to streaming attempts; other attempts wait for `gate`."""

    def __init__(self):
        self.gate = asyncio.Event()

    def hello(self, hello):
        return Hello("a", "agent", "x", 1)

    async def submit(self, attempt, writer):
        if not attempt.stream:
            await self.gate.wait()
            return Outcome(Verdict.ANSWERED, status=200)
        await writer.begin(200, [])
        for _ in range(CHUNKS):
            await writer.write(CHUNK)
        return Outcome(Verdict.ANSWERED, status=200)

    async def control(self, kind, body):
        if kind == "hang":
            await asyncio.Event().wait()
        return str(len(body)).encode()


class SlowReader:
    def __init__(self):
        self.received = 0

    async def begin(self, status, headers):
        pass

    async def write(self, data):
        await asyncio.sleep(0.02)
        self.received += len(data)


@contextlib.asynccontextmanager
async def connected():
    handler = Handler()
    server = PeerServer(handler, "127.0.0.1", 0)
    await server.start()
    port = server.listener.sockets[0].getsockname()[1]
    pool = PeerPool(lambda: Hello("g", "gateway", "x", 2))
    try:
        yield handler, pool, f"127.0.0.1:{port}"
    finally:
        pool.close()
        await server.stop()


@in_kj_loop
async def test_the_outcome_of_a_streamed_answer_comes_after_its_last_chunk():
    """Guards against a response that is ended before its last chunks have arrived."""
    async with connected() as (_, pool, address):
        reader = SlowReader()
        client = await pool.get(address)
        await client.submit(make_attempt(stream=True), 10.0, reader)
        assert reader.received == CHUNKS * len(CHUNK)


@in_kj_loop
async def test_a_call_that_times_out_does_not_cut_off_other_calls():
    """Guards against other calls that fail because one call on their connection timed out."""
    async with connected() as (handler, pool, address):
        client = await pool.get(address)
        order = asyncio.ensure_future(client.submit(make_attempt(), 10.0))
        with pytest.raises(PeerTimeout):
            await client.control("hang", b"", 0.05)
        pool.evict(address)
        assert (await pool.get(address)) is not client
        handler.gate.set()
        assert (await order).verdict is Verdict.ANSWERED
        assert client.closed


@in_kj_loop
@pytest.mark.parametrize("megabytes", [1, 30, 90])
async def test_a_control_message_of_the_largest_lot_arrives(megabytes):
    """Guards against lots that are larger than one message of the transport."""
    async with connected() as (_, pool, address):
        client = await pool.get(address)
        body = b"z" * (megabytes << 20)
        assert await client.control("count", body, 20.0) == str(len(body)).encode()
