"""A state machine of gateways, an agent and the target's record, in virtual time."""

import asyncio
import collections

import hypothesis.strategies as st
import looptime
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.builders.attempts import FakeAgent, FakeNetwork, make_request
from tests.builders.objectstore import MemoryObjectStore
from turmericreach.attempts import ClaimRegistry, RequestRunner
from turmericreach.routing import RetryBudget
from turmericreach.verdicts import Verdict

GATEWAYS = 2
KEYS = ["", "k1", "k2"]
MESSAGES = ["submit", "settle", "cancel"]
DEADLINE_S = 8.0
SIDES = st.integers(0, GATEWAYS - 1)
SECONDS = st.sampled_from([0.0005, 0.002, 0.2, 0.5, 1.0, 9.0, 75.0])


class Gateway(FakeNetwork):
    """A gateway process; after a crash none of its messages that wait are sent."""

    def __init__(self, agents, store):
        super().__init__(*agents)
        self.claims = ClaimRegistry(store, self, lambda: 0.0)
        self.runner = RequestRunner(self, self, self, RetryBudget(now=0.0))
        self.alive = True

    async def agent_of(self, target):
        if not self.alive:
            await asyncio.Event().wait()
        return await super().agent_of(target)


class AttemptsMachine(RuleBasedStateMachine):
    """Checks that an order runs at most once and that NOT_RUN is never untrue."""

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.agents = [FakeAgent("t1"), FakeAgent("t2", 0.9)]
        self.store = MemoryObjectStore()
        self.gateways = [Gateway(self.agents, self.store) for _ in range(GATEWAYS)]
        self.requests = {}
        self.calls = {}
        self.key_ran_before = set()

    def go(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def runs(self, request_id):
        return sum(agent.record[request_id] for agent in self.agents)

    def runs_of_keys(self):
        counts = collections.Counter()
        for request in self.requests.values():
            if not request.idempotent and request.key:
                counts[request.key] += self.runs(request.request_id)
        return counts

    @rule(side=SIDES, key=st.sampled_from(KEYS), idempotent=st.sampled_from([False, False, True]))
    def submit(self, side, key, idempotent):
        self.go(self.begin(side, key, idempotent))

    async def begin(self, side, key, idempotent):
        request = make_request(
            request_id=f"r{len(self.requests)}",
            key=key,
            idempotent=idempotent,
            deadline=self.loop.time() + DEADLINE_S,
        )
        if key and not idempotent and self.runs_of_keys()[key]:
            self.key_ran_before.add(request.request_id)
        self.requests[request.request_id] = request
        task = asyncio.ensure_future(self.gateways[side].runner.run(request))
        self.calls[request.request_id] = task

    @rule(seconds=SECONDS)
    def wait(self, seconds):
        self.go(asyncio.sleep(seconds))

    @rule(seconds=SECONDS)
    def wait_again(self, seconds):
        self.go(asyncio.sleep(seconds))

    @rule(side=SIDES)
    def crash_gateway(self, side):
        """Its calls hang, as for a caller that lost its entry host; messages sent arrive."""
        self.gateways[side].alive = False
        self.gateways[side] = Gateway(self.agents, self.store)

    @rule(number=SIDES)
    def crash_agent(self, number):
        if self.agents[number].up:
            self.go(self.apply(self.agents[number].crash))

    @rule(number=SIDES)
    def start_agent(self, number):
        if not self.agents[number].up:
            self.go(self.apply(self.agents[number].start))

    async def apply(self, action):
        action()

    @rule(number=SIDES)
    def freeze_agent(self, number):
        self.agents[number].thawed.clear()

    @rule(number=SIDES)
    def thaw_agent(self, number):
        self.agents[number].thawed.set()

    @rule(
        side=SIDES,
        kind=st.sampled_from(MESSAGES),
        fault=st.sampled_from(["lose_request", "lose_answer", "double"]),
    )
    def disturb_message(self, side, kind, fault):
        setattr(self.gateways[side].faults[kind], fault, 1)

    @rule(side=SIDES, kind=st.sampled_from(MESSAGES), seconds=SECONDS)
    def delay_message(self, side, kind, seconds):
        self.gateways[side].faults[kind].late_s = seconds

    @rule(fault=st.sampled_from(["lose_answers", "lose_requests", "late_writes"]))
    def disturb_write(self, fault):
        setattr(self.store.faults, fault, 1)

    @rule(down=st.booleans())
    def switch_platform(self, down):
        self.store.faults.down = down

    @rule()
    def land_late_writes(self):
        self.go(self.apply(self.store.land))

    @invariant()
    def an_order_runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs_of_keys().values())
        for request in self.requests.values():
            assert request.idempotent or self.runs(request.request_id) <= 1

    @invariant()
    def a_verdict_is_true(self):
        for request_id, task in self.calls.items():
            if not task.done() or task.cancelled():
                continue
            outcome = task.result()
            if outcome.verdict is Verdict.NOT_RUN:
                assert self.runs(request_id) == 0, outcome.evidence
                assert request_id not in self.key_ran_before, outcome.evidence
            request = self.requests[request_id]
            if outcome.verdict is Verdict.ANSWERED and not request.key:
                assert outcome.body == request_id.encode()

    def teardown(self):
        """Let everything late arrive, then check once more and ask for an idempotent answer."""
        self.store.faults.down = False
        for agent in self.agents:
            agent.thawed.set()
            if not agent.up:
                self.go(self.apply(agent.start))
        self.go(asyncio.sleep(200.0))
        self.an_order_runs_at_most_once()
        self.a_verdict_is_true()
        fresh = Gateway(self.agents, self.store)
        request = make_request(
            request_id="last", idempotent=True, deadline=self.loop.time() + DEADLINE_S
        )
        assert self.go(fresh.runner.run(request)).verdict is Verdict.ANSWERED
        self.go(self.end_tasks())
        self.loop.close()

    async def end_tasks(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
