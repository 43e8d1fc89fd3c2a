"""Kinds and names of the objects that the product keeps in the store."""

__all__ = ["DIVISION_NAME", "DUTY_NAME", "HOST_PREFIX", "LOTS_KIND", "OWN_KIND"]

# Small objects that every process follows are of one kind, so that one watch follows them.
OWN_KIND = "turmericreach"
# Lots are large and concern few processes.
LOTS_KIND = "turmericreach-lots"
HOST_PREFIX = "host."
# Which process coordinates.
DUTY_NAME = "duty"
# Which engine serves which model.
DIVISION_NAME = "division"
