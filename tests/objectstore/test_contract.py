"""Tests of the object API, with the in-memory store and the HTTP client."""

import asyncio

import pytest

from tests.builders.objectstore import MemoryObjectStore, ObjectServer
from turmericreach.objectstore import (
    MAX_VALUE_BYTES,
    CallBudget,
    Conflict,
    EventType,
    HostRecord,
    HostState,
    HttpObjectStore,
    RateLimited,
    ResultUnknown,
    Unavailable,
    ValueTooLarge,
    WatchExpired,
)

NAMES = ["plain", "a/b", "svc:key %2F", "..", "ä?#&=+"]


@pytest.fixture(params=["memory", "http"])
async def pair(request):
    """The store under test and the memory behind it."""
    memory = MemoryObjectStore(kept_events=10)
    if request.param == "memory":
        yield memory, memory
        return
    async with ObjectServer(memory) as server:
        client = HttpObjectStore(server.url, "secret", 1.0)
        yield client, memory
        await client.close()


@pytest.mark.parametrize("name", NAMES)
async def test_put_get_list_delete(pair, name):
    """Guards against a name or value that changes in transit."""
    store, _ = pair
    value = bytes(range(256))
    assert await store.get("k", name) is None
    stored = await store.put("k", name, value)
    read = await store.get("k", name)
    assert (read.name, read.value, read.version) == (name, value, stored.version)
    (item,) = (await store.list("k")).items
    assert (item.name, item.value, item.version) == (name, value, stored.version)
    assert (await store.list("other")).items == []
    assert await store.delete("k", name) is True
    assert await store.delete("k", name) is False


async def test_conditions(pair):
    """Guards against a conditional call that ignores its condition."""
    store, _ = pair
    with pytest.raises(Conflict):
        await store.put("k", "n", b"0", if_version=1)
    first = await store.put("k", "n", b"1", if_absent=True)
    with pytest.raises(Conflict):
        await store.put("k", "n", b"2", if_absent=True)
    second = await store.put("k", "n", b"2", if_version=first.version)
    assert second.version > first.version
    with pytest.raises(Conflict):
        await store.put("k", "n", b"3", if_version=first.version)
    with pytest.raises(Conflict):
        await store.delete("k", "n", if_version=first.version)
    assert (await store.get("k", "n")).value == b"2"


async def test_value_limit(pair):
    """Guards against a value that the platform would reject."""
    store, _ = pair
    await store.put("k", "n", b"x" * MAX_VALUE_BYTES)
    with pytest.raises(ValueTooLarge):
        await store.put("k", "n", b"x" * (MAX_VALUE_BYTES + 1))


async def test_watch(pair):
    """Guards against a change that a watch misses, repeats or does not wait for."""
    store, _ = pair
    await store.put("k", "a", b"1")
    since = (await store.list("k")).revision
    assert (await store.watch("k", since, 0.05)).events == []
    waiting = asyncio.create_task(store.watch("k", since, 5))
    await asyncio.sleep(0.05)
    await store.put("other", "a", b"1")
    await store.put("k", "a", b"2")
    result = await waiting
    assert [(e.type, e.name, e.value) for e in result.events] == [(EventType.PUT, "a", b"2")]
    await store.delete("k", "a")
    (event,) = (await store.watch("k", result.revision, 5)).events
    assert (event.type, event.value) == (EventType.DELETE, b"")
    for _ in range(20):
        await store.put("k", "a", b"1")
    with pytest.raises(WatchExpired):
        await store.watch("k", since, 5)


async def test_hosts(pair):
    """Guards against a host record that loses a field."""
    store, memory = pair
    memory.host_records.append(HostRecord("h", "10.0.0.1", "tampere", HostState.LEAVING))
    assert await store.hosts() == memory.host_records


async def test_faults_without_effect(pair):
    """Guards against an outage reported as unknown, or a rejection without its retry time."""
    store, memory = pair
    memory.faults.down = True
    arguments = {"get": ("k", "n"), "put": ("k", "n", b""), "list": ("k",), "hosts": ()}
    for method, values in arguments.items():
        with pytest.raises(Unavailable):
            await getattr(store, method)(*values)
    memory.faults.down = False
    memory.faults.rate_limited = True
    with pytest.raises(RateLimited) as caught:
        await store.put("k", "n", b"")
    assert caught.value.retry_after_s == 0.5


@pytest.mark.parametrize(("fault", "effect"), [("lose_answers", True), ("lose_requests", False)])
async def test_lost_writes_are_unknown(pair, fault, effect):
    """Guards against a definite result for a lost response."""
    store, memory = pair
    setattr(memory.faults, fault, 1)
    with pytest.raises(ResultUnknown):
        await store.put("k", "n", b"1")
    assert (await store.get("k", "n") is not None) is effect


async def test_hang_ends_at_the_time_out_and_sends_once():
    """Guards against a client that hangs, repeats a write, or reuses a broken connection."""
    memory = MemoryObjectStore()
    async with ObjectServer(memory) as server:
        client = HttpObjectStore(server.url, "", 0.2)
        assert await client.get("k", "n") is None
        memory.faults.hang = True
        with pytest.raises(ResultUnknown):
            await client.put("k", "n", b"1")
        with pytest.raises(Unavailable):
            await client.get("k", "n")
        assert server.arrivals == 3
        memory.faults.hang = False
        assert await client.get("k", "n") is None
        await client.close()


@pytest.mark.parametrize("idle_timeout_s", [0.1, 300.0])
async def test_idle_connection_is_not_reused(monkeypatch, idle_timeout_s):
    """Guards against a write on a connection that the server closed while it was idle."""
    monkeypatch.setattr("turmericreach.httpclient.session.IDLE_TIMEOUT_S", idle_timeout_s)
    async with ObjectServer(MemoryObjectStore()) as server:
        server.server.config.timeout_keep_alive = 0.3
        client = HttpObjectStore(server.url, "", 1.0)
        await client.put("k", "n", b"1")
        await asyncio.sleep(0.6)
        await client.put("k", "n", b"2")
        await client.close()


async def test_refused_connection_has_no_effect():
    """Guards against an unknown result when the platform is down and nothing was sent."""
    async with ObjectServer(MemoryObjectStore()) as server:
        url = server.url
    client = HttpObjectStore(url, "", 0.5)
    with pytest.raises(Unavailable):
        await client.put("k", "n", b"1")
    await client.close()


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200", b"\x00\xff", b"HTTP/1.1 200 OK\r\n\r\n"])
async def test_broken_answers(answer):
    """Guards against other exceptions for a malformed or incomplete response."""

    async def serve(reader, writer):
        await reader.read(1000)
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = HttpObjectStore(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}", "", 0.5)
    with pytest.raises(ResultUnknown):
        await client.put("k", "n", b"1")
    with pytest.raises(Unavailable):
        await client.get("k", "n")
    await client.close()
    server.close()


@pytest.mark.looptime
async def test_budget_bounds_the_rate():
    """Guards against a burst over the limit after idle time, and against a long queue."""
    budget = CallBudget(calls_per_s=10, burst=3, max_wait_s=0.5)
    await asyncio.sleep(10)
    loop = asyncio.get_running_loop()
    start = loop.time()
    results = await asyncio.gather(*(budget.acquire() for _ in range(20)), return_exceptions=True)
    assert sum(isinstance(result, RateLimited) for result in results) == 12
    assert loop.time() - start == pytest.approx(0.5)
