"""Tests of the package config."""
