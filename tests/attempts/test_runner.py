"""Guards against wrong verdicts and repeated runs under faults of agents and messages."""

import asyncio

import pytest

from tests.builders.attempts import FakeAgent, FakeNetwork, make_request
from tests.builders.objectstore import MemoryObjectStore
from turmericreach.attempts import ClaimRegistry, RequestRunner
from turmericreach.routing import RetryBudget, TargetState
from turmericreach.verdicts import ErrorCode, Verdict

pytestmark = pytest.mark.looptime

NOT_RUN, MAY, ANSWERED = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.ANSWERED


def make_runner(network, **options):
    return RequestRunner(network, network, network, RetryBudget(now=0.0, **options))


def now():
    return asyncio.get_running_loop().time()


def with_claims(network):
    network.store = MemoryObjectStore()
    network.claims = ClaimRegistry(network.store, network, lambda: 0.0)
    return network


async def call_after(seconds, action):
    await asyncio.sleep(seconds)
    action()


# Fault, its time in seconds (the target runs the request from 0 to 0.5 s), verdict of a
# non-idempotent request, and how often it ran.
FAULTS = [
    ("none", 0.0, ANSWERED, 1),
    ("crash", 0.0, NOT_RUN, 0),
    ("crash", 0.25, MAY, 1),
    ("restart", 0.25, MAY, 1),
    ("crash", 0.75, ANSWERED, 1),
    ("freeze", 0.0005, NOT_RUN, 0),
    ("freeze", 0.25, ANSWERED, 1),
    ("lose_request", 0.0, NOT_RUN, 0),
    ("lose_answer", 0.0, ANSWERED, 1),
    ("double", 0.0, ANSWERED, 1),
    ("late", 0.0, NOT_RUN, 0),
]


def inject(fault, agent, network):
    if fault in ("crash", "restart"):
        agent.crash()
    if fault == "restart":
        agent.start()
    if fault == "freeze":
        agent.resumed.clear()
        asyncio.get_running_loop().call_later(10.2, agent.resumed.set)
    if fault in ("lose_request", "lose_answer", "double"):
        setattr(network.faults["submit"], fault, 1)
    if fault == "late":
        network.faults["submit"].delay_s = 10.3


@pytest.mark.parametrize(("fault", "when", "verdict", "runs"), FAULTS)
async def test_non_idempotent_request_under_one_fault(fault, when, verdict, runs):
    """Guards against a wrong verdict or a second run after one fault of an agent or a message."""
    agent = FakeAgent()
    network = FakeNetwork(agent)
    if when:
        asyncio.ensure_future(call_after(when, lambda: inject(fault, agent, network)))
    else:
        inject(fault, agent, network)
    start = now()
    outcome = await make_runner(network).run(make_request(deadline=start + 10.0))
    assert now() - start < 20.0
    await asyncio.sleep(30.0)
    assert (outcome.verdict, agent.execution_counts["r1"]) == (verdict, runs)


@pytest.mark.parametrize("second", [row[:2] for row in FAULTS])
@pytest.mark.parametrize("first", [row[:2] for row in FAULTS])
async def test_non_idempotent_request_under_two_faults(first, second):
    """Guards against a second run, or a false verdict, when two faults follow each other."""
    agent, spare = FakeAgent("t1"), FakeAgent("t2")
    network = FakeNetwork(agent, spare)
    for fault, when in (first, second):
        delay = when + (0.05 if (fault, when) == first else 0.0)
        asyncio.ensure_future(call_after(delay, lambda name=fault: inject(name, agent, network)))
    await asyncio.sleep(0)
    outcome = await make_runner(network).run(make_request(deadline=now() + 10.0))
    await asyncio.sleep(30.0)
    runs = agent.execution_counts["r1"] + spare.execution_counts["r1"]
    assert runs <= 1
    assert outcome.verdict is not NOT_RUN or runs == 0
    assert outcome.verdict is not ANSWERED or runs == 1


@pytest.mark.parametrize(("fault", "when"), [row[:2] for row in FAULTS])
async def test_idempotent_request_is_answered_while_another_target_is_up(fault, when):
    """Guards against a failed idempotent request although another target could have served it."""
    agent, spare = FakeAgent("t1"), FakeAgent("t2")
    network = FakeNetwork(agent, spare)

    def suspect():
        network.states["t1"] = TargetState.SUSPECT

    asyncio.ensure_future(call_after(when, lambda: inject(fault, agent, network)))
    asyncio.ensure_future(call_after(3.0, suspect))
    request = make_request(deadline=now() + 10.0, idempotent=True)
    assert (await make_runner(network).run(request)).verdict is ANSWERED


async def test_lost_settlements_leave_the_verdict_unknown():
    """Guards against NOT_RUN for a request that ran while its settlements were lost."""
    agent = FakeAgent()
    network = FakeNetwork(agent)
    network.faults["submit"].lose_answer = 1
    network.faults["settle"].lose_answer = 2
    assert (await make_runner(network).run(make_request(deadline=now() + 5.0))).verdict is MAY


async def test_cancelled_call_does_not_stop_a_started_non_idempotent_request():
    """Guards against an order that is interrupted because its caller disconnected."""
    agent = FakeAgent()
    task = asyncio.ensure_future(make_runner(FakeNetwork(agent)).run(make_request()))
    await asyncio.sleep(0.1)
    task.cancel()
    await asyncio.sleep(2.0)
    entry = next(iter(agent.server.table.entries.values()))
    assert entry.outcome.verdict is ANSWERED


async def test_cancelled_call_revokes_a_queued_request():
    """Guards against a run whose caller disconnected while the request was queued."""
    agent = FakeAgent()
    runner = make_runner(FakeNetwork(agent))
    first = asyncio.ensure_future(runner.run(make_request(request_id="r0")))
    await asyncio.sleep(0.1)
    second = asyncio.ensure_future(runner.run(make_request()))
    await asyncio.sleep(0.1)
    second.cancel()
    assert (await first).verdict is ANSWERED
    await asyncio.sleep(5.0)
    assert agent.execution_counts["r1"] == 0


async def test_keyed_request_without_a_target_may_have_run_before():
    """Guards against NOT_RUN for a repeated key that ran at a target now out of reach."""
    agent = FakeAgent()
    network = with_claims(FakeNetwork(agent))
    request = make_request(key="k", deadline=now() + 5.0)
    assert (await make_runner(network).run(request)).verdict is ANSWERED
    network.states["t1"] = TargetState.SUSPECT
    repeated = make_request(key="k", request_id="r2", deadline=now() + 5.0)
    assert (await make_runner(network).run(repeated)).verdict is MAY


async def test_request_refused_by_its_claim_is_no_observation_of_the_target():
    """Guards against a circuit that opens because of refused claims and not of the target."""
    agent = FakeAgent()
    network = with_claims(FakeNetwork(agent))
    runner = make_runner(network)
    await runner.run(make_request(key="k", deadline=now() + 5.0))
    agent.crash()
    agent.start()
    network.ended.clear()
    outcome = await runner.run(make_request(key="k", request_id="r2", deadline=now() + 5.0))
    assert outcome.verdict is MAY
    assert [code for _, _, code in network.ended] == [ErrorCode.CANCELLED]


async def test_choice_of_a_target_is_reported_before_the_outcome():
    """Guards against an `explain` that shows outcomes without the choices that led to them."""
    network = FakeNetwork(FakeAgent())
    decisions = []
    network.on_decision = lambda request_id, attempt_id, what, evidence: decisions.append(what)
    await make_runner(network).run(make_request())
    assert [what.split(" ")[0] for what in decisions] == ["chose", "t1:"]
