"""What a process shares with the others about targets and requests."""

from turmericreach.sharing.crashes import CrashTable
from turmericreach.sharing.limits import LimitTable
from turmericreach.sharing.revisions import RevisionCounter

__all__ = ["SharedTables"]


class SharedTables:
    """The shared tables of a process, whose changes are numbered together.

    Attributes
    ----------
    limits : LimitTable
        Limits that targets have named.
    crashes : CrashTable
        Requests under which targets have ended.
    """

    def __init__(self):
        self.revisions = RevisionCounter()
        self.limits = LimitTable(self.revisions)
        self.crashes = CrashTable(self.revisions)

    def revision(self) -> int:
        """Return the number of changes so far."""
        return self.revisions.value

    def observed_revision(self) -> int:
        """Return the revision of the newest fact that this process has observed itself."""
        return max(self.limits.observed_revision, self.crashes.observed_revision)
