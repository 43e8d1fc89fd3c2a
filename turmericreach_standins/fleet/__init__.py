"""Stand-ins of the platform: metadata store, targets and orders."""

from turmericreach_standins.fleet.store import StoreFaults, StoreStandIn
from turmericreach_standins.fleet.target import TargetFaults, TargetStandIn

__all__ = ["StoreFaults", "StoreStandIn", "TargetFaults", "TargetStandIn"]
