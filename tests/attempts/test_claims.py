"""Guards against a keyed request that runs twice when the object API is unavailable or slow."""

import asyncio

import msgspec
import pytest

from tests.attempts.test_runner import make_runner, now, with_claims
from tests.builders.attempts import FakeAgent, FakeNetwork, make_request
from tests.builders.objectstore import MemoryObjectStore
from turmericreach.attempts import ClaimCleaner, ClaimRecord, SentAttempt
from turmericreach.attempts.claim_cleaner import CLAIM_LIFETIME_S
from turmericreach.objectstore import ObjectStoreError
from turmericreach.verdicts import ErrorCode, Verdict

pytestmark = pytest.mark.looptime


def keyed_request(number, **changes):
    return make_request(request_id=f"r{number}", key="k", deadline=now() + 10.0, **changes)


async def no_fault(store):
    pass


async def unavailable(store):
    store.faults.down = True


async def rate_limited(store):
    store.faults.rate_limited = True


async def slow(store):
    store.faults.delay_s = 1.0


async def lost_response(store):
    store.faults.lose_answers = 1


async def lost_request(store):
    store.faults.lose_requests = 1


async def lost_response_and_request(store):
    store.faults.lose_answers, store.faults.lose_requests = 1, 1


async def late_write(store):
    store.faults.late_writes = 1


async def late_writes_only(store):
    store.faults.late_writes = 9


# Fault of the object API during the first submission, and the verdict of that submission.
FAULTS = [
    (no_fault, Verdict.ANSWERED),
    (unavailable, Verdict.MAY_HAVE_RUN),
    (rate_limited, Verdict.MAY_HAVE_RUN),
    (slow, Verdict.ANSWERED),
    (lost_response, Verdict.ANSWERED),
    (lost_request, Verdict.ANSWERED),
    (lost_response_and_request, Verdict.ANSWERED),
    (late_write, Verdict.ANSWERED),
    (late_writes_only, Verdict.MAY_HAVE_RUN),
]


@pytest.mark.parametrize("restart", [False, True])
@pytest.mark.parametrize(("fault", "verdict"), FAULTS)
async def test_two_submissions_run_once(fault, verdict, restart):
    """Guards against a second run after a fault of the object API or a restart of the agent."""
    agent = FakeAgent()
    network = with_claims(FakeNetwork(agent))
    runner = make_runner(network)
    await fault(network.store)
    first = await runner.run(keyed_request(1))
    assert first.verdict is verdict
    if verdict is Verdict.MAY_HAVE_RUN:
        assert first.code == ErrorCode.CLAIM_UNAVAILABLE
        assert agent.execution_counts.total() == 0
    network.store.faults.__init__()
    network.store.apply_late_writes()
    if restart:
        agent.crash()
        agent.start()
    second = await runner.run(keyed_request(2))
    assert agent.execution_counts.total() <= 1
    if not restart:
        assert second.verdict is Verdict.ANSWERED
        assert agent.execution_counts.total() == 1


async def test_concurrent_submissions_with_one_key_run_once():
    """Guards against two runs when gateways submit one key at the same time."""
    agent = FakeAgent()
    network = with_claims(FakeNetwork(agent))
    network.store.faults.delay_s = 0.1
    runs = [make_runner(network).run(keyed_request(number)) for number in range(4)]
    outcomes = await asyncio.gather(*runs)
    assert agent.execution_counts.total() == 1
    assert {outcome.verdict for outcome in outcomes} <= {Verdict.ANSWERED, Verdict.MAY_HAVE_RUN}


async def test_claim_of_a_delayed_attempt_is_taken_over_and_the_attempt_stays_revoked():
    """Guards against a delayed attempt that runs after another one has taken over its claim."""
    agent = FakeAgent()
    network = with_claims(FakeNetwork(agent))
    network.faults["submit"].delay_s = 5.0
    delayed = asyncio.ensure_future(make_runner(network).run(keyed_request(1)))
    await asyncio.sleep(0.5)
    second = await make_runner(network).run(keyed_request(2))
    assert second.verdict is Verdict.ANSWERED
    assert (await delayed).body == b"r2"
    assert (agent.execution_counts["r1"], agent.execution_counts["r2"]) == (0, 1)


async def test_same_key_at_another_service_is_a_separate_claim():
    """Guards against keys that collide across services, so that the second request never runs."""
    agent = FakeAgent()
    network = with_claims(FakeNetwork(agent))
    await make_runner(network).run(keyed_request(1))
    await make_runner(network).run(keyed_request(2, service="confirmations"))
    assert agent.execution_counts.total() == 2


class TestCleaner:
    """Guards against claims that fill the object API and against early removal."""

    def make(self):
        self.clock = 0.0
        self.store = MemoryObjectStore()
        return ClaimCleaner(self.store, lambda: self.clock)

    async def claim(self, name, created_at=0.0):
        record = ClaimRecord("r", SentAttempt("a", "t", 1, 2), created_at)
        return await self.store.put("claims", name, msgspec.json.encode(record))

    async def claim_names(self):
        return [item.name for item in (await self.store.list("claims")).items]

    async def test_claim_is_removed_only_after_its_lifetime(self):
        """Guards against removal while a repeated request may still come and would run again."""
        cleaner = self.make()
        cleaner.record_claim("orders:k", (await self.claim("orders:k")).version, 0.0)
        self.clock = CLAIM_LIFETIME_S - 1.0
        assert await cleaner.remove_expired() == 0
        assert await self.claim_names() == ["orders:k"]
        self.clock = CLAIM_LIFETIME_S
        assert await cleaner.remove_expired() == 1
        assert await self.claim_names() == []

    async def test_claim_taken_over_by_another_process_stays(self):
        """Guards against removal of a claim that another process has renewed meanwhile."""
        cleaner = self.make()
        cleaner.record_claim("orders:k", (await self.claim("orders:k")).version, 0.0)
        await self.claim("orders:k", CLAIM_LIFETIME_S)
        self.clock = CLAIM_LIFETIME_S
        await cleaner.remove_expired()
        assert await self.claim_names() == ["orders:k"]

    async def test_claim_is_removed_after_an_outage_of_the_object_api(self):
        """Guards against claims that stay for ever because the first removal failed."""
        cleaner = self.make()
        cleaner.record_claim("orders:k", (await self.claim("orders:k")).version, 0.0)
        self.clock = CLAIM_LIFETIME_S
        self.store.faults.down = True
        with pytest.raises(ObjectStoreError):
            await cleaner.remove_expired()
        self.store.faults.down = False
        assert await cleaner.remove_expired() == 1

    async def test_sweep_removes_only_old_claims(self):
        """Guards against a sweep that removes claims within their lifetime."""
        cleaner = self.make()
        await self.claim("orders:old", 0.0)
        await self.claim("orders:new", 5000.0)
        self.clock = CLAIM_LIFETIME_S + 3601.0
        assert await cleaner.sweep() == 1
        assert await self.claim_names() == ["orders:new"]
