"""Builders of test data."""
