"""Decisions on what several processes share about a target or a request, without I/O."""

from turmericreach.sharing.fingerprints import request_fingerprint
from turmericreach.sharing.limits import Limit, LimitTable, parse_rate
from turmericreach.sharing.rates import Denial, Permit, PermitSource, RateArbiter

__all__ = [
    "Denial",
    "Limit",
    "LimitTable",
    "Permit",
    "PermitSource",
    "RateArbiter",
    "parse_rate",
    "request_fingerprint",
]
