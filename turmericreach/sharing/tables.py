"""What a process shares with the others about targets and requests."""

from turmericreach.sharing.crashes import CrashTable
from turmericreach.sharing.leaving import LeavingTable
from turmericreach.sharing.limits import LimitTable
from turmericreach.sharing.origins import OriginTable
from turmericreach.sharing.revisions import RevisionCounter
from turmericreach.sharing.software import SoftwareHistory

__all__ = ["SharedTables"]


class SharedTables:
    """The shared tables of a process, whose changes are numbered together.

    Attributes
    ----------
    limits : LimitTable
        Limits that targets have named.
    leaving : LeavingTable
        Targets that have announced that they leave.
    crashes : CrashTable
        Requests under which targets have ended.
    origins : OriginTable
        Software that began the streams of callers. Only some processes know each of them, so they
        are not numbered.
    software : SoftwareHistory
        Software of the targets of each service.
    """

    def __init__(self):
        self.revisions = RevisionCounter()
        self.limits = LimitTable(self.revisions)
        self.leaving = LeavingTable(self.revisions)
        self.crashes = CrashTable(self.revisions)
        self.origins = OriginTable()
        self.software = SoftwareHistory()

    def revision(self) -> int:
        """Return the number of changes so far."""
        return self.revisions.value

    def observed_revision(self) -> int:
        """Return the revision of the newest fact that this process has observed itself."""
        tables = (self.limits, self.leaving, self.crashes)
        return max(table.observed_revision for table in tables)
