"""Weight versions: wanted versions, convergence of a target, and planning of updates."""

from turmericreach.weights.converger import (
    Action,
    ActionKind,
    ActionResult,
    ResultKind,
    TargetConverger,
)
from turmericreach.weights.fencing import FencingNumbers, fencing_number
from turmericreach.weights.planner import Grant, Plan, RolloutPlanner, TargetProgress
from turmericreach.weights.wanted import ACTIVATE, PREPARE, WantedTable, WantedVersion

__all__ = [
    "ACTIVATE",
    "PREPARE",
    "Action",
    "ActionKind",
    "ActionResult",
    "FencingNumbers",
    "Grant",
    "Plan",
    "ResultKind",
    "RolloutPlanner",
    "TargetConverger",
    "TargetProgress",
    "WantedTable",
    "WantedVersion",
    "fencing_number",
]
