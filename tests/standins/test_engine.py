"""Tests the protocol of the engine stand-in, which the engine adapter relies on."""

import asyncio

import msgspec
import pytest

from tests.standins.calls import call, read_raw, send, serving, set_faults, wait_until
from turmericreach_standins import start_in_process
from turmericreach_standins.engine import EngineSettings, create_engine, versions_of_text
from turmericreach_standins.weightstore import WeightStoreSettings, create_weightstore

FAST = {"tokens_per_s": 500, "swap_s": 0.05, "load_lag_s": 0.0}


@pytest.fixture
async def engine():
    async with serving(create_engine(EngineSettings(**FAST, slots=1, queue=1), seed=3)) as server:
        yield server


def completion(max_tokens=20, **fields):
    return {"prompt": "cue note", "seed": 5, "max_tokens": max_tokens, "ignore_eos": True} | fields


async def complete(engine, max_tokens=20, **fields):
    return await call(engine, "POST", "/v1/completions", completion(max_tokens, **fields))


async def order(engine, name, version=None, fencing=0, **fields):
    body = {"order": name, "version": version, "fencing": fencing, **fields}
    status, _, response = await call(engine, "POST", "/v1/orders", body)
    return status, response["version"]


async def wait_load(engine, **wanted):
    async def is_reached():
        return wanted.items() <= (await call(engine, "GET", "/v1/load"))[2].items()

    await wait_until(is_reached)


def chunks_of(response):
    lines = [line[6:] for line in response.split(b"\n") if line.startswith(b"data: ")]
    return [msgspec.json.decode(line) for line in lines if line.strip() != b"[DONE]"]


async def test_stream_and_whole_response_agree_and_name_their_version(engine):
    """Guards against labels that tests of weight versions could not rely on."""
    status, _, whole = await complete(engine)
    assert (status, whole["segments"], whole["usage"]["completion_tokens"]) == (200, [[1, 20]], 20)
    _, _, response = await complete(engine, stream=True, request_id="r2", user="t1")
    chunks = chunks_of(response)
    text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
    assert response.endswith(b"data: [DONE]\n\n")
    assert text == whole["choices"][0]["text"]
    assert versions_of_text(text, "cue note", 5) == [1] * 20
    assert {chunk["weight_version"] for chunk in chunks} == {1}
    assert sum(chunk["tokens"] for chunk in chunks) == 20
    assert chunks[-1]["choices"][0]["finish_reason"] == "length"
    _, _, record = await call(engine, "GET", "/standin/record")
    run = record["runs"][1]
    assert (run["request_id"], run["user"], run["versions"], run["tokens"]) == ("r2", "t1", [1], 20)


async def test_full_queue_rejects_before_the_start(engine):
    """Guards against a rejected request that the engine has started."""
    running = asyncio.ensure_future(complete(engine, 10_000, request_id="a"))
    await wait_load(engine, running=1)
    waiting = asyncio.ensure_future(complete(engine, 10_000, request_id="b", stream=True))
    await wait_load(engine, waiting=1)
    status, headers, _ = await complete(engine, request_id="c")
    assert status == 429 and int(headers["retry-after"]) >= 1
    urgent = asyncio.ensure_future(complete(engine, request_id="d", priority=-1))
    assert (await waiting)[0] == 429
    _, _, response = await call(engine, "POST", "/v1/cancel", {"request_id": "a"})
    assert response == {"cancelled": True}
    assert (await running)[2]["choices"][0]["finish_reason"] == "cancelled"
    assert (await urgent)[0] == 200


async def test_closed_connection_frees_the_slot(engine):
    """Guards against slots that stay occupied after a client disconnected."""
    for stream in (True, False):
        body = completion(10_000, stream=stream)
        _, writer = await send(engine, "POST", "/v1/completions", body)
        await wait_load(engine, running=1)
        writer.close()
        await wait_load(engine, running=0)


async def test_sample_spans_versions_after_a_swap(engine):
    """Guards against a sample across a swap whose segments do not match its tokens."""
    running = asyncio.ensure_future(complete(engine, 150))
    await wait_load(engine, running=1)
    assert await order(engine, "activate", 2) == (409, 1)
    assert await order(engine, "prepare", 2, fencing=8) == (200, 1)
    assert await order(engine, "activate", 2, fencing=7) == (409, 1)
    assert await order(engine, "activate", 2, fencing=8) == (200, 2)
    _, _, response = await running
    versions = versions_of_text(response["choices"][0]["text"], "cue note", 5)
    (_, old), (_, new) = response["segments"]
    assert versions == [1] * old + [2] * new


