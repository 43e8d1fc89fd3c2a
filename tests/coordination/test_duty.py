"""Acquisition of the duty of the coordinator by one process after another."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.builders.metadata_store import client, store
from turmericreach.coordination.duty import LEASE_MARGIN_S, CoordinatorDuty
from turmericreach.coordination.names import DUTY_NAME, OWN_KIND

__all__ = ["client", "store"]

LEASE_S = 3.0


def make_peers(last_order_at):
    """Return a table of peers in which the former holder sent its last order at a given time."""
    return SimpleNamespace(
        coordinator=None,
        last_order_at=float("-inf"),
        last_possible_order_at=lambda host, now: last_order_at,
    )


async def make_duty(client, store, peers):
    """Return the duty of a process that knows another holder."""
    store.put(OWN_KIND, DUTY_NAME, {"holder": "g0", "incarnation": "i0"})
    duty = CoordinatorDuty("g1", "i1", LEASE_S, client, peers)
    duty.object_changed(await client.get(OWN_KIND, DUTY_NAME))
    return duty


async def test_lease_of_the_predecessor_is_kept_after_a_lost_response(client, store):
    """Guards against orders at once by a process that finds itself as the holder.

    Found by reading in the second review: the acquisition took effect without a response.
    """
    ordered_at = asyncio.get_running_loop().time()
    duty = await make_duty(client, store, make_peers(ordered_at))
    store.faults.lose_write_responses = 1
    await duty.acquire("the holder is lost")
    assert duty.token is None
    duty.object_changed(await client.get(OWN_KIND, DUTY_NAME))
    assert duty.holder() == "g1"
    await duty.acquire("this process was restarted")
    assert duty.token is not None
    assert duty.first_order_at >= ordered_at + LEASE_S + LEASE_MARGIN_S
    assert await duty.verified_token() is None


@pytest.mark.parametrize("lost", [0, 1])
async def test_process_that_makes_way_reports_the_orders_of_its_predecessor(client, store, lost):
    """Guards against orders at once by the successor of a process that has sent none.

    Found in the second review: gateways were stopped one after another within a lease.
    """
    ordered_at = asyncio.get_running_loop().time()
    peers = make_peers(ordered_at)
    duty = await make_duty(client, store, peers)
    store.faults.lose_write_responses = lost
    await duty.acquire("the holder is lost")
    duty.release("stopping")
    assert peers.last_order_at == ordered_at


async def test_process_that_loses_the_duty_and_regains_it_waits_no_second_time(client, store):
    """Guards against a pause of all orders each time that a target has seen another token."""
    ordered_at = asyncio.get_running_loop().time() - 60.0
    duty = await make_duty(client, store, make_peers(ordered_at))
    await duty.acquire("the holder is lost")
    duty.release("a target has seen a higher fencing token")
    await duty.acquire("this process was restarted")
    assert await duty.verified_token() == duty.token
