"""A metadata store and one target, without gateways."""

import pytest

from tests.builders.fleet_world import FleetWorld


@pytest.fixture
async def world():
    made = FleetWorld()
    await made.start()
    await made.add_target("p1", "portal")
    yield made
    await made.stop()
