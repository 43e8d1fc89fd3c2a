"""Requests that a gateway forwards to targets."""

import asyncio

import pytest

from tests.builders.fleet_world import HOST, configuration, eventually, route


@pytest.fixture
async def gateway(world):
    return await world.add_gateway("g1")


def runs(world, attempt):
    """Return the ids of the targets that ran an attempt, once for each run."""
    return [
        target.id for target in world.targets.values() for run in target.runs if run[0] == attempt
    ]


async def test_response_of_a_target_reaches_the_caller_unchanged(world, gateway):
    """Guards against a stamp or body that is lost in forwarding."""
    status, headers, body = await world.call(gateway, "POST", "/lookup/1?q=2", b"ask", "a1")
    [target] = runs(world, "a1")
    assert (status, body) == (200, f"{target} answers a1".encode())
    assert headers.get("x-server-stamp") == "stamp-a1"
    request = world.targets[target].arrivals[0]
    assert (request.method, request.target, request.body) == ("POST", "/lookup/1?q=2", b"ask")
    assert request.headers.get("host") == HOST


async def test_target_gets_the_remaining_time(world, gateway):
    """Guards against targets that keep working after the caller's deadline."""
    await world.call(gateway, "POST", "/lookup/1", attempt="a1", X_Deadline_Ms="800")
    [target] = runs(world, "a1")
    assert 0 < world.targets[target].arrivals[0].headers.number("x-deadline-ms") <= 800


async def test_safe_request_is_retried_when_its_response_is_lost(world, gateway):
    """Guards against an error for a request that may be run again."""
    for name in ("p1", "p2"):
        world.targets[name].faults.lose_answers = 1
    status, _, _ = await world.call(gateway, "POST", "/lookup/1", attempt="a1")
    assert status == 502
    world.targets["p1"].faults.lose_answers = 1
    status, _, _ = await world.call(gateway, "POST", "/lookup/1", attempt="a2")
    assert status == 200
    assert len(runs(world, "a2")) <= 2


async def test_safe_request_is_hedged_when_the_first_target_does_not_respond(world, gateway):
    """Guards against waiting for an unresponsive target."""
    world.targets["p1"].faults.silent = True
    for number in range(3):
        attempt = f"a{number}"
        status, _, _ = await world.call(
            gateway, "POST", "/lookup/1", attempt=attempt, X_Deadline_Ms="1500"
        )
        assert status == 200


async def test_unsafe_request_runs_once_when_its_response_is_lost(world, gateway):
    """Guards against a purchase order that is executed twice."""
    for name in ("p1", "p2"):
        world.targets[name].faults.lose_answers = 1
    status, _, _ = await world.call(gateway, "POST", "/order/1", b"buy", "a1")
    assert status == 502
    assert len(runs(world, "a1")) == 1


async def test_unsafe_request_is_retried_after_a_rejection_that_says_not_run(world, gateway):
    """Guards against an error for an order that no target has run."""
    world.targets["p1"].faults.shed = 1
    world.targets["p2"].faults.shed = 1
    status, _, _ = await world.call(gateway, "POST", "/order/1", b"buy", "a1")
    assert status == 200
    assert len(runs(world, "a1")) == 1


async def test_request_that_all_targets_reject_is_reported_as_not_run(world, gateway):
    """Guards against a response that leaves open whether the request ran, or one after a wait."""
    for name in ("p1", "p2"):
        world.targets[name].faults.shed = 1000
    status, headers, _ = await world.call(
        gateway, "POST", "/order/1", b"buy", "a1", X_Deadline_Ms="400"
    )
    assert status == 503
    assert float(headers.get("retry-after")) > 0
    assert runs(world, "a1") == []


async def test_running_unsafe_request_is_not_reported_as_not_run_at_its_deadline(world, gateway):
    """Guards against 503 for an order that a target is still executing."""
    for name in ("p1", "p2"):
        world.targets[name].work_s = 5.0
    status, _, _ = await world.call(gateway, "POST", "/order/1", b"buy", "a1", X_Deadline_Ms="200")
    assert status == 504
    assert len(runs(world, "a1")) == 1


