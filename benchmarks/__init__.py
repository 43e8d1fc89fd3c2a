"""Benchmarks of the policy, the cost per request and the capacity of the control plane."""
