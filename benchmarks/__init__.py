"""Benchmarks of the policy, of the cost and of the capacity."""