async def test_target_stops_when_the_caller_disconnects(world, gateway):
    """Guards against work for callers that have disconnected."""
    for name in ("p1", "p2"):
        world.targets[name].work_s = 5.0
    connection = await world.pool.acquire(gateway.settings.caller_address)
    task = asyncio.create_task(
        connection.request("POST", "/lookup/1", [("Host", HOST), ("X-Attempt-Id", "a1")], b"")
    )
    await eventually(lambda: runs(world, "a1"))
    task.cancel()
    connection.close()
    await eventually(lambda: sum(target.active for target in world.targets.values()) == 0, 1.0)


async def test_request_ends_at_the_timeout_of_its_route(world, gateway):
    """Guards against requests that take longer than the operator allows."""
    routes = [route("lookup", "/lookup/", "safe", "portal", timeoutMs=150)]
    world.store.put("config", "main", configuration(2, routes))
    await eventually(lambda: gateway.configuration.version() == 2)
    for name in ("p1", "p2"):
        world.targets[name].work_s = 5.0
    began = asyncio.get_running_loop().time()
    status, _, _ = await world.call(gateway, "POST", "/lookup/1", X_Deadline_Ms="5000")
    assert status == 504
    assert asyncio.get_running_loop().time() - began < 0.5


@pytest.mark.parametrize("fault", ["truncate", "extra_answer"])
async def test_corrupt_responses_never_reach_a_caller(world, gateway, fault):
    """Guards against success with a truncated body or with the response to another request."""
    setattr(world.targets["p1"].faults, fault, True)
    for number in range(8):
        attempt = f"a{number}"
        status, _, body = await world.call(gateway, "POST", "/lookup/1", attempt=attempt)
        assert status in (200, 502)
        if status == 200:
            assert body.endswith(f"answers {attempt}".encode())


async def test_response_without_a_length_is_forwarded_completely(world, gateway):
    """Guards against the loss of responses whose end is the close of the connection."""
    for name in ("p1", "p2"):
        world.targets[name].faults.unframed = True
    status, _, body = await world.call(gateway, "POST", "/lookup/1", attempt="a1")
    assert status == 200
    assert body.endswith(b"answers a1")


async def test_error_of_a_target_is_forwarded_when_no_attempt_remains(world, gateway):
    """Guards against replacing the response of a target by one of the gateway."""
    for name in ("p1", "p2"):
        world.targets[name].faults.status = 500
    status, headers, _ = await world.call(gateway, "POST", "/lookup/1", attempt="a1")
    assert status == 500
    assert headers.get("x-server-stamp") == "stamp-a1"
    assert len(runs(world, "a1")) == 2


async def test_unknown_routes_get_404_and_the_longest_prefix_wins(world, gateway):
    """Guards against requests on the wrong route."""
    routes = [
        route("all", "/", "safe", "engines"),
        route("lookup", "/lookup/", "safe", "portal"),
    ]
    world.store.put("config", "main", configuration(2, routes))
    await eventually(lambda: gateway.configuration.version() == 2)
    await world.call(gateway, "POST", "/lookup/1", attempt="a1")
    assert set(runs(world, "a1")) <= {"p1", "p2"}
    address = gateway.settings.caller_address
    head, _ = await world.pool.fetch(address, "GET", "/lookup/1", [("Host", "other.example")])
    assert head.status == 404


async def test_unknown_route_gets_no_404_while_the_store_is_unavailable(world, gateway):
    """Guards against 404 for a route that the operator may just have added."""
    world.store.faults.refuse = True
    await eventually(lambda: not gateway.client.available.is_set())
    status, headers, _ = await world.call(gateway, "GET", "/nowhere/1")
    assert status == 503
    assert headers.get("retry-after")


async def test_older_configuration_is_never_applied(world, gateway):
    """Guards against a return to older routes."""
    world.store.put("config", "main", configuration(5))
    await eventually(lambda: gateway.configuration.version() == 5)
    world.store.put("config", "main", configuration(4, []))
    await asyncio.sleep(0.2)
    assert gateway.configuration.version() == 5


