"""The policies that are compared."""

import attrs

from turmericreach.limits import WindowPolicy
from turmericreach.lots import SchedulingPolicy
from turmericreach.routing import BudgetPolicy, RetryCause, RoutingPolicy
from turmericreach.verdicts import ErrorCode, Verdict

__all__ = ["VARIANTS", "Variant"]

NEVER = 10**9


@attrs.frozen
class Variant:
    """How gateways choose, repeat and queue.

    Attributes
    ----------
    selection : str
        ``policy``, ``round_robin`` or ``least_outstanding``; the latter two serve first come
        first served and send a whole lot at once.
    budgets : dict or None
        Retry budgets by cause, None for those of the release.
    budget_by_cause : bool
        Whether each cause has its own budget.
    tells_not_sent : bool
        Whether a refused connection counts as "not sent"; otherwise the attempt may have run.
    weighting : float or None
        Replaces `policy.weighting` of the workload.
    """

    name: str
    selection: str = "policy"
    routing: RoutingPolicy | None = None
    budgets: dict | None = None
    budget_by_cause: bool = True
    tells_not_sent: bool = True
    weighting: float | None = None
    shares_models: bool = True
    expected_cost: bool = True
    rollouts: bool = True
    scheduling: SchedulingPolicy | None = None
    load_counts_waiting: bool = True
    window: WindowPolicy | None = None
    window_counts_waiting: bool = True

    def ticket_cost(self, request):
        """Return the cost that admission charges when a ticket starts."""
        return float(request.expected_tokens or 1) if self.expected_cost else 1.0

    def seen_outcome(self, outcome):
        """Return an outcome as a gateway without "not sent" would see it."""
        if self.tells_not_sent or outcome.code != ErrorCode.TARGET_UNREACHABLE:
            return outcome
        return attrs.evolve(outcome, verdict=Verdict.MAY_HAVE_RUN, code=ErrorCode.TARGET_FAILED)


ENDLESS = {cause: BudgetPolicy(1.0, 1e6, 1e6, 5) for cause in RetryCause}

RELEASE = Variant(
    "release",
    shares_models=False,
    expected_cost=False,
    load_counts_waiting=False,
    window_counts_waiting=False,
    routing=RoutingPolicy(lot_queue_factor=1.0, spread_by_speed=False),
    scheduling=SchedulingPolicy(waits_for_fast_engines=False),
)
R=RoutingPolicy
NT=SchedulingPolicy(waits_for_fast_engines=False)
Q=R(lot_queue_factor=2,spread_by_speed=True,waiting_weight=0.0)
VARIANTS = {
    variant.name: variant
    for variant in [
        Variant("round_robin", "round_robin"),
        Variant("least_outstanding", "least_outstanding"),
        RELEASE,
        Variant("w_none",window_counts_waiting=False,routing=Q),
        Variant("w_wait",routing=Q),
        Variant("w_slow",routing=Q,window=WindowPolicy(recover_s=20,increase_s=5)),
        Variant("w_slow75",routing=Q,window=WindowPolicy(recover_s=20,increase_s=5,decrease=0.7)),
        Variant("w_vslow",routing=Q,window=WindowPolicy(recover_s=30,increase_s=10,decrease=0.7)),
        Variant("w_vslow2",routing=Q,window=WindowPolicy(recover_s=30,increase_s=10,decrease=0.5,slow_ratio=1.2,calm_ratio=1.1)),
        Variant("weighting_0", weighting=0.0),
        Variant("weighting_0.5", weighting=0.5),
        Variant("weighting_1", weighting=1.0),
        Variant("no_retry_budgets", budgets=ENDLESS),
        Variant("one_retry_budget", budget_by_cause=False),
        Variant("no_circuit_breaker", routing=RoutingPolicy(breaker_threshold=NEVER)),
        Variant("no_not_sent", tells_not_sent=False),
        Variant("no_rollouts", rollouts=False),
    ]
}
