"""A deployment in this process, with two portal targets and two engines."""

import pytest

from tests.builders.fleet_world import MODEL, FleetWorld


@pytest.fixture
async def world():
    fleet = FleetWorld()
    await fleet.start()
    await fleet.add_target("p1", "portal")
    await fleet.add_target("p2", "portal")
    await fleet.add_target("e1", "engines", models={MODEL: 1})
    await fleet.add_target("e2", "engines", models={MODEL: 1})
    yield fleet
    await fleet.stop()
