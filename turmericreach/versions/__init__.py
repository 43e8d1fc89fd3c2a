"""Rollout of versions of the weights: which target loads which version, and the orders to load."""
