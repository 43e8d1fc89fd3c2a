"""HTTP/1.1 servers and clients at protocol level, for programs that forward requests."""

from turmericreach.http1.addresses import is_address
from turmericreach.http1.client import ClientConnection, connect
from turmericreach.http1.connection import Handler
from turmericreach.http1.connection_budget import ConnectionBudget, connection_limit
from turmericreach.http1.exchange import Request, Responder
from turmericreach.http1.headers import Headers, query_value, split_target
from turmericreach.http1.limits import (
    BUFFER_MEMORY_SHARE,
    BufferBudget,
    ResponseLimits,
    ServerLimits,
)
from turmericreach.http1.memory_budget import MemoryBudget, budget_bytes
from turmericreach.http1.numbers import read_number
from turmericreach.http1.pool import ConnectionPool
from turmericreach.http1.rejections import REASONS, RejectionCounts
from turmericreach.http1.responses import ConnectFailed, ResponseHead, ResponseIncomplete
from turmericreach.http1.server import HttpServer
from turmericreach.http1.server_bounds import ServerBounds

__all__ = [
    "BUFFER_MEMORY_SHARE",
    "REASONS",
    "BufferBudget",
    "ClientConnection",
    "ConnectFailed",
    "ConnectionBudget",
    "ConnectionPool",
    "Handler",
    "Headers",
    "HttpServer",
    "MemoryBudget",
    "RejectionCounts",
    "Request",
    "Responder",
    "ResponseHead",
    "ResponseIncomplete",
    "ResponseLimits",
    "ServerBounds",
    "ServerLimits",
    "budget_bytes",
    "connect",
    "connection_limit",
    "is_address",
    "query_value",
    "read_number",
    "split_target",
]
