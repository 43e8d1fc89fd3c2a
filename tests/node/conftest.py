"""A world with two targets and gateways in this process."""

import pytest

from tests.builders.fleet_world import MODEL, FleetWorld


@pytest.fixture
async def world():
    made = FleetWorld()
    await made.start()
    await made.add_target("p1", "portal")
    await made.add_target("p2", "portal")
    await made.add_target("e1", "engines", models={MODEL: 1})
    await made.add_target("e2", "engines", models={MODEL: 1})
    yield made
    await made.stop()
