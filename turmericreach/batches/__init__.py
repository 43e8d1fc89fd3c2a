"""Execution of lots: storage in the metadata store, ownership, and the run of each item."""
