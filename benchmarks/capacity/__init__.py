"""Slopes for the capacity page: what control costs as the deployment grows."""
