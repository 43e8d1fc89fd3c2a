"""Components of a gateway whose settings ask for control of overload."""

from turmericreach.batches.scheduler import ItemScheduler
from turmericreach.batches.scoring_stage import ScoringStage
from turmericreach.node.forwarder import Forwarder
from turmericreach.placement import LeastSlack, PlacementPolicy, present_policy
from turmericreach.placement.budgets import Budget
from turmericreach.services import TargetDirectory

__all__ = ["OverloadControl"]

# Hedges for each request, and the number that may be saved up. Without overload 5% of the responses
# are lost, and as many requests need a hedge.
HEDGE_SHARE = 0.1
HEDGE_BURST = 20.0


class OverloadControl:
    """The scoring stage, and the budgets of work that is done a second time.

    Attributes
    ----------
    scoring : ScoringStage
        Limits the scorer calls of this process.
    hedges : Budget
        Hedges that the requests so far permit.
    """

    def __init__(self, directory: TargetDirectory):
        self.scoring = ScoringStage(directory)
        self.hedges = Budget(HEDGE_SHARE, HEDGE_BURST)

    def connect(self, forwarder: Forwarder, scheduler: ItemScheduler) -> None:
        """Register what the forwarder reports and what the scheduler asks."""
        forwarder.hedges = self.hedges
        forwarder.attempts.on_arrival = self.scoring.record_caller
        scheduler.start_allowance = self.scoring.start_allowance

    def budgets(self, policy: PlacementPolicy) -> dict[str, Budget]:
        """Return the budgets by what they permit."""
        found = {"hedge": self.hedges, "score": self.scoring.retries}
        policy = present_policy(policy)
        if isinstance(policy, LeastSlack):
            found["move"] = policy.move_budget
        return found
