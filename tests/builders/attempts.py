"""Attempts, agents with a fake target, and a network with faults, in virtual time."""

import asyncio
import collections

import attrs

from turmericreach.attempts import AttemptTable, CallerRequest
from turmericreach.daemon.agent import AttemptServer
from turmericreach.routing import Choice, Refusal, TargetState
from turmericreach.rpc import Attempt, Hello, PeerDisconnected, PeerTimeout, PeerUnreachable
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

NETWORK_S = 0.001


def make_attempt(**changes):
    values = {
        "request_id": "r1",
        "attempt_id": "a1",
        "target": "t1",
        "incarnation": 1,
        "deadline_ms": 10_000,
        "idempotent": False,
    }
    return Attempt(**(values | changes))


def make_request(**changes):
    values = {"request_id": "r1", "service": "orders", "deadline": 10.0, "idempotent": False}
    return CallerRequest(**(values | changes))


class FakeTarget:
    """Runs attempts one after another, and records which requests it executed."""

    def __init__(self, table, record, seconds=0.5):
        self.table = table
        self.record = record
        self.seconds = seconds
        self.turn = asyncio.Lock()
        self.leaving = False

    def in_flight(self):
        return self.table.in_flight(), 0

    def withdraw(self, attempt_id):
        pass

    def start_leaving(self):
        self.leaving = True

    async def run(self, entry, attempt, writer):
        loop = asyncio.get_running_loop()
        try:
            await self.turn.acquire()
        except asyncio.CancelledError:
            self.table.revoke(entry)
            raise
        outcome = self.table.may_have_run_outcome(ErrorCode.CANCELLED, "cut off")
        try:
            refusal = self.table.start(entry, loop.time())
            if refusal is not None:
                return refusal
            self.record[attempt.request_id] += 1
            await asyncio.sleep(self.seconds)
            outcome = Outcome(Verdict.ANSWERED, status=200, body=attempt.request_id.encode())
            return outcome
        finally:
            self.turn.release()
            if entry.outcome is None:
                self.table.finish(entry, outcome)


class FakeAgent:
    """An agent process that can crash, restart and freeze; the target's record outlives it."""

    def __init__(self, name="t1", seconds=0.5):
        self.name = name
        self.seconds = seconds
        self.record = collections.Counter()
        self.incarnation = 0
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.start()

    def start(self):
        self.incarnation += 1
        self.up = True
        self.gone = asyncio.Event()
        table = AttemptTable(self.name, self.incarnation)
        self.server = AttemptServer(table)
        self.server.targets[self.name] = FakeTarget(table, self.record, self.seconds)

    def crash(self):
        """End the process; what the target has begun goes on and nobody hears of it."""
        self.up = False
        self.gone.set()
        for task in list(self.server.executions.values()):
            task.cancel()


@attrs.define
class LinkFaults:
    """Faults of the next messages of one kind; `late_s` delays one message."""

    lose_request: int = 0
    lose_answer: int = 0
    double: int = 0
    late_s: float = 0.0


class FakeClient:
    """A connection to one process of an agent."""

    def __init__(self, network, agent):
        self.network = network
        self.agent = agent
        self.server = agent.server
        self.gone = agent.gone
        self.peer = Hello(agent.name, "agent", "x", agent.incarnation)

    def peer_deadline_ms(self, deadline):
        return int(deadline * 1000)

    async def call(self, kind, make, timeout_s):
        answer = asyncio.ensure_future(self.exchange(kind, make))
        gone = asyncio.ensure_future(self.gone.wait())
        try:
            await asyncio.wait([answer, gone], timeout=timeout_s, return_when="FIRST_COMPLETED")
            if answer.done():
                return answer.result()
            if self.gone.is_set():
                raise PeerDisconnected("process ended")
            raise PeerTimeout("no answer")
        finally:
            answer.cancel()
            gone.cancel()

    async def exchange(self, kind, make):
        """Carry a message there and its answer back, with the faults in force."""
        faults = self.network.faults[kind]
        if faults.lose_request:
            faults.lose_request -= 1
            await asyncio.Event().wait()
        doubled = faults.double > 0
        faults.double = max(0, faults.double - 1)
        late_s, faults.late_s = faults.late_s, 0.0
        handling = asyncio.ensure_future(self.deliver(make, late_s))
        self.network.background.append(handling)
        if doubled:
            copy = self.deliver(make, 2 * late_s + 0.3)
            self.network.background.append(asyncio.ensure_future(copy))
        # A message that was sent arrives even if its sender has stopped waiting.
        outcome = await asyncio.shield(handling)
        if faults.lose_answer:
            faults.lose_answer -= 1
            await asyncio.Event().wait()
        return outcome

    async def deliver(self, make, delay_s):
        await asyncio.sleep(NETWORK_S + delay_s)
        await self.agent.thawed.wait()
        if self.gone.is_set():
            await asyncio.Event().wait()
        return await make(self.server)

    async def submit(self, attempt, timeout_s, handler=None):
        return await self.call("submit", lambda server: server.submit(attempt, None), timeout_s)

    async def settle(self, attempt_id, incarnation, deadline_ms, wait_s, timeout_s):
        def make(server):
            return server.settle(attempt_id, incarnation, deadline_ms, wait_s)

        return await self.call("settle", make, timeout_s)

    async def cancel(self, attempt_id, timeout_s):
        await self.call("cancel", lambda server: server.cancel(attempt_id), timeout_s)


class FakeNetwork:
    """Peers, router, observer and settler of gateways over fake agents."""

    def __init__(self, *agents):
        self.agents = {agent.name: agent for agent in agents}
        self.faults = collections.defaultdict(LinkFaults)
        self.background = []
        self.claims = None
        self.ended = []
        self.states = {}

    async def connect_agent(self, target):
        agent = self.agents[target]
        if not agent.up:
            raise PeerUnreachable("refused")
        if not agent.thawed.is_set():
            await asyncio.sleep(2.0)
            raise PeerUnreachable("no hello")
        return FakeClient(self, agent)

    def disconnect_agent(self, target):
        pass

    def choose(self, request, now):
        for name in self.agents:
            if name not in request.excluded and self.state_of(name) is TargetState.LIVE:
                return Choice(name, "first")
        return Refusal(ErrorCode.NO_TARGET, 0.1, "none is left")

    def state_of(self, target):
        return self.states.get(target, TargetState.LIVE)

    def on_sent(self, *args):
        pass

    def on_ended(self, target, attempt_id, outcome, *args):
        self.ended.append((target, outcome.verdict, outcome.code))

    async def before_send(self, request, sent):
        if request.idempotent or not request.key or self.claims is None:
            return None
        return await self.claims.claim(request, sent, 1.0)

    def on_decision(self, *args):
        pass

    async def settle_sent(self, sent, wait_s):
        client = await self.connect_agent(sent.target)
        return await client.settle(
            sent.attempt_id, sent.incarnation, sent.deadline_ms, wait_s, wait_s + 2.0
        )
