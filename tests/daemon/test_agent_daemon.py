"""Agents on leaving hosts, grants, and transfer and installation of revisions."""

import asyncio
import types

import msgspec
import pytest

from turmericreach.attempts import new_attempt_id
from turmericreach.config import ConfigState
from turmericreach.daemon.agent_daemon import AgentDaemon
from turmericreach.daemon.config_installer import ConfigInstaller
from turmericreach.daemon.convergence import ConvergenceLoop
from turmericreach.daemon.node import Node
from turmericreach.daemon.revisions import pack_revision, unpack_revision
from turmericreach.daemon.rollout import GRANT, GrantMessage, GrantReply, WeightRollouts
from turmericreach.rpc import Attempt
from turmericreach.settings import DaemonSettings, Role
from turmericreach.targets import EngineError
from turmericreach.telemetry import Metrics
from turmericreach.verdicts import ErrorCode, Verdict
from turmericreach.weights import Action, ActionKind, FencingTokens, Grant, WantedTable

pytestmark = pytest.mark.looptime


async def make_agent():
    settings = DaemonSettings(Role.AGENT, "a1", "tampere")
    return AgentDaemon(Node(settings, asyncio.get_running_loop().time()))


async def close(agent):
    await agent.session.close()
    await agent.fresh_session.close()
    await agent.node.close()


async def test_an_agent_rejects_work_once_its_host_is_listed_as_leaving():
    """Guards against work that a gateway with a stale member table sends to a leaving host."""
    agent = await make_agent()
    own = agent.node.members.own
    agent.attempts.targets["t1"] = types.SimpleNamespace(start_leaving=lambda: None)
    agent.check_host_state()
    assert not agent.attempts.leaving
    agent.node.members.mark_leaving(own.name, own.started_ms)
    agent.check_host_state()
    attempt = Attempt("r", new_attempt_id(), "t1", agent.node.incarnation, 10_000)
    outcome = await agent.attempts.submit(attempt, None)
    assert (outcome.verdict, outcome.code) == (Verdict.NOT_RUN, ErrorCode.LEAVING)
    await close(agent)


class RefusingEngine:
    """An engine whose weight store responds with 429."""

    async def order(self, order):
        raise EngineError(ErrorCode.OVERLOADED, "store", Verdict.NOT_RUN, 7.0)


async def test_the_reply_to_a_grant_reports_a_refusal_of_the_weight_store():
    """Guards against a planner that continues to grant downloads above the rate limit."""
    agent = await make_agent()
    hosted = types.SimpleNamespace(
        engine=RefusingEngine(),
        version=1,
        spec=types.SimpleNamespace(name="t1", checks_orders=False),
    )
    loop = ConvergenceLoop(
        hosted, WantedTable(), FencingTokens(1), "", lambda: None, Metrics("", "a1")
    )
    agent.convergence_loops["t1"] = loop
    body = msgspec.json.encode(GrantMessage("t1", 2, 4.0))
    first = msgspec.json.decode(await agent.control(GRANT, body), type=GrantReply)
    await loop.send_order(Action(ActionKind.PREPARE, 2, 5), asyncio.get_running_loop())
    second = msgspec.json.decode(await agent.control(GRANT, body), type=GrantReply)
    assert (first.store_refused_s, second.store_refused_s) == (0.0, 7.0)
    await close(agent)


async def test_a_stored_manifest_that_cannot_be_decoded_is_rejected():
    """Guards against loops of a process that end at a manifest that cannot be decoded."""
    installed = []
    node = types.SimpleNamespace(config=ConfigState(0.0), now=lambda: 0.0)
    installer = ConfigInstaller(node, lambda: installed.append(1), lambda: None)
    installer.offer_stored(b"\xff not a revision")
    installer.offer_packed(b"\xff not compressed")
    installer.offer_packed(pack_revision(b"x" * 1000)[:-4])
    assert (installed, node.config.generation) == ([], 0)


async def test_revisions_shrink_on_the_way_to_a_peer():
    """Guards against a relay that sends 62 KB/s of uncompressed manifests at 1,200 targets."""
    payload = b'{"name":"assistant-%d","slots":8},' * 1200
    assert unpack_revision(pack_revision(payload)) == payload
    assert len(pack_revision(payload)) < len(payload) / 10


async def test_a_grant_is_sent_when_new_and_once_more_half_way():
    """Guards against 80 calls a second while a version is rolled out with 40 grants."""
    rollouts = WeightRollouts(None, None, None)
    grant = Grant("t1", 2, 4.0)
    sent = [bool(rollouts.grants_due([grant], step / 2)) for step in range(8)]
    assert sent == [True, False, False, False, True, False, False, False]
    assert rollouts.grants_due([Grant("t1", 3, 8.0)], 4.0) != []
