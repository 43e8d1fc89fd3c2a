"""Requests that end the targets of an agent, on the own interface."""

import asyncio

from tests.builders.attempts import FakeNetwork, make_attempt, make_request
from tests.builders.loopback import LOOPBACK, free_port
from turmericreach.attempts import AttemptTable, RequestRunner
from turmericreach.daemon.agent import AttemptServer
from turmericreach.daemon.crash_watch import merge_crashes
from turmericreach.daemon.hosted import HostedTarget
from turmericreach.manifest import DataCentre, Manifest, ServiceKind, ServiceSpec, TargetSpec
from turmericreach.routing import RetryBudget
from turmericreach.sharing import CrashTable
from turmericreach.telemetry import Metrics
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

CRASH_BODY = b"divide by zero"


class CrashingAdapter:
    """A target that ends under one request; its port is closed all the time."""

    async def run(self, call, writer):
        if call.body == CRASH_BODY:
            return Outcome(Verdict.MAY_HAVE_RUN, code=ErrorCode.TARGET_FAILED), False
        return Outcome(Verdict.ANSWERED, status=200), False


def make_server(name):
    """Return an agent with one target whose port refuses connections."""
    service = ServiceSpec("orders", ServiceKind.PLAIN)
    url = f"http://{LOOPBACK}:{free_port()}"
    spec = TargetSpec(name, "orders", "a", url, "10.0.0.1:7400", 1)
    manifest = Manifest(1, "d", [DataCentre("a")], [service], [spec])
    server = AttemptServer(AttemptTable(name, 1))
    target = HostedTarget(spec, service, manifest, server.table, None, None, 0.0, Metrics("", "a"))
    target.adapter = CrashingAdapter()
    server.targets[name] = target
    return server, target


async def submit(server, target, number, body, **fields):
    """Submit an attempt and wait until the check after it has ended."""
    deadline_ms = int((asyncio.get_running_loop().time() + 10) * 1000)
    attempt = make_attempt(
        attempt_id=f"a{number}",
        target=target.spec.name,
        deadline_ms=deadline_ms,
        body=body,
        **{"method": "POST", "path": "/pay", **fields},
    )
    await server.submit(attempt, None)
    await asyncio.gather(*target.crash_watch.probes)


async def test_request_that_ended_targets_of_several_agents_is_sent_to_none():
    """Guards against a request that ends target after target, each seen by another agent."""
    crashes = CrashTable()
    now = asyncio.get_running_loop().time()
    for name in ("t1", "t2"):
        server, target = make_server(name)
        for number in range(4):
            await submit(server, target, 2 * number, CRASH_BODY)
            if name == "t1":
                break
            await submit(server, target, 2 * number + 1, b"good")
        merge_crashes(crashes, target.crash_watch.report(), now)
    network = FakeNetwork()
    runner = RequestRunner(network, network, network, RetryBudget(now=0.0), crashes)
    request = make_request(method="POST", path="/pay", body=CRASH_BODY, deadline=now + 5)
    outcome = await runner.run(request)
    assert (outcome.verdict, outcome.code) == (Verdict.NOT_RUN, ErrorCode.TARGET_FAILED)
    assert outcome.retry_after_s == 0


async def test_rollouts_and_completed_requests_are_no_evidence():
    """Guards against items that are not run any more, and against a ban of frequent requests."""
    server, target = make_server("t1")
    for number in range(4):
        await submit(server, target, 2 * number, CRASH_BODY, priority="rollout", lot="l")
        await submit(server, target, 2 * number + 1, b"good")
    assert target.crash_watch.report() == []
