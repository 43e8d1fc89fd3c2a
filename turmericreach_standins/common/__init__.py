"""Code shared by the HTTP stand-ins: serving, faults, rate limits and lagging values."""

from turmericreach_standins.common.faults import FaultError, Faults
from turmericreach_standins.common.lag import LaggedValue
from turmericreach_standins.common.rates import TokenBucket
from turmericreach_standins.common.serving import RunningServer, StandIn, start_in_process
from turmericreach_standins.common.web import (
    RequestError,
    add_route,
    error_response,
    exchange_of,
    json_response,
    new_application,
    query_number,
    read_json,
)

__all__ = [
    "FaultError",
    "Faults",
    "LaggedValue",
    "RequestError",
    "RunningServer",
    "StandIn",
    "TokenBucket",
    "add_route",
    "error_response",
    "exchange_of",
    "json_response",
    "new_application",
    "query_number",
    "read_json",
    "start_in_process",
]
