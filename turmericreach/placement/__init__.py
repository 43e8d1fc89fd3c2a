"""Placement of requests and items on targets, without input or output.

Each function receives a snapshot of the current state and returns a decision.
"""

from turmericreach.placement.engines import (
    EngineState,
    Start,
    WaitingItem,
    continues_text,
    plan_starts,
)
from turmericreach.placement.moves import Move, RunningItem, expected_remaining_events, plan_moves
from turmericreach.placement.policy import (
    DEFAULT_POLICY,
    OVERLOAD_POLICY,
    POLICIES,
    ExpectedEnd,
    LeastSlack,
    PlacementPolicy,
    RoundRobin,
    SwitchedPolicy,
    present_policy,
)
from turmericreach.placement.retry import (
    STARTING_RETRY_S,
    ReturnSchedule,
    outage_retry_s,
    service_rate_per_s,
)
from turmericreach.placement.target_choice import choose_target, hedge_delay_s

__all__ = [
    "DEFAULT_POLICY",
    "OVERLOAD_POLICY",
    "POLICIES",
    "STARTING_RETRY_S",
    "EngineState",
    "ExpectedEnd",
    "LeastSlack",
    "Move",
    "PlacementPolicy",
    "ReturnSchedule",
    "RoundRobin",
    "RunningItem",
    "Start",
    "SwitchedPolicy",
    "WaitingItem",
    "choose_target",
    "continues_text",
    "expected_remaining_events",
    "hedge_delay_s",
    "outage_retry_s",
    "plan_moves",
    "plan_starts",
    "present_policy",
    "service_rate_per_s",
]
