"""Fixtures: a stand-in of the metadata store and a client of it."""

from tests.builders.metadata_store import client, store

__all__ = ["client", "store"]
