"""A metadata store and a client of it, for the time of a test."""

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
    """Open a client that gives calls up soon and whose budget is never used up."""
    made = MetadataClient(store.address, 10_000, 10_000)
    made.call_timeout_s = 0.2
    made.available.set()
    yield made
    made.close()
