"""The order token is sent to the targets that check it and to no others."""

import asyncio
from types import SimpleNamespace

import pytest

from turmericreach.daemon.convergence import ConvergenceLoop
from turmericreach.targets import EngineVersion
from turmericreach.telemetry import Metrics
from turmericreach.weights import ACTIVATE, FencingTokens, WantedTable, WantedVersion

pytestmark = pytest.mark.looptime


class Engine:
    """An engine that carries out every order at once."""

    def __init__(self):
        self.orders = []

    async def order(self, order):
        self.orders.append(order)

    async def version(self):
        newest = max((order.version for order in self.orders), default=1)
        return EngineVersion(newest, [newest])


@pytest.mark.parametrize(("checks", "token"), [(True, "secret"), (False, "")])
async def test_order_token(checks, token):
    """Guards against a token that a target does not check but gets, or checks but does not get."""
    engine = Engine()
    target = SimpleNamespace(
        spec=SimpleNamespace(name="t1", checks_orders=checks),
        service=SimpleNamespace(model="m"),
        engine=engine,
        version=0,
        prepared=0,
        reachable=True,
    )
    wanted = WantedTable()
    wanted.merge([WantedVersion("m", 2, ACTIVATE)])
    sink = Metrics("", "a1")
    loop = ConvergenceLoop(target, wanted, FencingTokens(1), "secret", lambda: None, sink)
    task = asyncio.ensure_future(loop.run())
    await asyncio.sleep(30)
    task.cancel()
    assert target.version == 2
    assert {order.token for order in engine.orders} == {token}
