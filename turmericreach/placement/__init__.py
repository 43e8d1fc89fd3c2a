"""Decisions on where requests go and in which order, apart from input and output.

Each function takes a snapshot and returns a decision.
"""

from turmericreach.placement.engines import EngineState, Start, WaitingItem, plan_starts
from turmericreach.placement.moves import Move, RunningItem, expected_left, plan_moves
from turmericreach.placement.plain import choose_target, hedge_delay_s
from turmericreach.placement.policy import (
    DEFAULT_POLICY,
    POLICIES,
    ExpectedEnd,
    PlacementPolicy,
    RoundRobin,
)
from turmericreach.placement.retry import retry_after_s

__all__ = [
    "DEFAULT_POLICY",
    "POLICIES",
    "EngineState",
    "ExpectedEnd",
    "Move",
    "PlacementPolicy",
    "RoundRobin",
    "RunningItem",
    "Start",
    "WaitingItem",
    "choose_target",
    "expected_left",
    "hedge_delay_s",
    "plan_moves",
    "plan_starts",
    "retry_after_s",
]
