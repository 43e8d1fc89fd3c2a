"""Division of a process's file descriptors among its listeners and its own connections."""

from collections.abc import Callable, Iterable
from typing import Protocol

__all__ = ["ConnectionBudget", "ConnectionHolder", "connection_limit"]

# Descriptors that the settings leave for files.
FILE_DESCRIPTORS = 200
# Descriptors of connections that are accepted and closed again within a few turns of the loop.
ACCEPT_MARGIN = 64
# A request has up to two connections to targets at a time: one for a hedge or a retry.
CONNECTIONS_PER_REQUEST = 2


class ConnectionHolder(Protocol):
    """An accepted connection."""

    def is_unused(self) -> bool:
        """Return whether no complete request is queued or being handled."""

    def evict(self, reason: str) -> None:
        """Close the connection."""


def connection_limit(max_descriptors: int) -> int:
    """Return the largest number of connections within a limit on descriptors."""
    return max(max_descriptors - FILE_DESCRIPTORS - ACCEPT_MARGIN, 1)


class ConnectionBudget:
    """Bounds the connections of a process: those of all listeners, and those that it opens itself.

    Load pattern: a crowd opens more connections than there are descriptors and sends half heads.
    Each listener has a share that the others cannot use. What belongs to no share is used by
    whoever comes first. A listener without room closes its oldest connection without a complete
    request, and if there is none, the new one. Requests that would need more own connections than
    there is room for are rejected.

    Parameters
    ----------
    limit : int or None
        Largest number of connections, None for no limit.
    shares : dict of str to float
        Part of the limit that is kept for each listener by name.
    own_share : float
        Part of the limit that is kept for own connections; together with `shares` below 1.

    Attributes
    ----------
    count_own : callable
        Returns the number of own connections.
    open : dict of str to dict of ConnectionHolder to None
        Connections of each listener, the least recently used first.
    """

    def __init__(self, limit: int | None, shares: dict[str, float], own_share: float = 0.0):
        self.limit = limit
        self.reserved_own = int((limit or 0) * own_share)
        self.count_own: Callable[[], int] = lambda: 0
        self.reserved = {name: int((limit or 0) * share) for name, share in shares.items()}
        self.open: dict[str, dict[ConnectionHolder, None]] = {name: {} for name in shares}

    def add(self, listener: str, holder: ConnectionHolder) -> bool:
        """Add a connection, and return whether it may stay open."""
        connections = self.open.setdefault(listener, {})
        if len(connections) >= self.room(listener):
            victim = first_unused(connections)
            if victim is None:
                return False
            del connections[victim]
            victim.evict("connections")
        connections[holder] = None
        return True

    def touch(self, listener: str, holder: ConnectionHolder) -> None:
        """Make a connection the most recently used one."""
        connections = self.open[listener]
        if holder in connections:
            del connections[holder]
            connections[holder] = None

    def remove(self, listener: str, holder: ConnectionHolder) -> None:
        """Remove a connection that has been closed."""
        self.open[listener].pop(holder, None)

    def room(self, listener: str) -> float:
        """Return the largest number of connections that a listener may have now."""
        if self.limit is None:
            return float("inf")
        own = max(self.count_own(), self.reserved_own)
        return self.limit - own - self.kept_for_listeners(listener)

    def kept_for_listeners(self, excluded: str = "") -> int:
        """Return the connections that listeners have or may claim, with one of them left out."""
        kept = 0
        for name, connections in self.open.items():
            if name != excluded:
                kept += max(len(connections), self.reserved.get(name, 0))
        return kept

    def missing_own(self, requests: int) -> tuple[int, int]:
        """Return the own connections that one more request lacks.

        Parameters
        ----------
        requests : int
            Number of requests in progress.

        Returns
        -------
        tuple of int
            The number that is missing now, and that which would be missing if all idle own
            connections were closed; not positive if there is room.
        """
        if self.limit is None:
            return 0, 0
        room = self.limit - self.kept_for_listeners()
        needed = (requests + 1) * CONNECTIONS_PER_REQUEST
        return max(self.count_own() + CONNECTIONS_PER_REQUEST, needed) - room, needed - room


def first_unused(connections: Iterable[ConnectionHolder]) -> ConnectionHolder | None:
    """Return the first connection without a complete request, or None if there is none."""
    for connection in connections:
        if connection.is_unused():
            return connection
    return None
