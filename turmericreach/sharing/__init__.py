"""Decisions on what several processes share about a target or a request, without I/O."""

from turmericreach.sharing.crashes import MAX_CRASHES, CrashTable
from turmericreach.sharing.fingerprints import request_fingerprint
from turmericreach.sharing.limits import Limit, LimitTable, parse_rate
from turmericreach.sharing.rates import (
    Denial,
    Permit,
    PermitSource,
    RateArbiter,
    permit_interval_s,
)
from turmericreach.sharing.tables import SharedTables

__all__ = [
    "MAX_CRASHES",
    "CrashTable",
    "Denial",
    "Limit",
    "LimitTable",
    "Permit",
    "PermitSource",
    "RateArbiter",
    "SharedTables",
    "parse_rate",
    "permit_interval_s",
    "request_fingerprint",
]
