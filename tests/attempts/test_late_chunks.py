"""Guards against a response that contains chunks of an abandoned attempt (G4).

An agent that was paused may resume sending after another attempt of the request has started.
"""

import asyncio
import types

import pytest

from tests.builders.attempts import make_request
from turmericreach.attempts import CallerStream, RequestRunner
from turmericreach.routing import Choice, Refusal, RetryBudget, TargetState
from turmericreach.rpc import Hello
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

pytestmark = pytest.mark.looptime


class Client:
    """Connection to an agent that responds at once, or never ends if `body` is None."""

    def __init__(self, body):
        self.body = body
        self.peer = Hello("a", "agent", "x", 1)
        self.handler = None

    def peer_deadline_ms(self, deadline):
        return 10_000

    async def submit(self, attempt, timeout_s, handler):
        self.handler = handler
        if self.body is None:
            await asyncio.Event().wait()
        await handler.begin(200, [])
        await handler.write(self.body)
        return Outcome(Verdict.ANSWERED, status=200)

    async def settle(self, *values):
        return Outcome(Verdict.MAY_HAVE_RUN, code=ErrorCode.TIMEOUT)


class Router:
    """Selects the paused target first and reports it as suspected."""

    def choose(self, request, now):
        for name in ("paused", "other"):
            if name not in request.excluded:
                return Choice(name, "")
        return Refusal(ErrorCode.NO_TARGET, 0.0, "")

    def on_sent(self, *values):
        pass

    def on_ended(self, *values):
        pass

    def state_of(self, target):
        return TargetState.SUSPECT if target == "paused" else TargetState.LIVE


async def test_chunks_of_an_abandoned_attempt_do_not_reach_the_caller():
    """Guards against a status, headers or chunks of a late attempt after another one responded."""
    clients = {"paused": Client(None), "other": Client(b"whole")}

    async def connect_agent(target):
        return clients[target]

    async def before_send(request, sent):
        return None

    peers = types.SimpleNamespace(connect_agent=connect_agent, disconnect_agent=lambda target: None)
    observer = types.SimpleNamespace(before_send=before_send, on_decision=lambda *values: None)
    runner = RequestRunner(Router(), peers, observer, RetryBudget())
    stream = CallerStream()
    outcome = await runner.run(make_request(idempotent=True), stream)
    late_handler = clients["paused"].handler
    await late_handler.begin(500, [("X-Late", "1")])
    await late_handler.write(b"late")
    stream.end()
    assert (outcome.verdict, stream.status, stream.headers) == (Verdict.ANSWERED, 200, [])
    assert [await stream.next_chunk(), await stream.next_chunk()] == [b"whole", None]
