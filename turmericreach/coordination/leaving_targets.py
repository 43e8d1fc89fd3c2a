"""Exchange of the targets that have announced that they leave."""

import asyncio
from collections.abc import Sequence

from turmericreach.coordination.messages import LeavingTarget
from turmericreach.services import TargetDirectory

__all__ = ["LeavingTargets"]


class LeavingTargets:
    """Shares which targets have announced in responses that they leave.

    Parameters
    ----------
    directory : TargetDirectory
        Targets, and the announcements that are known to this process.
    """

    def __init__(self, directory: TargetDirectory):
        self.directory = directory

    def state_after(self, revision: int, observed_only: bool) -> list[LeavingTarget]:
        """Return what became known after a revision of the shared tables."""
        now = asyncio.get_running_loop().time()
        found = []
        for run, leave in self.directory.leaving.changes_after(revision, observed_only).items():
            found.append(LeavingTarget(run, now - leave.since))
        return found

    def merge(self, leaves: Sequence[LeavingTarget]) -> None:
        """Apply what another process knows."""
        now = asyncio.get_running_loop().time()
        news = False
        for leave in leaves:
            news = self.directory.leaving.merge(leave.run, now - leave.since_s, now) or news
        if news:
            self.directory.notify_changed()
