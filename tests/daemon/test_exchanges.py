"""Tests that reports to other peers are not delayed by a frozen one."""

import asyncio

import pytest

from turmericreach.daemon.exchanges import Exchanges


@pytest.mark.looptime
async def test_a_frozen_peer_does_not_delay_the_reports_to_others():
    """Guards against members that seem lost because one frozen peer blocks all reports."""
    times = {"frozen": [], "live": []}
    exchanges = Exchanges()

    async def report(peer):
        times[peer].append(asyncio.get_running_loop().time())
        if peer == "frozen":
            await asyncio.sleep(3.5)

    for _ in range(10):
        for peer in times:
            exchanges.begin(peer, report, peer)
        await asyncio.sleep(1.0)
    assert len(times["live"]) == 10
    assert len(times["frozen"]) == 3


@pytest.mark.looptime
async def test_an_exchange_that_fails_can_be_repeated():
    """Guards against a peer that gets no reports after one failed exchange."""
    exchanges = Exchanges()
    calls = []

    async def report(peer):
        calls.append(peer)
        raise KeyError(peer)

    for _ in range(2):
        exchanges.begin("a", report, "a")
        await asyncio.sleep(1.0)
    assert calls == ["a", "a"]
