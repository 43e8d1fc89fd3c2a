"""Tests of the weights package."""
