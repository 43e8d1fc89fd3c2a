"""Tests `OpenAIEngine` against the engine stand-in and raw responses."""

import asyncio
import contextlib
import json

import attrs
import pytest

from tests.builders.rawserver import RawServer
from tests.standins.calls import get_running_count, serving, set_faults, wait_until
from turmericreach.httpclient import open_session
from turmericreach.targets import (
    EngineError,
    EngineOrder,
    GenerationRequest,
    OpenAIEngine,
    OrderKind,
    OrderRefused,
)
from turmericreach.verdicts import ErrorCode, Segment, Verdict
from turmericreach_standins.engine import EngineSettings, create_engine, versions_of_text

FAST = {"tokens_per_s": 500, "swap_s": 0.05, "load_lag_s": 0.0, "length_sigma": 0.0}
REQUEST = GenerationRequest("r1", "cue note", max_tokens=20, seed=5)


@contextlib.asynccontextmanager
async def engine_on(**settings):
    stand_in = create_engine(EngineSettings(**FAST | settings), seed=3)
    async with serving(stand_in) as server, open_session() as session:
        yield server, OpenAIEngine(server.url, session, "model")


def order(kind, version=0, fencing=1, **fields):
    return EngineOrder(OrderKind(kind), version, fencing, **fields)


async def test_completion_is_labelled():
    """Guards against a label that differs from what the engine generated."""
    async with engine_on() as (_, engine):
        generation = await engine.generate(REQUEST)
    assert (generation.tokens, generation.finish_reason) == (20, "length")
    assert generation.segments == [Segment(1, 20)]
    assert generation.labelled
    assert versions_of_text(generation.text, "cue note", 5) == [1] * 20


async def test_version_change_during_a_sample_gives_two_segments():
    """Guards against a label with only one of the versions that generated the sample."""
    async with engine_on(tokens_per_s=100) as (server, engine):
        await engine.order(order("prepare", 2))
        running = asyncio.create_task(engine.generate(REQUEST))
        await wait_until(get_running_count, server)
        await asyncio.sleep(0.05)
        assert (await engine.order(order("activate", 2, 2))).version == 2
        generation = await running
    assert [segment.version for segment in generation.segments] == [1, 2]
    truth = versions_of_text(generation.text, "cue note", 5)
    assert [truth.count(1), truth.count(2)] == [s.tokens for s in generation.segments]


async def test_missing_version_leaves_the_sample_unlabelled():
    """Guards against a label that is guessed for a chunk without a version."""
    async with engine_on() as (server, engine):
        await set_faults(server, omit_version=True)
        generation = await engine.generate(REQUEST)
    assert not generation.labelled
    assert generation.segments == []


async def test_interrupted_stream_is_an_error_and_can_be_resumed():
    """Guards against an incomplete completion and a resumed one with a different text."""
    async with engine_on() as (server, engine):
        whole = await engine.generate(attrs.evolve(REQUEST, request_id="r0"))
        await set_faults(server, drop_stream_after=7)
        with pytest.raises(EngineError) as caught:
            await engine.generate(REQUEST)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        await set_faults(server, drop_stream_after=None)
        await wait_until(lambda: idle(server))
        assert await engine.resume("r1", 0) == whole


async def idle(server):
    return await get_running_count(server) == 0


async def test_cancel_releases_the_slot():
    """Guards against a cancelled completion that keeps its slot."""
    async with engine_on(slots=1, tokens_per_s=1) as (server, engine):
        running = asyncio.create_task(engine.generate(REQUEST))
        await wait_until(get_running_count, server)
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running
        async with asyncio.timeout(1.0):
            await wait_until(lambda: idle(server))


async def test_completion_cancelled_at_the_engine_is_an_error():
    """Guards against a cancelled completion that is returned as a complete one."""
    async with engine_on(tokens_per_s=50) as (server, engine):
        running = asyncio.create_task(engine.generate(REQUEST))
        await wait_until(get_running_count, server)
        await engine.cancel("r1")
        with pytest.raises(EngineError, match="cancelled"):
            await running


async def test_full_queue_is_not_run():
    """Guards against a refusal whose retry is charged to the budget for unknown outcomes."""
    async with engine_on(slots=1, queue=1, tokens_per_s=5) as (server, engine):
        tasks = [
            asyncio.create_task(engine.generate(attrs.evolve(REQUEST, request_id=f"r{n}")))
            for n in range(2)
        ]
        await wait_until(get_running_count, server)
        with pytest.raises(EngineError) as caught:
            await engine.generate(attrs.evolve(REQUEST, request_id="late"))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    assert (caught.value.verdict, caught.value.code) == (Verdict.NOT_RUN, ErrorCode.OVERLOADED)
    assert caught.value.retry_after_s > 0


