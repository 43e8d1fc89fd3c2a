"""Late extra responses of targets: each belongs to one request of its connection alone."""

import asyncio

import pytest

from tests.builders.fleet_world import item, submission
from tests.builders.rawserver import RawServer
from turmericreach.http1 import ConnectionPool

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"


@pytest.fixture
async def pool():
    made = ConnectionPool(1.0)
    yield made
    made.close()


async def test_order_runs_once_if_a_late_copy_of_its_rejection_arrives(world):
    """Guards against an order that runs at two targets.

    A copy of the rejection of the first attempt arrives before the response to the second one, on
    the same connection and with the same id, and says that the order has not run.
    """
    await world.targets["p2"].stop()
    target = world.targets["p1"]
    target.faults.late_extra = True
    gateway = await world.add_gateway("g1")
    await world.call(gateway, "POST", "/order/0", attempt="first")
    for number in range(5):
        target.faults.shed = 1
        attempt = f"a{number}"
        status, _, body = await world.call(gateway, "POST", "/order/1", attempt=attempt)
        assert status == 200
        assert body == f"p1 answers {attempt}".encode()
        assert [run[0] for run in target.runs].count(attempt) == 1


async def test_item_runs_once_if_a_late_copy_of_its_rejection_arrives(world):
    """Guards against an item whose run is taken for rejected while its engine works on it."""
    engine = world.targets["e1"]
    world.store.put("servers", "e2", world.targets["e2"].entry("draining"))
    engine.faults.late_extra = True
    engine.faults.shed = 1
    engine.event_s = 0.02
    gateway = await world.add_gateway("g1")
    await world.submit(gateway, "lot1", submission([item("i1")]))
    await world.read_all(gateway, "lot1", 1)
    runs = [run[0] for run in engine.runs if run[0].startswith("i")]
    assert runs == ["i1"]


@pytest.mark.parametrize("value", ["a1", ""])
async def test_connection_carries_no_two_requests_with_the_same_id(pool, value):
    """Guards against a late copy of a response that nothing tells from the expected one."""
    answer = OK + (b"X-Id: a1\r\n" if value else b"") + b"\r\nok"
    async with RawServer(answer) as server:
        server.keep_open = True
        address = server.url.removeprefix("http://")
        await pool.fetch(address, "GET", "/", [("Host", "h")], echo=("X-Id", value))
        (connection,) = pool.idle[address]
        assert pool.acquire_idle(address, ("X-Id", value)) is None
        assert pool.idle[address] == [connection]
        assert pool.acquire_idle(address, ("X-Id", "other")) is connection
        connection.close()


async def test_response_without_an_id_is_not_that_of_a_request_with_one(pool):
    """Guards against taking the late response to an order or a report for that to a request."""
    late = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    async with RawServer(late + OK + b"X-Id: a1\r\n\r\nok") as server:
        server.empty_responses_first = 1
        server.keep_open = True
        address = server.url.removeprefix("http://")
        await pool.fetch(address, "GET", "/report", [("Host", "h")], echo=("X-Id", ""))
        async with asyncio.timeout(2):
            head, body = await pool.fetch(address, "GET", "/", [("Host", "h")], echo=("X-Id", "a1"))
        assert (head.status, body, pool.opened) == (200, b"ok", 1)


async def test_response_that_repeats_an_id_and_another_one_is_skipped(pool):
    """Guards against trusting a spoiled response that names two requests."""
    odd = b"HTTP/1.1 503 Full\r\nX-Id: a1\r\nX-Id: a2\r\nContent-Length: 0\r\n\r\n"
    async with RawServer(odd + OK + b"X-Id: a1\r\n\r\nok") as server:
        address = server.url.removeprefix("http://")
        head, _ = await pool.fetch(address, "GET", "/", [("Host", "h")], echo=("X-Id", "a1"))
        assert head.status == 200


async def test_ids_that_a_connection_keeps_are_bounded(pool):
    """Guards against a connection whose memory grows with each request."""
    async with RawServer(OK + b"\r\nok") as server:
        server.empty_responses_first = 300
        address = server.url.removeprefix("http://")
        for number in range(300):
            await pool.fetch(address, "GET", "/", [("Host", "h")], echo=("X-Id", f"a{number}"))
        (connection,) = pool.idle[address]
        assert len(connection.carried) <= 128
