"""Retry budgets, which bound the extra load that retries cause during a fault."""

import enum

import attrs

__all__ = ["BudgetPolicy", "RetryBudget", "RetryCause", "RetryCounts"]


class RetryCause(enum.StrEnum):
    """Cause of a retry, by which retries are budgeted."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"


@attrs.frozen
class BudgetPolicy:
    """Limits of the retries for one cause.

    Attributes
    ----------
    ratio : float
        Retries added to the budget by one successful attempt.
    minimum_per_s : float
        Retries per second that are added without any success.
    burst : float
        Capacity of the token bucket in retries.
    per_request : int
        Limit of the retries of one request for this cause.
    """

    ratio: float
    minimum_per_s: float
    burst: float
    per_request: int


# A retry after overload adds to the overload, and one after an unknown outcome may repeat work.
# Both get smaller budgets than retries of attempts that cost the target nothing.
DEFAULT_BUDGETS = {
    RetryCause.NOT_SENT: BudgetPolicy(0.5, 5.0, 50.0, 4),
    RetryCause.REFUSED: BudgetPolicy(0.3, 2.0, 30.0, 3),
    RetryCause.OVERLOADED: BudgetPolicy(0.1, 1.0, 20.0, 2),
    RetryCause.UNKNOWN: BudgetPolicy(0.1, 1.0, 20.0, 2),
}


@attrs.define
class RetryCounts:
    """Retries that one request has used.

    Attributes
    ----------
    used : dict of RetryCause to int
        Number of retries by cause.
    """

    used: dict[RetryCause, int] = attrs.field(factory=dict)

    @property
    def total(self):
        """Number of retries for all causes together."""
        return sum(self.used.values())


@attrs.define
class Bucket:
    """Token bucket of one cause.

    Attributes
    ----------
    tokens : float
        Retries that are available.
    refilled_at : float
        Time in seconds up to which the minimum rate has been added.
    """

    tokens: float
    refilled_at: float


class RetryBudget:
    """Token buckets by cause, refilled by successes and at a minimum rate.

    Parameters
    ----------
    budgets : dict of RetryCause to BudgetPolicy or None
        Limits by cause; `DEFAULT_BUDGETS` if None or empty.
    max_retries : int
        Limit of the retries of one request for all causes together.
    now : float
        Time in seconds from which the minimum rate is added.
    """

    def __init__(self, budgets=None, max_retries=5, now=0.0):
        self.budgets = dict(budgets or DEFAULT_BUDGETS)
        self.max_retries = max_retries
        self.buckets = {
            cause: Bucket(min(budget.burst, max(1.0, budget.minimum_per_s)), now)
            for cause, budget in self.budgets.items()
        }

    def on_success(self, now):
        """Add the retries that one success earns to the bucket of each cause."""
        for cause, budget in self.budgets.items():
            bucket = self.refill(cause, now)
            bucket.tokens = min(budget.burst, bucket.tokens + budget.ratio)

    def try_acquire(self, cause, counts, now):
        """Acquire one retry if the budget and the request's limits allow it.

        Parameters
        ----------
        cause : RetryCause
        counts : RetryCounts
            Retries that the request has used; incremented if the retry is allowed.

        Returns
        -------
        bool
            Whether the request may be retried.
        """
        used = counts.used.get(cause, 0)
        if used >= self.budgets[cause].per_request or counts.total >= self.max_retries:
            return False
        bucket = self.refill(cause, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        counts.used[cause] = used + 1
        return True

    def refill(self, cause, now):
        """Add the minimum rate for the time since the last call, and return the bucket."""
        budget = self.budgets[cause]
        bucket = self.buckets[cause]
        elapsed_s = max(0.0, now - bucket.refilled_at)
        bucket.tokens = min(budget.burst, bucket.tokens + elapsed_s * budget.minimum_per_s)
        bucket.refilled_at = max(now, bucket.refilled_at)
        return bucket
