"""Budgets that keep retries from multiplying the load during a fault."""

import enum

import attrs

__all__ = ["BudgetPolicy", "RetryBudget", "RetryCause", "RetryCounts"]


class RetryCause(enum.StrEnum):
    """Why an attempt is to be repeated."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"


@attrs.frozen
class BudgetPolicy:
    """Budget of one cause.

    Attributes
    ----------
    ratio : float
        Retries earned by one success.
    minimum_per_s : float
        Retries a second that are allowed without any success.
    burst : float
        Largest number of saved retries.
    per_request : int
        Retries of one request for this cause.
    """

    ratio: float
    minimum_per_s: float
    burst: float
    per_request: int


# A retry after overload adds to the overload and one after an unknown outcome repeats work, so
# both earn less than a retry of an attempt that cost the target nothing.
DEFAULT_BUDGETS = {
    RetryCause.NOT_SENT: BudgetPolicy(0.5, 5.0, 50.0, 4),
    RetryCause.REFUSED: BudgetPolicy(0.3, 2.0, 30.0, 3),
    RetryCause.OVERLOADED: BudgetPolicy(0.1, 1.0, 20.0, 2),
    RetryCause.UNKNOWN: BudgetPolicy(0.1, 1.0, 20.0, 2),
}


@attrs.define
class RetryCounts:
    """Retries that one request has used, by cause."""

    used: dict[RetryCause, int] = attrs.field(factory=dict)

    @property
    def total(self):
        """Retries for all causes."""
        return sum(self.used.values())


@attrs.define
class Bucket:
    """Saved retries of one cause."""

    tokens: float
    filled_at: float


class RetryBudget:
    """Token buckets by cause, filled by successes and by a minimum rate.

    Parameters
    ----------
    budgets : dict of RetryCause to BudgetPolicy
    max_retries : int
        Retries of one request for all causes together.
    now : float
        Seconds; start of the minimum rate.
    """

    def __init__(self, budgets=None, max_retries=5, now=0.0):
        self.budgets = dict(budgets or DEFAULT_BUDGETS)
        self.max_retries = max_retries
        self.buckets = {
            cause: Bucket(min(budget.burst, max(1.0, budget.minimum_per_s)), now)
            for cause, budget in self.budgets.items()
        }

    def on_success(self, now):
        """Add what one success earns for each cause."""
        for cause, budget in self.budgets.items():
            bucket = self.fill(cause, now)
            bucket.tokens = min(budget.burst, bucket.tokens + budget.ratio)

    def allow(self, cause, counts, now):
        """Take one retry from the budget if there is one.

        Parameters
        ----------
        cause : RetryCause
        counts : RetryCounts
            Retries that the request has used; counted up if the retry is allowed.

        Returns
        -------
        bool
        """
        used = counts.used.get(cause, 0)
        if used >= self.budgets[cause].per_request or counts.total >= self.max_retries:
            return False
        bucket = self.fill(cause, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        counts.used[cause] = used + 1
        return True

    def fill(self, cause, now):
        """Add what the minimum rate earned since the last call."""
        budget = self.budgets[cause]
        bucket = self.buckets[cause]
        elapsed_s = max(0.0, now - bucket.filled_at)
        bucket.tokens = min(budget.burst, bucket.tokens + elapsed_s * budget.minimum_per_s)
        bucket.filled_at = max(now, bucket.filled_at)
        return bucket
