"""Builders of attempts, and fake agents, targets and a faulty network in virtual time."""

import asyncio
import collections

import attrs

from turmericreach.attempts import AttemptTable, CallerRequest
from turmericreach.daemon.agent import AttemptServer
from turmericreach.routing import Choice, Refusal, TargetState
from turmericreach.rpc import Attempt, Hello, PeerDisconnected, PeerTimeout, PeerUnreachable
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

NETWORK_DELAY_S = 0.001


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
    """Runs attempts one at a time and counts the executions of each request."""

    def __init__(self, table, execution_counts, seconds=0.5):
        self.table = table
        self.execution_counts = execution_counts
        self.seconds = seconds
        self.execution_lock = asyncio.Lock()
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
            await self.execution_lock.acquire()
        except asyncio.CancelledError:
            self.table.revoke(entry)
            raise
        outcome = self.table.may_have_run_outcome(ErrorCode.CANCELLED, "interrupted")
        try:
            refusal = self.table.start(entry, loop.time())
            if refusal is not None:
                return refusal
            self.execution_counts[attempt.request_id] += 1
            await asyncio.sleep(self.seconds)
            outcome = Outcome(Verdict.ANSWERED, status=200, body=attempt.request_id.encode())
            return outcome
        finally:
            self.execution_lock.release()
            if entry.outcome is None:
                self.table.finish(entry, outcome)


class FakeAgent:
    """An agent process that can crash, restart and be suspended.

    Attributes
    ----------
    execution_counts : collections.Counter
        Executions by request id at the target; kept when the agent restarts.
    resumed : asyncio.Event
        Set unless the agent is suspended.
    process_ended : asyncio.Event
        Set when the present process crashes; each start creates a new one.
    """

    def __init__(self, name="t1", seconds=0.5):
        self.name = name
        self.seconds = seconds
        self.execution_counts = collections.Counter()
        self.incarnation = 0
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.start()

    def start(self):
        self.incarnation += 1
        self.up = True
        self.process_ended = asyncio.Event()
        table = AttemptTable(self.name, self.incarnation)
        self.server = AttemptServer(table)
        self.server.targets[self.name] = FakeTarget(table, self.execution_counts, self.seconds)

    def crash(self):
        """End the process and its connections; executions that began stay counted."""
        self.up = False
        self.process_ended.set()
        for task in list(self.server.executions.values()):
            task.cancel()


@attrs.define
class LinkFaults:
    """Faults of the next messages of one kind.

    Attributes
    ----------
    lose_request, lose_answer : int
        Number of next messages whose request or response never arrives.
    double : int
        Number of next messages that are delivered twice.
    delay_s : float
        Additional delay of the next message.
    """

    lose_request: int = 0
    lose_answer: int = 0
    double: int = 0
    delay_s: float = 0.0


class FakeClient:
    """A connection to one process of an agent; it ends with that process."""

    def __init__(self, network, agent):
        self.network = network
        self.agent = agent
        self.server = agent.server
        self.process_ended = agent.process_ended
        self.peer = Hello(agent.name, "agent", "x", agent.incarnation)

    def peer_deadline_ms(self, deadline):
        return int(deadline * 1000)

    async def call(self, kind, make, timeout_s):
        response = asyncio.ensure_future(self.exchange(kind, make))
        process_end = asyncio.ensure_future(self.process_ended.wait())
        try:
            await asyncio.wait(
                [response, process_end], timeout=timeout_s, return_when="FIRST_COMPLETED"
            )
            if response.done():
                return response.result()
            if self.process_ended.is_set():
                raise PeerDisconnected("process ended")
            raise PeerTimeout("no response")
        finally:
            response.cancel()
            process_end.cancel()

    async def exchange(self, kind, make):
        """Deliver a request and return its response, subject to the faults in force."""
        faults = self.network.faults[kind]
        if faults.lose_request:
            faults.lose_request -= 1
            await asyncio.Event().wait()
        duplicated = faults.double > 0
        faults.double = max(0, faults.double - 1)
        delay_s, faults.delay_s = faults.delay_s, 0.0
        handling = asyncio.ensure_future(self.deliver(make, delay_s))
        self.network.background.append(handling)
        if duplicated:
            copy = self.deliver(make, 2 * delay_s + 0.3)
            self.network.background.append(asyncio.ensure_future(copy))
        # A message that was sent is delivered even if its sender has stopped waiting.
        outcome = await asyncio.shield(handling)
        if faults.lose_answer:
            faults.lose_answer -= 1
            await asyncio.Event().wait()
        return outcome

    async def deliver(self, make, delay_s):
        await asyncio.sleep(NETWORK_DELAY_S + delay_s)
        await self.agent.resumed.wait()
        if self.process_ended.is_set():
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
    """Stands for the peers, router, observer and settler of a gateway, on fake agents."""

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
        if not agent.resumed.is_set():
            await asyncio.sleep(2.0)
            raise PeerUnreachable("no hello")
        return FakeClient(self, agent)

    def disconnect_agent(self, target):
        pass

    def choose(self, request, now):
        for name in self.agents:
            if name not in request.excluded and self.state_of(name) is TargetState.LIVE:
                return Choice(name, "first")
        return Refusal(ErrorCode.NO_TARGET, 0.1, "no target is left")

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
