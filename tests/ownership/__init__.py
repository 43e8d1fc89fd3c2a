"""Tests of the ownership package."""
