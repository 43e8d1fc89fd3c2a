"""Drains with lost responses, platform outages and unreachable agents."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from tests.builders.objectstore import MemoryObjectStore
from turmericreach.daemon.agent_daemon import AgentDaemon
from turmericreach.daemon.target_drain import DrainMessage, DrainWriter, read_drains
from turmericreach.rpc import PeerTimeout
from turmericreach.verdicts import RequestError, Verdict

pytestmark = pytest.mark.looptime


class Agent:
    """The part of an agent that applies drains."""

    set_drain = AgentDaemon.set_drain

    def __init__(self):
        self.up = True
        self.drained = {}
        self.drain_versions = {}
        self.attempts = SimpleNamespace(targets={})

    async def control(self, kind, body, timeout_s):
        if not self.up:
            raise PeerTimeout("no reply")
        self.set_drain(msgspec.json.decode(body, type=DrainMessage))


@pytest.fixture
def agent():
    return Agent()


@pytest.fixture
def store():
    return MemoryObjectStore()


@pytest.fixture
def make_writer(agent, store):
    async def get(address):
        return agent

    def make():
        members = SimpleNamespace(holder_of=lambda target, now: SimpleNamespace(address="a"))
        node = SimpleNamespace(
            store=store,
            members=members,
            targets={"t1": None},
            peers=SimpleNamespace(get=get),
            now=lambda: 0.0,
            wall_clock=lambda: asyncio.get_running_loop().time(),
        )
        return DrainWriter(node)

    return make


async def test_lost_response_is_settled(agent, store, make_writer):
    """Guards against a stored drain that is reported as not durable."""
    store.faults.lose_answers = 1
    result = await make_writer().drain("t1", True, "ops")
    assert (result["durable"], result["in_force"]) == (True, True)
    (stored,) = await read_drains(store)
    assert (stored.drain, stored.actor, agent.drained) == (True, "ops", {"t1": True})


@pytest.mark.parametrize("fault", ["down", "hang"])
async def test_outage(agent, store, make_writer, fault):
    """Guards against a drain that waits for the platform, or is reported as surely failed."""
    setattr(store.faults, fault, True)
    result = await make_writer().drain("t1", True, "ops")
    assert (result["durable"], result["in_force"]) == (False, True)
    agent.up = False
    with pytest.raises(RequestError) as caught:
        await make_writer().drain("t1", False, "ops")
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


async def test_stored_after_the_outage(agent, store, make_writer):
    """Guards against a drain of an outage that is never stored or replaces a later change."""
    early, late = make_writer(), make_writer()
    store.faults.down = True
    await early.drain("t1", True, "ops")
    tasks = [asyncio.ensure_future(early.run())]
    store.faults.down = False
    await asyncio.sleep(4)
    (stored,) = await read_drains(store)
    assert (stored.drain, agent.drain_versions) == (True, {"t1": stored.version})
    store.faults.down = True
    await early.drain("t1", True, "ops")
    store.faults.down = False
    await late.drain("t1", False, "eve")
    await asyncio.sleep(4)
    (stored,) = await read_drains(store)
    assert (stored.drain, agent.drained, early.unstored) == (False, {"t1": False}, {})
    tasks[0].cancel()


async def test_unreachable_agent_is_notified_later(agent, store, make_writer):
    """Guards against a target that continues to get work because its agent missed a message."""
    writer = make_writer()
    task = asyncio.ensure_future(writer.run())
    agent.up = False
    result = await writer.drain("t1", True, "ops")
    assert (result["durable"], result["in_force"]) == (True, False)
    agent.up = True
    await asyncio.sleep(2)
    assert agent.drained == {"t1": True}
    assert writer.unconfirmed == {}
    task.cancel()


async def test_gateway_whose_clock_is_behind(agent, store, make_writer):
    """Guards against a change that is ignored because another gateway's clock is ahead."""
    ahead, behind = make_writer(), make_writer()
    ahead.node.wall_clock = lambda: 1e6
    await ahead.drain("t1", True, "ops")
    await behind.drain("t1", False, "ops")
    (stored,) = await read_drains(store)
    assert (stored.drain, agent.drained) == (False, {"t1": False})


async def test_late_message_does_not_undo_a_later_change(agent, store, make_writer):
    """Guards against a delayed message that restores a drain lifted by another gateway."""
    first, second = make_writer(), make_writer()
    agent.up = False
    await first.drain("t1", True, "ops")
    agent.up = True
    await second.drain("t1", False, "ops")
    assert await first.send_to_agent(first.unconfirmed["t1"])
    assert agent.drained == {"t1": False}
