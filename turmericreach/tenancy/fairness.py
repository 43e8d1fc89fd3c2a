"""Fair shares of tenants while more is requested than can be served."""

import math
import random
from collections import OrderedDict

import attrs

__all__ = ["FairShare", "TenantBalance"]

# Time over which the requested rate is averaged. A gateway out of 340 gets 4 requests a second.
RATE_WINDOW_S = 2.0
# Served cost beyond the capacity is made up for within this time.
CATCH_UP_S = 1.0
# Capacity that was not used may be used later for this long.
BURST_S = 0.25
# A tenant without a request for this long costs nothing.
IDLE_S = 30.0
MAX_TENANTS = 1024
# Requests over which the admitted share of all is averaged.
SHARE_REQUESTS = 256
# Requests of credit that count. A tenant that lacks four of them outweighs four levels of priority,
# each of which halves the value of a request.
MAX_CREDIT = 4.0


@attrs.define
class Account:
    """Account of one tenant.

    Attributes
    ----------
    credit : float
        Share of what was requested that was granted and not served yet; negative if more was
        served than granted.
    used_at : float
        Time of the last request.
    """

    credit: float
    used_at: float


class Accounts:
    """Accounts of the tenants with recent requests, the least recently used one first."""

    def __init__(self):
        self.by_tenant: OrderedDict[str, Account] = OrderedDict()

    def __len__(self):
        return len(self.by_tenant)

    def __iter__(self):
        return iter(self.by_tenant)

    def use(self, tenant: str, first_credit: float, now: float) -> Account:
        """Return the account of a tenant, and drop those of idle tenants."""
        account = self.by_tenant.get(tenant)
        if account is None:
            account = self.by_tenant[tenant] = Account(first_credit, now)
        account.used_at = now
        self.by_tenant.move_to_end(tenant)
        while len(self.by_tenant) > 1:
            oldest = next(iter(self.by_tenant))
            idle = now - self.by_tenant[oldest].used_at > IDLE_S
            if not idle and len(self.by_tenant) <= MAX_TENANTS:
                break
            del self.by_tenant[oldest]
        return account

    def credit(self, tenant: str) -> float:
        """Return the credit of a tenant, 0 if it has no account."""
        account = self.by_tenant.get(tenant)
        return 0.0 if account is None else account.credit


class FairShare:
    """Admits the same share of each tenant's requests under overload.

    Load pattern: a few large tenants beside many small ones, together at a multiple of the
    capacity. Each request is granted the share ``capacity / requested`` of its cost on the account
    of its tenant, and is admitted once half of its cost is granted. After any number of requests
    the served cost of a tenant differs from its share by at most half a request, where independent
    random decisions would leave small tenants far below their share. Nothing is queued, so a
    request is rejected at once and the rejection is final.

    Parameters
    ----------
    random_source : random.Random, optional
        Chooses the first credit of a tenant. With a fixed one, tenants that send each gateway a
        single request would all be admitted or all be rejected.

    Attributes
    ----------
    accounts : Accounts
        Accounts of the tenants.
    requested_per_s : float
        Average requested cost a second.
    excess : float
        Admitted cost beyond the capacity so far, negative for unused capacity.
    """

    def __init__(self, random_source: random.Random | None = None):
        self.random = random_source or random.Random()
        self.accounts = Accounts()
        self.requested_per_s = 0.0
        self.excess = 0.0
        self.updated_at = -math.inf

    def admit(self, tenant: str, cost: float, now: float, capacity_per_s: float) -> bool:
        """Return whether to serve a request, and count it as served if so.

        Parameters
        ----------
        tenant : str
            Name of the tenant; requests without a tenant share the empty name.
        cost : float
            Expected work of the request, in the unit of the capacity.
        now : float
            Time in seconds.
        capacity_per_s : float
            Cost that can be served in a second, of the requests that this object decides on.
        """
        self.update(cost, now, capacity_per_s)
        first_credit = (self.random.random() - 0.5) * cost
        account = self.accounts.use(tenant, first_credit, now)
        granted = self.granted_share(capacity_per_s)
        if granted >= 1.0:
            # Without overload no tenant builds up credit or debt.
            account.credit = min(max(account.credit, -cost / 2), cost / 2)
            self.excess += cost
            return True
        account.credit += granted * cost
        if account.credit < cost / 2:
            return False
        account.credit -= cost
        self.excess += cost
        return True

    def update(self, cost: float, now: float, capacity_per_s: float) -> None:
        """Update the requested rate and the excess for a request that arrives now."""
        elapsed_s = max(now - self.updated_at, 0.0)
        self.updated_at = max(now, self.updated_at)
        self.requested_per_s *= math.exp(-elapsed_s / RATE_WINDOW_S)
        self.requested_per_s += cost / RATE_WINDOW_S
        if math.isinf(elapsed_s):
            self.excess = -capacity_per_s * BURST_S
            return
        self.excess -= capacity_per_s * elapsed_s
        self.excess = max(self.excess, -capacity_per_s * BURST_S)

    def granted_share(self, capacity_per_s: float) -> float:
        """Return the share of the requested cost that can be served now."""
        if capacity_per_s <= 0:
            return 0.0
        if self.excess <= 0 and self.requested_per_s <= capacity_per_s:
            return 1.0
        usable_per_s = capacity_per_s - self.excess / CATCH_UP_S
        return min(max(usable_per_s / self.requested_per_s, 0.0), 1.0)


class TenantBalance:
    """Raises the value of requests of tenants that got less than others, and lowers that of others.

    Load pattern: as for `FairShare`, where the order in which requests are rejected is decided by
    their values. Each decision moves the account of the tenant by the difference between the
    admitted share of all requests and the decision, so a tenant that gets less than the others
    rises until it is admitted.

    Attributes
    ----------
    accounts : Accounts
        Requests that each tenant got less than the share of all.
    admitted_share : float
        Average share of the requests that was admitted.
    """

    def __init__(self):
        self.accounts = Accounts()
        self.admitted_share = 1.0

    def weight(self, tenant: str, now: float) -> float:
        """Return the factor on the value of the next request of a tenant; 1 is neutral."""
        return 2.0 ** self.accounts.credit(tenant)

    def record(self, tenant: str, admitted: bool, now: float) -> None:
        """Record the decision on a request of a tenant."""
        decision = 1.0 if admitted else 0.0
        self.admitted_share += (decision - self.admitted_share) / SHARE_REQUESTS
        account = self.accounts.use(tenant, 0.0, now)
        credit = account.credit + self.admitted_share - decision
        account.credit = min(max(credit, -MAX_CREDIT), MAX_CREDIT)
