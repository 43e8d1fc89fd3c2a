"""Target selection by load, prefix cache and locality; circuit breakers and retry budgets."""

from turmericreach.routing.breaker import CircuitBreaker
from turmericreach.routing.budget import BudgetPolicy, RetryBudget, RetryCause, RetryCounts
from turmericreach.routing.model import (
    Choice,
    ChoiceRequest,
    LoadReport,
    Refusal,
    RoutingPolicy,
    TargetState,
)
from turmericreach.routing.result import AttemptResult, classify, retry_cause
from turmericreach.routing.rollouts import RolloutCapacity, rollout_capacity
from turmericreach.routing.table import RoutingTable

__all__ = [
    "AttemptResult",
    "BudgetPolicy",
    "Choice",
    "ChoiceRequest",
    "CircuitBreaker",
    "LoadReport",
    "Refusal",
    "RetryBudget",
    "RetryCause",
    "RetryCounts",
    "RolloutCapacity",
    "RoutingPolicy",
    "RoutingTable",
    "TargetState",
    "classify",
    "retry_cause",
    "rollout_capacity",
]
