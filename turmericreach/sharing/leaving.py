"""Targets that have announced in their responses that they leave."""

from collections import OrderedDict

import attrs

from turmericreach.sharing.revisions import RevisionCounter

__all__ = ["Leave", "LeavingTable"]

# Time in seconds for which a leave is remembered. A target ends within a minute of announcing it,
# and another run of the target has another name.
REMEMBER_S = 600.0
# Bound on the memory for leaves; the newest are kept.
MAX_LEAVES = 10_000


@attrs.frozen
class Leave:
    """The announcement of a target's run that it leaves.

    Attributes
    ----------
    since : float
        Time in seconds of the first response that said so, to any process.
    revision : int
        Revision of the shared tables at which this became known.
    observed : bool
        Whether a response to this process said so, not only another process.
    """

    since: float
    revision: int
    observed: bool


class LeavingTable:
    """Runs of targets that have announced that they leave.

    An announcement is final: neither a response without it nor an entry of the target takes it
    back, since both may be older. Only another run of the target is used again.

    Load pattern: a target announces its leave while the metadata store is away or its watch has
    stalled. Its entry stays as it was, and each gateway that has not received a response from it
    goes on sending. So the processes share what any of them has been told.

    Attributes
    ----------
    leaves : OrderedDict of str to Leave
        Announcements by name of the run, the oldest first.
    revisions : RevisionCounter
        Numbers the changes, together with those of the other shared tables of the process.
    observed_revision : int
        Revision of the newest announcement that was made to this process itself.
    """

    def __init__(self, revisions: RevisionCounter | None = None):
        self.leaves: OrderedDict[str, Leave] = OrderedDict()
        self.revisions = revisions or RevisionCounter()
        self.observed_revision = 0

    def since(self, run: str) -> float | None:
        """Return the time in seconds of the announcement of a run, None if there is none."""
        leave = self.leaves.get(run)
        return None if leave is None else leave.since

    def record(self, run: str, now: float) -> bool:
        """Record a response that announces the leave of a run; return whether it is news."""
        if run in self.leaves:
            return False
        self.put(run, now, now, observed=True)
        return True

    def merge(self, run: str, since: float, now: float) -> bool:
        """Apply what another process was told; return whether it is news.

        Times are in seconds on this process's clock.
        """
        known = self.leaves.get(run)
        if known is not None:
            self.leaves[run] = attrs.evolve(known, since=min(known.since, since))
            return False
        if now - since > REMEMBER_S:
            return False
        self.put(run, since, now, observed=False)
        return True

    def put(self, run: str, since: float, now: float, observed: bool) -> None:
        """Add the announcement of a run, and drop what is too old or too much."""
        revision = self.revisions.advance()
        if observed:
            self.observed_revision = revision
        self.leaves[run] = Leave(since, revision, observed)
        while self.leaves:
            oldest, leave = next(iter(self.leaves.items()))
            if len(self.leaves) <= MAX_LEAVES and now - leave.since <= REMEMBER_S:
                return
            del self.leaves[oldest]

    def changes_after(self, revision: int, observed_only: bool) -> dict[str, Leave]:
        """Return the announcements that became known after a revision, by name of the run."""
        found = {}
        for run, leave in self.leaves.items():
            if leave.revision > revision and (leave.observed or not observed_only):
                found[run] = leave
        return found

    def remove(self, run: str) -> None:
        """Remove a run whose successor could not be told apart from it."""
        self.leaves.pop(run, None)
