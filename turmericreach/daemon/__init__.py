"""The daemon ``turmericreachd`` with its roles gateway and agent, and its HTTP routes."""