async def test_errors_of_the_engine():
    """Guards against a wrong verdict for an engine that fails and for one that has stopped."""
    async with engine_on() as (server, engine):
        await set_faults(server, error_rate=1)
        with pytest.raises(EngineError) as caught:
            await engine.generate(REQUEST)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        await server.stop()
        for call in (engine.generate(REQUEST), engine.version()):
            with pytest.raises(EngineError) as caught:
                await call
            assert caught.value.verdict is Verdict.NOT_RUN


async def test_kv_cache_moves_to_another_engine():
    """Guards against a KV cache import that loses tokens or their versions."""
    async with engine_on() as (server, first), engine_on(version=4) as (_, second):
        whole = await first.generate(attrs.evolve(REQUEST, request_id="r0"))
        await set_faults(server, drop_stream_after=7)
        with pytest.raises(EngineError):
            await first.generate(attrs.evolve(REQUEST, request_id="a/b?c"))
        await wait_until(lambda: idle(server))
        data = await first.export_kv("a/b?c")
        await second.import_kv("a/b?c", data)
        moved = await second.resume("a/b?c", 0)
        assert moved.tokens == whole.tokens == 20
        assert [segment.version for segment in moved.segments] == [1, 4]
        assert len(json.loads(data)["tokens"]) == moved.segments[0].tokens


async def test_orders():
    """Guards against an order whose refusal or failure goes unnoticed."""
    async with engine_on(check_orders="secret") as (server, engine):
        with pytest.raises(EngineError, match="403"):
            await engine.order(order("prepare", 2))
        token = {"token": "secret"}
        state = await engine.order(order("prepare", 2, 5, **token))
        assert (state.version, state.prepared) == (1, [1, 2])
        with pytest.raises(OrderRefused) as caught:
            await engine.order(order("activate", 2, 4, **token))
        assert (caught.value.verdict, caught.value.fencing) == (Verdict.NOT_RUN, 5)
        await set_faults(server, fail_swaps=1)
        with pytest.raises(EngineError) as caught:
            await engine.order(order("activate", 2, 6, **token))
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert (await engine.version()).version == 1
        await set_faults(server, wrong_swap=1)
        wrong = await engine.order(order("activate", 2, 7, **token))
        assert wrong.version == (await engine.version()).version != 2
        assert (await engine.order(order("activate", 2, 8, **token))).version == 2
        await engine.order(order("load_adapter", fencing=9, argument="a", **token))
        await engine.order(order("role", fencing=9, argument="decode", **token))


def stream(*events, end=b"data: [DONE]\n\n"):
    """Return a raw response with a valid event that is followed by `events`."""
    valid = b'{"choices":[{"text":"a","finish_reason":"stop"}],"weight_version":1,"tokens":1}'
    body = b"".join(b"data: " + event + b"\n\n" for event in (valid, *events)) + end
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


MALFORMED_STREAMS = {
    "no end event": stream(end=b""),
    "no JSON": stream(b"{"),
    "no object": stream(b"3"),
    "no choices": stream(b"{}"),
    "empty choices": stream(b'{"choices":[]}'),
    "choice of a wrong type": stream(b'{"choices":[3]}'),
    "text of a wrong type": stream(b'{"choices":[{"text":3}]}'),
    "reason of a wrong type": stream(b'{"choices":[{"finish_reason":[1]}]}'),
    "not UTF-8": stream(b'{"choices":[{"text":"\xff"}]}'),
    "very deep": stream(b"[" * 100_000),
    "cancelled": stream(b'{"choices":[{"text":"","finish_reason":"abort"}]}'),
    "interrupted": stream()[:-3],
    "without a length": stream().replace(b"Content-Length", b"X-Length"),
}


@pytest.mark.parametrize("case", MALFORMED_STREAMS)
async def test_malformed_stream_is_an_error(case):
    """Guards against a different exception and a completion built from a malformed stream."""
    async with RawServer(MALFORMED_STREAMS[case]) as server, open_session(reuse=False) as session:
        with pytest.raises(EngineError) as caught:
            await OpenAIEngine(server.url, session).generate(REQUEST)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b"\xff",
        b"[" * 100_000,
        b'{"version":true,"running":"1"}',
        b'{"version":1,"prepared":[null],"slots":-1}',
        b'{"version":1e3,"running":NaN}',
        b'{"version":99999999999999999999,"running":99999999999999999999}',
    ],
)
async def test_malformed_control_responses(body):
    """Guards against a different exception and a version that the engine did not report."""
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    async with RawServer(response) as server, open_session(reuse=False) as session:
        engine = OpenAIEngine(server.url, session)
        with pytest.raises(EngineError):
            await engine.version()
        if body:
            with pytest.raises(EngineError):
                await engine.load()
