"""Tests `HttpService` against the service stand-in and raw responses."""

import asyncio
import contextlib

import pytest

from tests.builders.rawserver import RawServer
from tests.standins.calls import serving, set_faults
from turmericreach.httpclient import open_session
from turmericreach.targets import HttpService, ServiceCall
from turmericreach.verdicts import ErrorCode, Verdict
from turmericreach_standins.service import ServiceSettings, create_service


class Writer:
    """Collects a streamed response."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.data = b""

    async def begin(self, status, headers):
        self.status, self.headers = status, headers

    async def write(self, data):
        self.data += data


@contextlib.asynccontextmanager
async def adapter(url):
    async with open_session() as session, open_session(reuse=False) as fresh:
        yield HttpService(url, session, fresh)


def call(path="/echo", method="POST", idempotent=False, not_run=False, timeout_s=5.0, **fields):
    headers = [("Turmericreach-Request-Id", "r1"), *fields.get("headers", [])]
    return ServiceCall(
        method, path, headers, fields.get("body", b"{}"), idempotent, not_run, timeout_s
    )


FAULTS = {
    # fault: (refusals_not_run, verdict, code, executions)
    "fail_before_run": (True, Verdict.NOT_RUN, ErrorCode.OVERLOADED, 0),
    "fail_before_run, no guarantee": (False, Verdict.ANSWERED, "", 0),
    "fail_after_run": (True, Verdict.ANSWERED, "", 1),
    "drop_before_run": (True, Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED, 0),
    "drop_after_run": (True, Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED, 1),
    "truncate": (True, Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED, 1),
}


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("case", FAULTS)
async def test_faults(case, idempotent):
    """Guards against a wrong verdict, a repeated request and an incomplete response."""
    not_run, verdict, code, executions = FAULTS[case]
    stand_in = create_service()
    async with serving(stand_in) as server, adapter(server.url) as service:
        await set_faults(server, **{case.partition(",")[0]: 1})
        outcome, streamed = await service.run(call(idempotent=idempotent, not_run=not_run), None)
        assert (outcome.verdict, outcome.code, streamed) == (verdict, code, False)
        assert (outcome.retry_after_s == 1.0) is (verdict is Verdict.NOT_RUN)
        record = await fetch_record(service)
        assert record == executions
        outcome, _ = await service.run(call(idempotent=idempotent), None)
        assert (outcome.verdict, outcome.status) == (Verdict.ANSWERED, 200)


async def fetch_record(service):
    async with service.session.get(service.url + "/standin/record") as response:
        return (await response.json())["total"]


async def test_refused_connection_is_not_run():
    """Guards against MAY_HAVE_RUN for a request that could not be sent."""
    async with serving(create_service()) as server:
        url = server.url
    async with adapter(url) as service:
        outcome, _ = await service.run(call(), None)
    assert (outcome.verdict, outcome.code) == (Verdict.NOT_RUN, ErrorCode.TARGET_UNREACHABLE)


async def test_timeout_may_have_run():
    """Guards against a slow target that blocks its caller, and against NOT_RUN for its request."""
    async with (
        serving(create_service(ServiceSettings(latency_ms=5000))) as server,
        adapter(server.url) as service,
    ):
        outcome, _ = await service.run(call(timeout_s=0.1), None)
    assert (outcome.verdict, outcome.code) == (Verdict.MAY_HAVE_RUN, ErrorCode.TIMEOUT)


async def test_stream_is_complete():
    """Guards against a streamed response that loses or repeats a chunk."""
    async with serving(create_service()) as server, adapter(server.url) as service:
        await set_faults(server, latency_ms=0)
        writer = Writer()
        outcome, streamed = await service.run(call("/stream?n=500", "GET", body=b""), writer)
    assert (outcome.verdict, streamed, writer.status) == (Verdict.ANSWERED, True, 200)
    assert writer.data == b"".join(b'{"n":%d}\n' % number for number in range(500))


OK = b"HTTP/1.1 200 OK\r\n"
INTERRUPTED_RESPONSES = {
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n7\r\npartial\r\n",
    "inside a chunk": OK + b"Transfer-Encoding: chunked\r\n\r\nff\r\npartial",
    "declared": OK + b"Content-Length: 70000\r\n\r\npartial",
    "without a length": OK + b"Content-Type: text/event-stream\r\n\r\ndata: 1\n\n",
    "whole": OK + b"Content-Length: 70\r\n\r\npartial",
    "status out of range": b"HTTP/1.1 700 S\r\nContent-Length: 0\r\n\r\n",
    "switched protocol": b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "no HTTP": b"\x00\xff\r\n\r\n",
    "nothing": b"",
    "refusal": b"HTTP/1.1 503 S\r\nContent-Length: 70\r\n\r\npartial",
}


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("case", INTERRUPTED_RESPONSES)
async def test_interrupted_or_malformed_response_may_have_run(case, stream):
    """Guards against an incomplete response that is returned as a complete one."""
    async with RawServer(INTERRUPTED_RESPONSES[case]) as server, adapter(server.url) as service:
        outcome, _ = await service.run(call(not_run=True), Writer() if stream else None)
        assert outcome.verdict is Verdict.MAY_HAVE_RUN
        assert server.arrivals == 1


async def test_buffered_response_is_bounded():
    """Guards against a target that fills the memory with an endless response."""
    async with RawServer(OK + b"Transfer-Encoding: chunked\r\n\r\n") as server:
        server.repeated = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        async with adapter(server.url) as service:
            outcome, _ = await service.run(call(), None)
        assert outcome.verdict is Verdict.MAY_HAVE_RUN
        assert server.sent < 64 * 1024 * 1024


async def test_headers_and_path_are_forwarded_unchanged():
    """Guards against forwarded hop-by-hop headers, added headers and rewritten paths."""
    response = (
        OK + b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
        b"X-Text: \xc3\xa4\r\nX-Old: \xe4\r\nContent-Length: 0\r\n\r\n"
    )
    headers = [("X-A", "1"), ("X-A", "2"), ("Connection", "x-b"), ("X-B", "3"), ("X-T", "ä")]
    async with RawServer(response) as server, adapter(server.url) as service:
        path = "/a%2Fb/%C3%A4/../c;d?x=%20+&y=%zz&x"
        outcome, _ = await service.run(call(path, headers=headers), None)
        head = server.received
    assert head.startswith(b"POST " + path.encode() + b" HTTP/1.1\r\n")
    assert b"X-A: 1\r\nX-A: 2\r\n" in head
    assert "X-T: ä".encode() in head
    for name in (b"x-b:", b"accept", b"user-agent", b"content-type", b"cookie"):
        assert name not in head.lower()
    assert [pair for pair in outcome.headers if pair[0] != "Content-Length"] == [
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
        ("X-Text", "ä"),
        ("X-Old", "ä"),
    ]


@pytest.mark.parametrize("idempotent", [True, False])
async def test_cancelled_call_closes_its_connection(idempotent):
    """Guards against a target that keeps running a request after its caller disconnected."""
    async with RawServer() as server, adapter(server.url) as service:
        server.keep_open = True
        running = asyncio.create_task(service.run(call(idempotent=idempotent), Writer()))
        await asyncio.wait_for(server.arrived.wait(), 2)
        running.cancel()
        await asyncio.wait_for(server.connection_lost.wait(), 1)
