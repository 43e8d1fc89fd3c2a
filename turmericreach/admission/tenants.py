"""What the decisions on requests need to know about tenants."""

from typing import Protocol

__all__ = ["EqualTenants", "TenantFairness"]


class TenantFairness(Protocol):
    """Tells how much of the capacity a tenant has used compared with the others."""

    def weight(self, tenant: str, now: float) -> float:
        """Return a factor on the value of a tenant's next request.

        It is 1 for a tenant with a usual share, above 1 for one that got less, below 1 for one that
        got more.
        """

    def record(self, tenant: str, admitted: bool, now: float) -> None:
        """Record the decision on a request of a tenant."""


class EqualTenants:
    """Makes no difference between tenants, for deployments without any."""

    def weight(self, tenant: str, now: float) -> float:
        """Return 1 for each tenant."""
        return 1.0

    def record(self, tenant: str, admitted: bool, now: float) -> None:
        """Do nothing."""
