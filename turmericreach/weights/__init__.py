"""Weight versions: wanted versions, convergence of a target, and planning of updates."""

from turmericreach.weights.converger import (
    Action,
    ActionKind,
    ActionResult,
    ResultKind,
    TargetConverger,
)
from turmericreach.weights.fencing import FencingTokens, fencing_token
from turmericreach.weights.planner import Grant, Plan, RolloutPlanner, TargetProgress
from turmericreach.weights.wanted import ACTIVATE, PREPARE, WantedTable, WantedVersion

__all__ = [
    "ACTIVATE",
    "PREPARE",
    "Action",
    "ActionKind",
    "ActionResult",
    "FencingTokens",
    "Grant",
    "Plan",
    "ResultKind",
    "RolloutPlanner",
    "TargetConverger",
    "TargetProgress",
    "WantedTable",
    "WantedVersion",
    "fencing_token",
]
