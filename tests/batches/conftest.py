"""Fixtures: a stand-in of the metadata store, a client of it, and a deployment."""

from tests.builders.metadata_store import client, store
from tests.node.conftest import world

__all__ = ["client", "store", "world"]
