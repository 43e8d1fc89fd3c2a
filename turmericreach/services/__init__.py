"""Routes, services and the targets that run them."""

from turmericreach.services.configuration import (
    Configuration,
    EngineLimits,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from turmericreach.services.directory import TargetDirectory
from turmericreach.services.health import (
    first_event_timeout_s,
    has_lost_request,
    is_responding,
    should_suspect,
)
from turmericreach.services.target import LoadReport, Target, TargetRecord

__all__ = [
    "Configuration",
    "EngineLimits",
    "LoadReport",
    "Route",
    "RouteKind",
    "Service",
    "Target",
    "TargetDirectory",
    "TargetRecord",
    "WeightedService",
    "first_event_timeout_s",
    "has_lost_request",
    "is_responding",
    "should_suspect",
]
