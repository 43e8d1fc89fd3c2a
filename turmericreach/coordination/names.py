"""Kinds and names of turmericreach's own objects in the metadata store."""

__all__ = [
    "CHECKPOINTS_KIND",
    "CRASHING_PREFIX",
    "DIVISION_NAME",
    "DUTY_NAME",
    "HOST_PREFIX",
    "LOTS_KIND",
    "OWN_KIND",
    "SOFTWARE_PREFIX",
    "USAGE_KIND",
    "USAGE_NAME",
]

# Small objects that every process follows share one kind, so that a single watch covers them.
OWN_KIND = "turmericreach"
# Lots have their own kind, since they are large and concern few processes.
LOTS_KIND = "turmericreach-lots"
# Texts of items that are not listed yet, one object a lot.
CHECKPOINTS_KIND = "turmericreach-texts"
# Prefix of the names of the objects by which processes register, followed by the host.
HOST_PREFIX = "host."
# Name of the object that holds the coordinator.
DUTY_NAME = "duty"
# Name of the object that assigns a model to each engine.
DIVISION_NAME = "division"
# Prefix of the names of the objects of requests that end targets, followed by the fingerprint.
CRASHING_PREFIX = "crashing."
# Prefix of the names of the objects with the software of a service's targets, followed by its name.
SOFTWARE_PREFIX = "software."
# The usage reports concern the coordinator only, so that no process watches their kind.
USAGE_KIND = "turmericreach-usage"
# Name of the object with the last usage reports.
USAGE_NAME = "reports"
