"""A metadata store and a client of it, for the time of a test."""

from contextlib import asynccontextmanager, contextmanager

from turmericreach.metadata import MetadataClient
from turmericreach_standins.fleet import StoreStandIn

__all__ = ["client_of", "running_store"]


@asynccontextmanager
async def running_store():
    """Run a store."""
    store = StoreStandIn()
    await store.start()
    yield store
    await store.stop()


@contextmanager
def client_of(store):
    """Open a client that gives calls up soon and whose budget is never used up."""
    client = MetadataClient(store.address, 10_000, 10_000)
    client.call_timeout_s = 0.2
    client.available.set()
    yield client
    client.close()
