"""Decisions on where requests go and in which order, apart from input and output.

Each function takes a snapshot and returns a decision.
"""

from turmericreach.placement.engines import EngineState, Start, WaitingItem, plan_starts
from turmericreach.placement.plain import choose_target, hedge_delay_s
from turmericreach.placement.retry import retry_after_s

__all__ = [
    "EngineState",
    "Start",
    "WaitingItem",
    "choose_target",
    "hedge_delay_s",
    "plan_starts",
    "retry_after_s",
]