async def test_invalid_configuration_leaves_the_previous_one_in_force(world, gateway):
    """Guards against an invalid document that makes the service fail."""
    world.store.put("config", "main", {"version": 7, "routes": "none"})
    await asyncio.sleep(0.2)
    status, _, _ = await world.call(gateway, "POST", "/lookup/1")
    assert (gateway.configuration.version(), status) == (1, 200)


async def test_draining_target_gets_no_new_requests(world, gateway):
    """Guards against requests to a target that is about to stop."""
    target = world.targets["p1"]
    world.store.put("servers", "p1", target.entry("draining"))
    await eventually(lambda: gateway.directory.targets["p1"].record.draining)
    for number in range(6):
        await world.call(gateway, "POST", "/lookup/1", attempt=f"a{number}")
    assert target.runs == []


async def test_invalid_entries_add_no_targets(world, gateway):
    """Guards against an invalid entry that breaks the target directory."""
    for number, spec in enumerate([{}, {"service": 1}, {"state": "odd"}, "text", None]):
        world.store.put("servers", f"odd{number}", spec)
    entry = {**world.targets["p1"].entry(), "slots": "many"}
    world.store.put("servers", "odd9", entry)
    world.store.put("servers", "marker", world.targets["p1"].entry("draining"))
    await eventually(lambda: "marker" in gateway.directory.targets)
    assert not any(name.startswith("odd") for name in gateway.directory.targets)


async def test_target_at_a_reused_address_does_not_run_the_request(world, gateway):
    """Guards against a request that is run by another target at a reused address."""
    world.targets["p1"].id = "another"
    world.targets["p2"].id = "another"
    status, _, _ = await world.call(gateway, "POST", "/order/1", attempt="a1", X_Deadline_Ms="300")
    assert status == 503
    assert runs(world, "a1") == []


async def test_stream_is_resumed_at_another_target(world, gateway):
    """Guards against missing or repeated events after an interrupted stream is resumed."""
    for name in ("e1", "e2"):
        world.targets[name].events = 6
        world.targets[name].faults.interrupt_after_events = 2
    headers = {"X_Model": "m0"}
    world.targets["e2"].faults.interrupt_after_events = None
    world.targets["e1"].slots = 8
    status, _, body = await world.call(gateway, "POST", "/chat/1", b"p", "a1", **headers)
    assert status == 200
    ids = [line for line in body.decode().splitlines() if line.startswith("id:")]
    assert ids == [f"id: {number}" for number in range(1, 7)]


async def test_stream_that_cannot_be_resumed_does_not_look_complete(world, gateway):
    """Guards against an interrupted stream that ends like a complete one."""
    routes = [route("chat", "/chat/", "streaming", "engines", sticky=True)]
    world.store.put("config", "main", configuration(2, routes))
    await eventually(lambda: gateway.configuration.version() == 2)
    for name in ("e1", "e2"):
        world.targets[name].faults.interrupt_after_events = 2
    with pytest.raises(Exception, match="connection lost"):
        await world.call(gateway, "POST", "/chat/1", b"p", "a1", X_Model="m0")


async def test_target_is_kept_for_a_while_if_its_entry_expired_during_an_outage(world, gateway):
    """Guards against a service without targets after an outage of the store."""
    world.store.faults.refuse = True
    await eventually(lambda: not gateway.client.available.is_set())
    for name in ("p1", "p2"):
        world.store.objects.pop(("servers", name))
    world.store.compact()
    world.store.faults.refuse = False
    await eventually(gateway.client.available.is_set)
    await asyncio.sleep(0.5)
    status, _, _ = await world.call(gateway, "POST", "/lookup/1", attempt="a1")
    assert status == 200
    await eventually(lambda: "p1" not in gateway.directory.targets, 4.0)


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize(("path", "expected"), [("/order/1", 502), ("/lookup/1", None)])
async def test_rejection_that_a_target_does_not_state_is_no_promise(
    world, gateway, status, path, expected
):
    """Guards against "not run" for a request that a target has run before it failed."""
    for name in ("p1", "p2"):
        world.targets[name].faults.status = status
    got, _, _ = await world.call(gateway, "POST", path, b"x")
    assert got == (expected or status)
    assert world.targets["p1"].runs or world.targets["p2"].runs
