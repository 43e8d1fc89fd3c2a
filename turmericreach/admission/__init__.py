"""Decisions on what is rejected when there is too little capacity, without input or output."""

from turmericreach.admission.lots import (
    LotBacklog,
    LotDecision,
    LotWork,
    admit_lot,
    joined_backlog,
    lot_work,
)
from turmericreach.admission.pressure import NO_LIMITS, ProcessLimits, ProcessLoad
from turmericreach.admission.requests import RequestShedder, RequestWork, ShedDecision
from turmericreach.admission.shutdown import (
    RecentDurations,
    ShutdownTimes,
    ShutdownWork,
    needed_s,
)
from turmericreach.admission.tenants import EqualTenants, TenantFairness

__all__ = [
    "NO_LIMITS",
    "EqualTenants",
    "LotBacklog",
    "LotDecision",
    "LotWork",
    "ProcessLimits",
    "ProcessLoad",
    "RecentDurations",
    "RequestShedder",
    "RequestWork",
    "ShedDecision",
    "ShutdownTimes",
    "ShutdownWork",
    "TenantFairness",
    "admit_lot",
    "joined_backlog",
    "lot_work",
    "needed_s",
]
