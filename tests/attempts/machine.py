"""Stateful test of gateways, agents and the requests that their targets ran, in virtual time."""

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
INDEXES = st.integers(0, GATEWAYS - 1)
SECONDS = st.sampled_from([0.0005, 0.002, 0.2, 0.5, 1.0, 9.0, 75.0])


class Gateway(FakeNetwork):
    """A gateway process; after a crash it sends no further message."""

    def __init__(self, agents, store):
        super().__init__(*agents)
        self.claims = ClaimRegistry(store, self, lambda: 0.0)
        self.runner = RequestRunner(self, self, self, RetryBudget(now=0.0))
        self.alive = True

    async def connect_agent(self, target):
        if not self.alive:
            await asyncio.Event().wait()
        return await super().connect_agent(target)


class AttemptsMachine(RuleBasedStateMachine):
    """Checks that a non-idempotent request runs at most once and that verdicts are true."""

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.agents = [FakeAgent("t1"), FakeAgent("t2", 0.9)]
        self.store = MemoryObjectStore()
        self.gateways = [Gateway(self.agents, self.store) for _ in range(GATEWAYS)]
        self.requests = {}
        self.calls = {}
        self.requests_with_earlier_run = set()

    def run_in_loop(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def count_runs(self, request_id):
        return sum(agent.execution_counts[request_id] for agent in self.agents)

    def count_runs_by_key(self):
        counts = collections.Counter()
        for request in self.requests.values():
            if not request.idempotent and request.key:
                counts[request.key] += self.count_runs(request.request_id)
        return counts

    @rule(
        gateway_index=INDEXES,
        key=st.sampled_from(KEYS),
        idempotent=st.sampled_from([False, False, True]),
    )
    def submit(self, gateway_index, key, idempotent):
        self.run_in_loop(self.start_request(gateway_index, key, idempotent))

    async def start_request(self, gateway_index, key, idempotent):
        request = make_request(
            request_id=f"r{len(self.requests)}",
            key=key,
            idempotent=idempotent,
            deadline=self.loop.time() + DEADLINE_S,
        )
        if key and not idempotent and self.count_runs_by_key()[key]:
            self.requests_with_earlier_run.add(request.request_id)
        self.requests[request.request_id] = request
        task = asyncio.ensure_future(self.gateways[gateway_index].runner.run(request))
        self.calls[request.request_id] = task

    @rule(seconds=SECONDS)
    def wait(self, seconds):
        self.run_in_loop(asyncio.sleep(seconds))

    @rule(seconds=SECONDS)
    def wait_again(self, seconds):
        self.run_in_loop(asyncio.sleep(seconds))

    @rule(gateway_index=INDEXES)
    def crash_gateway(self, gateway_index):
        """Replace a gateway; its calls never end, while messages that it has sent still arrive."""
        self.gateways[gateway_index].alive = False
        self.gateways[gateway_index] = Gateway(self.agents, self.store)

    @rule(agent_index=INDEXES)
    def crash_agent(self, agent_index):
        if self.agents[agent_index].up:
            self.run_in_loop(self.call_in_loop(self.agents[agent_index].crash))

    @rule(agent_index=INDEXES)
    def start_agent(self, agent_index):
        if not self.agents[agent_index].up:
            self.run_in_loop(self.call_in_loop(self.agents[agent_index].start))

    async def call_in_loop(self, action):
        """Call a function while the event loop runs, for those that start tasks."""
        action()

    @rule(agent_index=INDEXES)
    def freeze_agent(self, agent_index):
        self.agents[agent_index].resumed.clear()

    @rule(agent_index=INDEXES)
    def thaw_agent(self, agent_index):
        self.agents[agent_index].resumed.set()

    @rule(
        gateway_index=INDEXES,
        kind=st.sampled_from(MESSAGES),
        fault=st.sampled_from(["lose_request", "lose_answer", "double"]),
    )
    def disturb_message(self, gateway_index, kind, fault):
        setattr(self.gateways[gateway_index].faults[kind], fault, 1)

    @rule(gateway_index=INDEXES, kind=st.sampled_from(MESSAGES), seconds=SECONDS)
    def delay_message(self, gateway_index, kind, seconds):
        self.gateways[gateway_index].faults[kind].delay_s = seconds

    @rule(fault=st.sampled_from(["lose_answers", "lose_requests", "late_writes"]))
    def disturb_write(self, fault):
        setattr(self.store.faults, fault, 1)

    @rule(down=st.booleans())
    def switch_platform(self, down):
        self.store.faults.down = down

    @rule()
    def land_late_writes(self):
        self.run_in_loop(self.call_in_loop(self.store.apply_late_writes))

    @invariant()
    def non_idempotent_requests_run_at_most_once(self):
        assert all(count <= 1 for count in self.count_runs_by_key().values())
        for request in self.requests.values():
            assert request.idempotent or self.count_runs(request.request_id) <= 1

    @invariant()
    def verdicts_are_true(self):
        for request_id, task in self.calls.items():
            if not task.done() or task.cancelled():
                continue
            outcome = task.result()
            if outcome.verdict is Verdict.NOT_RUN:
                assert self.count_runs(request_id) == 0, outcome.evidence
                assert request_id not in self.requests_with_earlier_run, outcome.evidence
            request = self.requests[request_id]
            if outcome.verdict is Verdict.ANSWERED and not request.key:
                assert outcome.body == request_id.encode()

    def teardown(self):
        """End all faults, wait for late messages, check again and run an idempotent request."""
        self.store.faults.down = False
        for agent in self.agents:
            agent.resumed.set()
            if not agent.up:
                self.run_in_loop(self.call_in_loop(agent.start))
        self.run_in_loop(asyncio.sleep(200.0))
        self.non_idempotent_requests_run_at_most_once()
        self.verdicts_are_true()
        gateway = Gateway(self.agents, self.store)
        request = make_request(
            request_id="last", idempotent=True, deadline=self.loop.time() + DEADLINE_S
        )
        assert self.run_in_loop(gateway.runner.run(request)).verdict is Verdict.ANSWERED
        self.run_in_loop(self.cancel_tasks())
        self.loop.close()

    async def cancel_tasks(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
