"""Versions of weights: who orders them, and which target loads what."""
