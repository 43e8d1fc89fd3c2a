"""Decisions on what several processes share about a target or a request, without I/O."""

from turmericreach.sharing.crashes import MAX_CRASHES, CrashTable
from turmericreach.sharing.fingerprints import request_fingerprint
from turmericreach.sharing.leaving import LeavingTable
from turmericreach.sharing.limits import Limit, LimitTable, parse_rate
from turmericreach.sharing.origins import (
    ASKED_REPLICAS,
    REPLICAS,
    OriginTable,
    StreamOrigin,
    replicas_of,
)
from turmericreach.sharing.rates import (
    Denial,
    Permit,
    PermitSource,
    RateArbiter,
    permit_interval_s,
)
from turmericreach.sharing.software import LISTED, SoftwareHistory
from turmericreach.sharing.tables import SharedTables

__all__ = [
    "ASKED_REPLICAS",
    "LISTED",
    "MAX_CRASHES",
    "REPLICAS",
    "CrashTable",
    "Denial",
    "LeavingTable",
    "Limit",
    "LimitTable",
    "OriginTable",
    "Permit",
    "PermitSource",
    "RateArbiter",
    "SharedTables",
    "SoftwareHistory",
    "StreamOrigin",
    "parse_rate",
    "permit_interval_s",
    "replicas_of",
    "request_fingerprint",
]
