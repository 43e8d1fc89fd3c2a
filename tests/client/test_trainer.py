"""The trainer's client against gateways that fail, restart and answer late."""

import asyncio
import time

import msgspec
import pytest

from tests.builders.gateways import DROP, TRUNCATE, ScriptedGateway, error, ok, sample
from tests.builders.loopback import LOOPBACK, free_port
from tests.builders.lots import make_spec
from turmericreach.api import PullAnswer
from turmericreach.client import ApiConnection, ApiError, TrainerClient
from turmericreach.verdicts import Verdict

SPEC = make_spec(scoring_service="", trainer="fitting")
ALL = [f"eyes-1/{group}/{index}" for group in range(2) for index in range(2)]


@pytest.fixture(autouse=True)
def quick_backoff(monkeypatch):
    """Shorter pauses, so that the tests are quick."""
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
# A declaration is never answered with unknown_lot.
REPEATED = [
    (c, f) for c in ("lots", "pull", "ack") for f in FAULTS if (c, f[:7]) != ("lots", "unknown")
]


@pytest.mark.parametrize(("call", "fault"), REPEATED)
async def test_lost_or_refused_calls_are_repeated_and_double_nothing(call, fault):
    """Guards against a sample that is lost or yielded twice when a call fails."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        gateway.script[call] = [FAULTS[fault], FAULTS[fault]]
        run = await TrainerClient(connection).run(SPEC, 1)
        assert sorted(await collect(run)) == ALL
        await run.acknowledge()


async def test_answer_below_a_version_stated_since_is_ignored():
    """Guards against samples that were fresh for the trainer's version of a while ago."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        arrived, go = asyncio.Event(), asyncio.Event()

        async def late(body):
            arrived.set()
            await go.wait()
            return gateway.pull(msgspec.json.decode(body))

        run = await TrainerClient(connection).run(SPEC, 1)
        gateway.script["pull"] = [late]
        pulling = asyncio.create_task(run.pull())
        await arrived.wait()
        run.trainer_version = 2
        go.set()
        assert await pulling == []
        assert run.cursor.count() == 0
        assert sorted(await collect(run)) == ALL


async def test_stated_version_never_goes_back():
    """Guards against a bound that is checked against a version below one stated before."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        run = await TrainerClient(connection).run(SPEC, 5)
        run.trainer_version = 3
        stated = []

        async def answer(body):
            request = msgspec.json.decode(body)
            stated.append(request["trainer_version"])
            return gateway.pull(request, 4)

        gateway.script["pull"] = [answer]
        assert await run.pull() == []
        assert stated == [5]


async def test_two_pulls_at_once_yield_each_sample_once():
    """Guards against a late answer that repeats what another one brought."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        run = await TrainerClient(connection).run(SPEC, 1)
        answers = await asyncio.gather(*(run.pull() for _ in range(4)))
        assert sorted(item.id for answer in answers for item in answer) == ALL


@pytest.mark.parametrize("change", [{"group": 9}, {"index": 2}, {"index": -1}, {"id": "o/0/0"}])
async def test_answer_of_another_lot_is_an_error(change):
    """Guards against a sample that is counted as another one."""
    wrong = msgspec.to_builtins(sample(SPEC, 0)) | change
    body = msgspec.to_builtins(PullAnswer([], 0, False, 1)) | {"samples": [wrong]}
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
async def test_permanent_errors_end_at_once(status, code):
    """Guards against a call repeated for minutes although nothing can change its answer."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        gateway.script["lots"] = [error(status, code)] * 9
        with pytest.raises(ApiError) as caught:
            await TrainerClient(connection).declare(SPEC)
        assert (caught.value.status, caught.value.code, caught.value.retryable) == (
            status, code, False,
        )  # fmt: skip
        assert len(gateway.calls) == 1


@pytest.mark.parametrize(
    "answer",
    [
        error(503, "", "Retry-After: 1\r\n"),
        error(429, "overloaded", retry_after_s=1.0),
        error(503, "not_ready", "Retry-After: 1\r\n"),
    ],
)
async def test_retry_after_is_respected(answer):
    """Guards against calls that come back sooner than they were asked to."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        gateway.script["lots"] = [answer]
        await TrainerClient(connection).declare(SPEC)
        assert gateway.times[1] - gateway.times[0] >= 1.0


async def test_retry_after_beyond_patience_ends_the_call():
    """Guards against a call that sleeps for hours on a broken header."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        gateway.script["x"] = [error(503, "not_ready", retry_after_s=1e9)]
        started = time.monotonic()
        with pytest.raises(ApiError):
            await connection.call_repeatedly("GET", "/x", retry_timeout_s=2.0)
        assert time.monotonic() - started < 1.0


async def test_gateways_restart_while_a_lot_runs():
    """Guards against a run that ends because the only gateway was away for a moment."""
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


async def test_failover_leaves_the_failed_gateway():
    """Guards against two failing calls that each move on and so come back to the failed one."""
    dead = f"http://{LOOPBACK}:{free_port()}"
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([dead, gateway.url]) as connection:
        calls = [connection.call("GET", "/x") for _ in range(2)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert [failure.verdict for failure in results] == [Verdict.NOT_RUN] * 2
        gateway.known = True
        assert await connection.call("GET", "/x") == {}


async def test_lot_that_stays_unknown_is_an_error():
    """Guards against a loop without an end, and without pauses, of declarations and pulls."""
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        client = TrainerClient(connection)
        client.retry_timeout_s = 0.5
        run = await client.run(SPEC, 1)
        gateway.script["pull"] = [error(404, "unknown_lot")] * 10_000
        with pytest.raises(ApiError, match="m"):
            await run.pull()
        assert len(gateway.calls) < 30


async def test_long_wait_is_not_timed_out_by_the_client(monkeypatch):
    """Guards against a pull whose own time-out is shorter than the wait that it asks for."""
    monkeypatch.setattr("turmericreach.client.trainer.PULL_MARGIN_S", 0.3)
    async with ScriptedGateway(SPEC) as gateway, ApiConnection([gateway.url]) as connection:
        run = await TrainerClient(connection).run(SPEC, 1)

        async def slow(body):
            await asyncio.sleep(0.6)
            return gateway.pull(msgspec.json.decode(body))

        gateway.script["pull"] = [slow]
        assert len(await run.pull(wait_s=0.5)) == SPEC.size
        assert gateway.calls.count("pull") == 1
