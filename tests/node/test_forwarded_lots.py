"""Lots and ends of lots that are forwarded to another gateway whose response is lost."""

import asyncio

import pytest

from tests.builders.fleet_world import GatewayProcess, eventually, item, submission
from tests.builders.loopback import free_port
from tests.builders.scripted_peer import ABORT, SILENCE, ScriptedPeer, closed_peer
from turmericreach.batches import calls
from turmericreach.coordination.names import LOTS_KIND
from turmericreach.node import lot_forwarding

# Short, but long enough for a gateway process to store a lot beside other load.
FORWARD_TIMEOUT_S = 0.5
# How another gateway can end a forwarded request, and whether it has certainly not run then.
BEHAVIOURS = [
    (ABORT, False),
    (SILENCE, False),
    (500, False),
    (502, False),
    (504, False),
    (600, False),
    (302, False),
    (503, True),
    (429, True),
    (408, True),
    (421, True),
    (413, True),
]


@pytest.fixture
async def gateway(world, monkeypatch):
    """Run a gateway with short timeouts."""
    monkeypatch.setattr(lot_forwarding, "FORWARD_TIMEOUT_S", FORWARD_TIMEOUT_S)
    monkeypatch.setattr(calls, "SUBMIT_TIMEOUT_S", 0.2)
    monkeypatch.setattr(calls, "END_TIMEOUT_S", 0.2)
    return await world.add_gateway("g1")


async def turn_away(gateway):
    """Let the store be unreachable for one gateway, and end its watches."""
    gateway.client.configure(f"127.0.0.1:{free_port()}", 4000.0, 4000.0)
    for connection in list(gateway.client.watches):
        connection.close()
    await eventually(lambda: not gateway.client.responded_recently())


async def test_lot_that_a_killed_gateway_has_stored_is_not_reported_as_not_run(
    world, gateway, tmp_path
):
    """Guards against 503 for a lot that was forwarded, stored, and runs after a restart.

    Found by review/9: the gateway that stored the lot was killed before its response.
    """
    other = GatewayProcess(world, "g2", tmp_path)
    await other.start()
    await eventually(lambda: gateway.peers.is_alive("g2", asyncio.get_running_loop().time()))
    await turn_away(gateway)
    world.store.faults.silent_kind = LOTS_KIND
    document = submission([item("i1")])
    submitted = asyncio.create_task(world.submit(gateway, "lot1", document))
    await eventually(lambda: world.store.names(LOTS_KIND) == ["lot1"])
    await other.end()
    assert await submitted == 504
    # Nobody can be asked, and the lot is stored.
    assert await world.submit(gateway, "lot1", document) == 504
    world.store.faults.silent_kind = ""
    gateway.client.configure(world.store.address, 4000.0, 4000.0)
    await eventually(gateway.client.responded_recently)
    # The next attempt finds the lot.
    assert await world.submit(gateway, "lot1", document) == 202


@pytest.mark.parametrize(("behaviour", "not_run"), BEHAVIOURS)
async def test_forwarded_lot_is_rejected_as_not_run_only_if_that_is_certain(
    world, gateway, behaviour, not_run
):
    """Guards against 503 for a lot that another gateway may have stored."""
    await turn_away(gateway)
    peer = await ScriptedPeer("g2", behaviour).start(gateway)
    status = await world.submit(gateway, "lot1", submission([item("i1")]))
    await peer.stop()
    assert peer.requests == ["POST /rollout/lot1"]
    assert status == (503 if not_run else 504)


@pytest.mark.parametrize("second", [400, 404, 429, 503])
async def test_rejection_of_a_second_gateway_does_not_make_the_first_one_certain(
    world, gateway, second
):
    """Guards against the rejection of a gateway that does not know of an earlier attempt."""
    await turn_away(gateway)
    peers = [
        await ScriptedPeer("g2", ABORT).start(gateway),
        await ScriptedPeer("g3", second).start(gateway),
    ]
    status = await world.submit(gateway, "lot1", submission([item("i1")]))
    for peer in peers:
        await peer.stop()
    assert status == 504


async def test_second_gateway_accepts_what_the_first_one_may_have_stored(world, gateway):
    """Guards against an unknown outcome where another gateway knows it."""
    await turn_away(gateway)
    peers = [
        await ScriptedPeer("g2", ABORT).start(gateway),
        await ScriptedPeer("g3", 202).start(gateway),
    ]
    status = await world.submit(gateway, "lot1", submission([item("i1")]))
    for peer in peers:
        await peer.stop()
    assert status == 202


async def test_lot_is_rejected_at_once_if_no_other_gateway_listens(world, gateway):
    """Guards against an unknown outcome of a lot that was never sent."""
    await turn_away(gateway)
    closed_peer(gateway, "g2", free_port())
    assert await world.submit(gateway, "lot1", submission([item("i1")])) == 503


async def test_silent_gateways_are_waited_for_within_a_total_time(world, gateway, monkeypatch):
    """Guards against a caller that waits for each of many gateways in turn."""
    monkeypatch.setattr(lot_forwarding, "FORWARD_TOTAL_S", 2.4 * FORWARD_TIMEOUT_S)
    await turn_away(gateway)
    peers = [await ScriptedPeer(f"p{n}", SILENCE).start(gateway) for n in range(12)]
    status = await world.submit(gateway, "lot1", submission([item("i1")]))
    for peer in peers:
        await peer.stop()
    assert status == 504
    assert sum(len(peer.requests) for peer in peers) == 3


@pytest.mark.parametrize(("behaviour", "not_run"), BEHAVIOURS)
async def test_forwarded_end_of_a_lot_is_never_reported_as_not_run(
    world, gateway, behaviour, not_run
):
    """Guards against 503 for the end of a lot that another gateway may have ended."""
    await world.submit(gateway, "lot1", submission([item("i1")]))
    await turn_away(gateway)
    peer = await ScriptedPeer("g2", behaviour).start(gateway)
    status, _, _ = await world.call(gateway, "DELETE", "/api/lots/lot1")
    await peer.stop()
    assert status == 504
