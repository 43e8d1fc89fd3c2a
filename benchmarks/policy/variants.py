"""The variants of policy that the benchmark compares."""

import attrs

from turmericreach.limits import WindowPolicy
from turmericreach.routing import BudgetPolicy, RetryCause, RoutingPolicy
from turmericreach.verdicts import ErrorCode, Verdict

__all__ = ["VARIANTS", "Variant"]

UNREACHABLE_THRESHOLD = 10**9


@attrs.frozen
class Variant:
    """How gateways select targets and retry, and how agents queue.

    Attributes
    ----------
    name : str
        Key in the results.
    selection : str
        ``policy``, ``round_robin`` or ``least_outstanding``. The latter two are baselines: agents
        serve first come, first served, and trainers send a whole lot at once.
    routing : RoutingPolicy or None
        None for the default.
    budgets : dict or None
        Retry budgets by cause, None for the defaults.
    budget_by_cause : bool
        Whether each cause of a retry has its own budget.
    reports_not_sent : bool
        Whether a refused connection counts as "not sent"; otherwise the attempt may have run.
    weighting : float or None
        Replaces `policy.weighting` of the workload.
    weights_interval_s : float or None
        Replaces the interval in seconds between two weight versions.
    shares_models : bool
        Whether the lots of a process share their models of lengths and speeds.
    expected_cost : bool
        Whether admission charges the expected tokens to the trainer at the start, instead of 1.
    rollouts : bool
        Whether trainers run; without them there are ordinary requests only.
    load_counts_waiting : bool
        Whether the load that outcomes carry includes waiting attempts.
    window : WindowPolicy or None
        Control of the rollout limit of an engine, None for the default.
    window_counts_waiting : bool
        Whether the latency of ordinary requests that controls the rollout limit includes their
        wait at the agent.
    """

    name: str
    selection: str = "policy"
    routing: RoutingPolicy | None = None
    budgets: dict | None = None
    budget_by_cause: bool = True
    reports_not_sent: bool = True
    weighting: float | None = None
    weights_interval_s: float | None = None
    shares_models: bool = False
    expected_cost: bool = True
    rollouts: bool = True
    load_counts_waiting: bool = True
    window: WindowPolicy | None = None
    window_counts_waiting: bool = True

    def ticket_cost(self, request):
        """Return the cost that admission charges for a request when its ticket starts."""
        return float(request.expected_tokens or 1) if self.expected_cost else 1.0

    def observed_outcome(self, outcome):
        """Return an outcome as seen by a gateway that may lack the distinction "not sent"."""
        if self.reports_not_sent or outcome.code != ErrorCode.TARGET_UNREACHABLE:
            return outcome
        return attrs.evolve(outcome, verdict=Verdict.MAY_HAVE_RUN, code=ErrorCode.TARGET_FAILED)


UNLIMITED_BUDGETS = {cause: BudgetPolicy(1.0, 1e6, 1e6, 5) for cause in RetryCause}

FIRST_ROUTING = RoutingPolicy(
    queue_ahead_share=0.5,
    lot_queue_factor=1.0,
    spread_by_speed=False,
    queues_at_preferred=False,
    waiting_weight=0.25,
)
FIRST_WINDOW = WindowPolicy(decrease=0.5, window_s=30.0, hold_s=5.0, recover_s=10.0, regrow_s=1.0)
# The policy before the first measurements with this benchmark.
FIRST_RELEASE = Variant(
    "first_release",
    routing=FIRST_ROUTING,
    window=FIRST_WINDOW,
    expected_cost=False,
    load_counts_waiting=False,
    window_counts_waiting=False,
)

VARIANTS = {
    variant.name: variant
    for variant in [
        Variant("round_robin", "round_robin"),
        Variant("least_outstanding", "least_outstanding"),
        FIRST_RELEASE,
        Variant("current"),
        Variant("no_rollouts", rollouts=False),
        Variant("weighting_0", weighting=0.0),
        Variant("weighting_0.5", weighting=0.5),
        Variant("weighting_1", weighting=1.0),
        Variant("fast_weighting_0", weighting=0.0, weights_interval_s=30.0),
        Variant("fast_weighting_0.5", weighting=0.5, weights_interval_s=30.0),
        Variant("fast_weighting_1", weighting=1.0, weights_interval_s=30.0),
        Variant("no_retry_budgets", budgets=UNLIMITED_BUDGETS),
        Variant("one_retry_budget", budget_by_cause=False),
        Variant(
            "no_circuit_breaker", routing=RoutingPolicy(breaker_threshold=UNREACHABLE_THRESHOLD)
        ),
        Variant("no_not_sent", reports_not_sent=False),
        Variant("without_load_of_queues", load_counts_waiting=False),
        Variant("without_wait_in_window", window_counts_waiting=False),
        Variant("without_expected_cost", expected_cost=False),
        Variant("without_queue_at_preferred", routing=RoutingPolicy(queues_at_preferred=False)),
        Variant("without_lot_queue", routing=RoutingPolicy(lot_queue_factor=1.0)),
        Variant("first_window", window=FIRST_WINDOW),
        Variant("shared_models", shares_models=True),
    ]
}
