"""Tests of the client for trainers with gateways that fail, restart and respond late."""

import asyncio
import time

import msgspec
import pytest

from tests.builders.gateways import DROP, TRUNCATE, ScriptedGateway, error, ok, sample
from tests.builders.loopback import LOOPBACK, free_port
from tests.builders.lots import make_spec
from turmericreach.api import PullResponse
from turmericreach.client import ApiConnection, ApiError, TrainerClient
from turmericreach.verdicts import Verdict

SPEC = make_spec(scoring_service="", trainer="fitting")
ALL = [f"eyes-1/{group}/{index}" for group in range(2) for index in range(2)]


@pytest.fixture(autouse=True)
def quick_backoff(monkeypatch):
    """Shorten the first pause between retries, so that the tests are quick."""
    monkeypatch.setattr("turmericreach.client.connection.BACKOFF_START_S", 0.01)


async def collect(run):
    return [item.id async for item in run.samples()]


FAULTS = {
    "dropped": DROP,
    "truncated": TRUNCATE,
    "not ready": error(503, "not_ready"),
    "from a balancer": error(502),
    "timed out": error(504, "timeout", verdict="may_have_run"),
    "overloaded": error(429, "overloaded"),
    "slow sender": error(408, "timeout"),
    "malformed": (200, "", b"{"),
    "unknown lot": error(404, "unknown_lot"),
}
# A declaration never gets the response unknown_lot.
REPEATED = [
    (c, f) for c in ("lots", "pull", "ack") for f in FAULTS if (c, f[:7]) != ("lots", "unknown")
]


@pytest.mark.parametrize(("call", "fault"), REPEATED)
async def test_failed_calls_are_retried_without_duplicates(call, fault):
    """Guards against a sample that is lost or returned twice when a call fails."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        gateway.script[call] = [FAULTS[fault], FAULTS[fault]]
        run = await TrainerClient(connection).run(SPEC, 1)
        assert sorted(await collect(run)) == ALL
        await run.acknowledge()


async def test_response_checked_against_a_lower_version_is_ignored():
    """Guards against samples that became stale while their pull was in flight.

    The trainer raises its version between the request and the response.
    """
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        arrived, proceed = asyncio.Event(), asyncio.Event()

        async def late(body):
            arrived.set()
            await proceed.wait()
            return gateway.pull(msgspec.json.decode(body))

        run = await TrainerClient(connection).run(SPEC, 1)
        gateway.script["pull"] = [late]
        pulling = asyncio.create_task(run.pull())
        await arrived.wait()
        run.trainer_version = 2
        proceed.set()
        assert await pulling == []
        assert run.cursor.count() == 0
        assert sorted(await collect(run)) == ALL


async def test_stated_version_never_decreases():
    """Guards against staleness that is checked against a lower version than one stated before."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        run = await TrainerClient(connection).run(SPEC, 5)
        run.trainer_version = 3
        stated = []

        async def respond(body):
            request = msgspec.json.decode(body)
            stated.append(request["trainer_version"])
            return gateway.pull(request, 4)

        gateway.script["pull"] = [respond]
        assert await run.pull() == []
        assert stated == [5]


async def test_concurrent_pulls_return_each_sample_once():
    """Guards against a late response whose samples another pull has returned already."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        run = await TrainerClient(connection).run(SPEC, 1)
        pulls = await asyncio.gather(*(run.pull() for _ in range(4)))
        assert sorted(item.id for samples in pulls for item in samples) == ALL


@pytest.mark.parametrize("change", [{"group": 9}, {"index": 2}, {"index": -1}, {"id": "o/0/0"}])
async def test_sample_of_another_lot_is_an_error(change):
    """Guards against a sample with a wrong position or id that is added to the cursor."""
    wrong = msgspec.to_builtins(sample(SPEC, 0)) | change
    body = msgspec.to_builtins(PullResponse([], 0, False, 1)) | {"samples": [wrong]}
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        run = await TrainerClient(connection).run(SPEC, 1)
        gateway.script["pull"] = [ok(body)]
        with pytest.raises(ApiError):
            await run.pull()
        assert run.cursor.count() == 0


@pytest.mark.parametrize(
    ("status", "code"),
    [
        (400, "bad_request"),
        (401, "unauthorized"),
        (403, "forbidden"),
        (404, "unknown_service"),
        (409, "conflict"),
        (413, "body_too_large"),
        (404, ""),
    ],
)
async def test_permanent_errors_are_not_retried(status, code):
    """Guards against retrying a call for minutes although a retry cannot succeed."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        gateway.script["lots"] = [error(status, code)] * 9
        with pytest.raises(ApiError) as caught:
            await TrainerClient(connection).declare(SPEC)
        assert (caught.value.status, caught.value.code, caught.value.retryable) == (
            status, code, False,
        )  # fmt: skip
        assert len(gateway.calls) == 1


