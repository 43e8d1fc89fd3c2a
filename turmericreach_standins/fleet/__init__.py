"""Stand-ins of the platform's metadata store, and of targets that accept orders."""

from turmericreach_standins.fleet.store import StoreFaults, StoreStandIn
from turmericreach_standins.fleet.target import TargetFaults, TargetStandIn

__all__ = ["StoreFaults", "StoreStandIn", "TargetFaults", "TargetStandIn"]
