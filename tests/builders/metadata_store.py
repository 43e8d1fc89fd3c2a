"""Fixtures of a metadata store and a client of it."""

import pytest

from turmericreach.metadata import MetadataClient
from turmericreach_standins.fleet import StoreStandIn

__all__ = ["client", "store"]


@pytest.fixture
async def store():
    """Run a store."""
    made = StoreStandIn()
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
async def client(store):
    """Open a client with a short call timeout and a budget that no test exhausts."""
    made = MetadataClient(store.address, 10_000, 10_000)
    made.call_timeout_s = 0.2
    made.available.set()
    yield made
    made.close()
