"""Tests the object API stand-in, which the tests of the object store client rely on."""

import asyncio
import base64

import pytest

from tests.standins.calls import call, read_raw, send, serving, set_faults
from turmericreach_standins.objects import ObjectsSettings, create_objects


@pytest.fixture
async def objects():
    async with serving(create_objects(ObjectsSettings(host_lag_s=0.1, history=3))) as server:
        yield server


async def test_conditional_updates(objects):
    """Guards against writes that ignore their condition or the limit on values."""
    path = "/objects/claims/shop%3Aorder%2F7%2525"
    status, headers, _ = await call(objects, "PUT", path, b"a", {"If-None-Match": "*"})
    assert (status, headers["etag"]) == (201, '"1"')
    assert (await call(objects, "PUT", path, b"b", {"If-None-Match": "*"}))[0] == 412
    assert (await call(objects, "PUT", path, b"b", {"If-Match": '"9"'}))[0] == 412
    assert (await call(objects, "PUT", path, b"b", {"If-Match": '"1"'}))[0] == 200
    status, headers, body = await call(objects, "GET", path)
    assert (status, headers["etag"], headers["turmericreach-revision"]) == (200, '"2"', "2")
    assert body == b"b"
    _, _, listed = await call(objects, "GET", "/objects/claims")
    assert listed["items"][0]["name"] == "shop:order/7%25"
    assert (await call(objects, "DELETE", path))[0] == 200
    assert (await call(objects, "GET", path))[0] == 404
    assert (await call(objects, "PUT", path, bytes(1024 * 1024 + 1)))[0] == 413


async def test_watch_waits_and_reports_lost_history(objects):
    """Guards against a watch that misses changes without a response of 410."""
    waiting = asyncio.ensure_future(call(objects, "GET", "/watch/lots?since=0&timeout_s=5"))
    await asyncio.sleep(0.05)
    assert (await call(objects, "GET", "/standin/calls"))[2]["waiting_watches"] == 1
    await call(objects, "PUT", "/objects/lots/a", b"1")
    _, _, body = await waiting
    event = body["events"][0]
    assert (body["revision"], event["type"], event["name"]) == (1, "put", "a")
    assert base64.b64decode(event["value"]) == b"1"
    await call(objects, "DELETE", "/objects/lots/a")
    _, _, body = await call(objects, "GET", "/watch/lots?since=1&timeout_s=5")
    assert [(event["type"], event["value"]) for event in body["events"]] == [("delete", None)]
    await set_faults(objects, watch_gap=True)
    assert (await call(objects, "GET", "/watch/lots?since=1"))[0] == 410
    _, _, body = await call(objects, "GET", "/watch/lots?since=2&timeout_s=0.01")
    assert body == {"revision": 2, "events": []}


async def test_host_list_lags(objects):
    """Guards against a list of hosts without the lag of the real one."""
    host = {"address": "10.0.0.1", "data_centre": "turku", "state": "leaving"}
    await call(objects, "PUT", "/hosts/h1", host)
    assert (await call(objects, "GET", "/hosts"))[2] == {"hosts": []}
    await asyncio.sleep(0.12)
    assert (await call(objects, "GET", "/hosts"))[2] == {"hosts": [{"name": "h1", **host}]}


async def test_faults(objects):
    """Guards against faults that are accepted but have no effect."""
    await set_faults(objects, lost_answers=1)
    assert await read_raw(objects, "PUT", "/objects/lots/a", b"1") == b""
    assert (await call(objects, "GET", "/objects/lots/a"))[2] == b"1"
    await set_faults(objects, down=True)
    assert (await call(objects, "GET", "/objects/lots/a"))[0] == 503
    await set_faults(objects, down=None, hang=True)
    reader, writer = await send(objects, "GET", "/objects/lots/a")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(1), 0.1)
    await set_faults(objects, hang=None, slow_ms=1)
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
    assert (await call(objects, "POST", "/standin/faults", {"nonsense": 1}))[0] == 400


async def test_rate_limit_rejects_before_the_write():
    """Guards against a rejected write that has taken effect."""
    async with serving(create_objects(ObjectsSettings(writes_per_s=1))) as objects:
        assert (await call(objects, "PUT", "/objects/lots/a", b"1"))[0] == 201
        status, headers, _ = await call(objects, "PUT", "/objects/lots/a", b"2")
        assert (status, headers["retry-after"]) == (429, "1")
        assert (await call(objects, "GET", "/objects/lots/a"))[2] == b"1"
