"""Numbering of the changes of the tables that processes share."""

__all__ = ["RevisionCounter"]


class RevisionCounter:
    """Counts the changes of all shared tables of a process.

    Attributes
    ----------
    value : int
        Number of changes so far.
    """

    def __init__(self):
        self.value = 0

    def advance(self) -> int:
        """Count a change and return its revision."""
        self.value += 1
        return self.value
