"""Tests the service stand-in, with which other tests check at-most-once execution."""

import asyncio

import pytest

from tests.standins.calls import call, get_running_count, read_raw, serving, set_faults, wait_until
from turmericreach_standins.service import ServiceSettings, create_service


@pytest.fixture
async def service():
    async with serving(create_service(ServiceSettings(concurrency=1), seed=1)) as server:
        yield server


async def execution_count(service, request_id):
    _, _, record = await call(service, "GET", "/standin/record")
    return record["executions"].get(request_id, 0)


async def run(service, request_id, path="/orders/7", method="PUT"):
    return await read_raw(service, method, path, b"x", {"Turmericreach-Request-Id": request_id})


async def test_responses_echo_the_request_and_executions_are_counted(service):
    """Guards against executions that tests of at-most-once execution could not count."""
    headers = {"Turmericreach-Request-Id": "r1"}
    for execution in (1, 2):
        status, _, body = await call(service, "DELETE", "/any/path", b"x", headers)
        assert (status, body["request_id"], body["path"]) == (200, "r1", "/any/path")
        assert (body["execution"], len(body["digest"])) == (execution, 16)
    assert await execution_count(service, "r1") == 2
    scores = [(await call(service, "POST", "/score", body))[2]["score"] for body in (b"a", b"b")]
    assert 0 <= min(scores) < max(scores) < 1
    assert (await call(service, "GET", "/stream?n=3"))[2] == b'{"n":0}\n{"n":1}\n{"n":2}\n'


@pytest.mark.parametrize(
    ("fault", "response", "executions"),
    [
        ("fail_before_run", b"HTTP/1.1 503", 0),
        ("fail_after_run", b"HTTP/1.1 500", 1),
        ("drop_before_run", b"", 0),
        ("drop_after_run", b"", 1),
    ],
)
async def test_faults_before_and_after_the_run_differ_in_executions(
    service, fault, response, executions
):
    """Guards against a fault that counts an execution that did not take place, or misses one."""
    await set_faults(service, **{fault: 1})
    received = await run(service, "r1")
    assert received.startswith(response) and bool(received) == bool(response)
    assert await execution_count(service, "r1") == executions
    assert (await run(service, "r2")).startswith(b"HTTP/1.1 200")


async def test_truncated_response_is_shorter_than_declared(service):
    """Guards against a truncated response that a client could take as complete."""
    await set_faults(service, truncate=1)
    head, _, body = (await run(service, "r1")).partition(b"\r\n\r\n")
    declared = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    assert 0 < len(body) < declared


async def test_full_service_rejects_and_disconnected_client_does_not_stop_the_run(service):
    """Guards against a rejected request that runs, and a run that ends with its client."""
    await set_faults(service, latency_ms=300, freeze_s=0.01)
    running = asyncio.ensure_future(run(service, "r1"))
    await wait_until(execution_count, service, "r1")
    assert await get_running_count(service) == 1
    refused = await run(service, "r2")
    assert refused.startswith(b"HTTP/1.1 503") and b"retry-after: 1" in refused.lower()
    assert await execution_count(service, "r2") == 0
    running.cancel()
    await asyncio.sleep(0.05)
    assert await get_running_count(service) == 1
