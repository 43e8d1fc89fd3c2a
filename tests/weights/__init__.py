"""Tests of the package ``turmericreach.weights``."""
