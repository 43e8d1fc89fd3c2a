"""Capacity benchmark: the cost of the control plane as the deployment grows."""
