"""Counts of the clients that the servers of a process reject."""

from collections import Counter

__all__ = ["REASONS", "RejectionCounts"]

# Lack of memory or connections, a transfer without progress, a message over a limit, and bytes that
# are not a valid request.
REASONS = ("memory", "connections", "slow", "size", "invalid")


class RejectionCounts:
    """Counts rejected clients by reason, and sums them up for the log.

    Attributes
    ----------
    total : Counter of str
        Clients rejected since the start of the process, by reason.
    """

    def __init__(self):
        self.total: Counter[str] = Counter()
        self.reported: Counter[str] = Counter()

    def count(self, reason: str) -> None:
        """Count a client whose request was rejected or whose connection was closed."""
        self.total[reason] += 1

    def take_new(self) -> dict[str, int]:
        """Return the numbers since the last call by reason, without those that are 0."""
        new = self.total - self.reported
        self.reported = self.total.copy()
        return dict(sorted(new.items()))