@pytest.mark.parametrize(
    "response",
    [
        error(503, "", "Retry-After: 1\r\n"),
        error(429, "overloaded", retry_after_s=1.0),
        error(503, "not_ready", "Retry-After: 1\r\n"),
    ],
)
async def test_retry_after_is_respected(response):
    """Guards against retries before the time that the gateway asked for."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        gateway.script["lots"] = [response]
        await TrainerClient(connection).declare(SPEC)
        assert gateway.times[1] - gateway.times[0] >= 1.0


async def test_retry_after_beyond_the_retry_timeout_ends_the_call():
    """Guards against a call that sleeps for hours because of a wrong retry_after_s."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        gateway.script["x"] = [error(503, "not_ready", retry_after_s=1e9)]
        started = time.monotonic()
        with pytest.raises(ApiError):
            await connection.call_with_retries("GET", "/x", retry_timeout_s=2.0)
        assert time.monotonic() - started < 1.0


async def test_gateway_restarts_while_a_lot_runs():
    """Guards against a run that fails because the only gateway was unavailable briefly."""
    async with ScriptedGateway(SPEC) as first, ApiConnection([first.url]) as connection:
        run = await TrainerClient(connection).run(SPEC, 1)
        first.ready = [0]
        seen = [item.id for item in await run.pull()]
        first.server.close()
        await first.server.wait_closed()
        collecting = asyncio.create_task(collect(run))
        await asyncio.sleep(0.2)
        async with ScriptedGateway(SPEC, first.port) as second:
            seen += await asyncio.wait_for(collecting, 20)
            assert "lots" in second.calls
    assert sorted(seen) == ALL


async def test_failover_switches_once_for_concurrent_failures():
    """Guards against two failed calls that both switch, which returns to the failed gateway."""
    dead = f"http://{LOOPBACK}:{free_port()}"
    async with (
        ScriptedGateway(SPEC) as gateway,
        ApiConnection([dead, gateway.url]) as connection,
    ):
        calls = [connection.call("GET", "/x") for _ in range(2)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert [failure.verdict for failure in results] == [Verdict.NOT_RUN] * 2
        gateway.known = True
        assert await connection.call("GET", "/x") == {}


async def test_lot_that_stays_unknown_is_an_error():
    """Guards against an endless loop of declarations and pulls without pauses."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        client = TrainerClient(connection)
        client.retry_timeout_s = 0.5
        run = await client.run(SPEC, 1)
        gateway.script["pull"] = [error(404, "unknown_lot")] * 10_000
        with pytest.raises(ApiError, match="m"):
            await run.pull()
        assert len(gateway.calls) < 30


async def test_long_wait_is_not_timed_out_by_the_client(monkeypatch):
    """Guards against a pull whose timeout is shorter than the wait that it requests."""
    monkeypatch.setattr("turmericreach.client.trainer.PULL_MARGIN_S", 0.3)
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        run = await TrainerClient(connection).run(SPEC, 1)

        async def slow(body):
            await asyncio.sleep(0.6)
            return gateway.pull(msgspec.json.decode(body))

        gateway.script["pull"] = [slow]
        assert len(await run.pull(wait_s=0.5)) == SPEC.size
        assert gateway.calls.count("pull") == 1
