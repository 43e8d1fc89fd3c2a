"""Lots that are kept in the metadata store and run item by item."""
