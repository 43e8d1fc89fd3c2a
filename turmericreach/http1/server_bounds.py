"""Bounds that the servers of a process share."""

import attrs

from turmericreach.http1.connection_budget import ConnectionBudget
from turmericreach.http1.memory_budget import MemoryBudget
from turmericreach.http1.rejections import RejectionCounts
from turmericreach.http1.turns import PipelineTurns

__all__ = ["ServerBounds"]


@attrs.define
class ServerBounds:
    """Budgets of memory and connections, and the counts of rejected clients.

    Attributes
    ----------
    memory : MemoryBudget
        Memory that all connections hold.
    connections : ConnectionBudget
        Connections of all servers.
    rejections : RejectionCounts
        Clients that were rejected.
    turns : PipelineTurns
        Turns of pipelined requests.
    busy_fields : list of tuple of str
        Header fields of a rejection for lack of memory.
    """

    memory: MemoryBudget
    connections: ConnectionBudget = attrs.field(factory=lambda: ConnectionBudget(None, {}))
    rejections: RejectionCounts = attrs.field(factory=RejectionCounts)
    turns: PipelineTurns = attrs.field(factory=PipelineTurns)
    busy_fields: list[tuple[str, str]] = attrs.field(factory=list)
