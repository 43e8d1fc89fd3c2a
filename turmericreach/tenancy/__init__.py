"""Tenants of a deployment: their API keys, and who may call what."""

from turmericreach.tenancy.access import (
    ANYONE,
    Caller,
    Contact,
    Reason,
    Rejection,
    RevocationRule,
    authenticate,
)
from turmericreach.tenancy.fairness import FairShare, TenantBalance
from turmericreach.tenancy.table import Tenant, TenantTable, digest_key

__all__ = [
    "ANYONE",
    "Caller",
    "Contact",
    "FairShare",
    "Reason",
    "Rejection",
    "RevocationRule",
    "Tenant",
    "TenantBalance",
    "TenantTable",
    "authenticate",
    "digest_key",
]