async def test_swap_faults(engine):
    """Guards against a failed or wrong swap that the version route does not show."""
    await order(engine, "prepare", 5)
    await set_faults(engine, fail_swaps=1, wrong_swap=1)
    assert await order(engine, "activate", 5) == (500, 1)
    assert await order(engine, "activate", 5) == (200, 4)
    assert await order(engine, "activate", 5) == (200, 5)
    assert (await call(engine, "GET", "/v1/version"))[2]["version"] == 5


async def test_order_token_and_ignored_fencing():
    """Guards against an engine that checks fencing although its settings turn that off."""
    settings = EngineSettings(**FAST, fencing="ignore", check_orders="secret")
    async with serving(create_engine(settings)) as engine:
        assert (await order(engine, "prepare", 2, token="wrong"))[0] == 403
        assert (await order(engine, "prepare", 2, fencing=9, token="secret"))[0] == 200
        assert (await order(engine, "activate", 2, fencing=1, token="secret"))[0] == 200


async def test_dropped_stream_is_resumed_on_another_engine(engine):
    """Guards against an exported cache with which another engine cannot resume a stream."""
    await set_faults(engine, drop_stream_after=7, omit_version=True)
    body = completion(30, stream=True, request_id="r")
    response = await read_raw(engine, "POST", "/v1/completions", body)
    chunks = chunks_of(response)
    assert b"[DONE]" not in response and b"weight_version" not in response
    assert sum(chunk["tokens"] for chunk in chunks) == 7
    await wait_load(engine, running=0)
    await set_faults(engine, drop_stream_after=None, omit_version=None)
    _, _, kv = await call(engine, "GET", "/v1/kv/r")
    async with serving(create_engine(EngineSettings(**FAST, version=2))) as other:
        assert (await call(other, "PUT", "/v1/kv/r", kv))[0] == 200
        body = {"request_id": "r", "from_token": 7, "stream": False}
        _, _, resumed = await call(other, "POST", "/v1/resume", body)
    versions = versions_of_text(resumed["choices"][0]["text"], "cue note", 5, first=7)
    assert len(versions) == 23 and versions[-1] == 2
    assert (await call(engine, "POST", "/v1/resume", body | {"request_id": "x"}))[0] == 404


async def test_freeze_slow_and_error_faults(engine):
    """Guards against faults that are accepted but have no effect."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    await set_faults(engine, freeze_s=0.2)
    await call(engine, "GET", "/v1/version")
    assert loop.time() - start >= 0.2
    await set_faults(engine, slow_factor=10)
    start = loop.time()
    await complete(engine, 10)
    assert loop.time() - start >= 0.15
    await set_faults(engine, error_rate=1)
    assert (await complete(engine))[0] == 500


async def test_load_report_lags(engine):
    """Guards against load reports without the lag of real engines."""
    running = asyncio.ensure_future(complete(engine, 10_000))
    async with asyncio.timeout(10):
        while True:
            if await reported_load(engine) == 1:
                break
            await asyncio.sleep(0.01)
    await set_faults(engine, load_lag_s=30)
    assert await reported_load(engine) == 0
    await set_faults(engine, load_lag_s=None)
    assert await reported_load(engine) == 1
    running.cancel()


async def reported_load(engine):
    return (await call(engine, "GET", "/v1/load"))[2]["running"]


async def test_stop_and_kill_end_open_streams():
    """Guards against a stream that looks complete although its engine was stopped."""
    for end in ("stop", "kill"):
        server = await start_in_process(create_engine(EngineSettings(**FAST)))
        reader, writer = await send(
            server, "POST", "/v1/completions", completion(10_000, stream=True)
        )
        await reader.readuntil(b"data: ")
        await getattr(server, end)()
        assert not (await asyncio.wait_for(reader.read(), 5)).endswith(b"[DONE]\n\n")
        writer.close()


async def test_prepare_downloads_under_the_rate_limit():
    """Guards against weights that are prepared without a download from the weight store."""
    async with serving(create_weightstore(WeightStoreSettings(rate_per_s=0.5, burst=2))) as store:
        settings = EngineSettings(**FAST, weight_store=store.url)
        async with serving(create_engine(settings)) as engine:
            assert (await order(engine, "prepare", 2))[0] == 409
            assert (await call(store, "PUT", "/weights/model/2", b"w"))[0] == 201
            assert (await order(engine, "prepare", 2))[0] == 200
            await call(store, "PUT", "/weights/model/3", b"w")
            assert (await order(engine, "prepare", 3))[0] == 429
            await set_faults(store, down=True)
            assert (await order(engine, "prepare", 3))[0] == 502
