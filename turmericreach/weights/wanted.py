"""Wanted weight versions and their monotone merge."""

from collections.abc import Iterable

import attrs

__all__ = ["ACTIVATE", "PREPARE", "WantedTable", "WantedVersion"]

PREPARE = "prepare"
ACTIVATE = "activate"
PHASE_ORDER = {PREPARE: 0, ACTIVATE: 1}


@attrs.frozen
class WantedVersion:
    """A weight version that the targets of a model are to hold.

    Attributes
    ----------
    phase : str
        ``prepare`` or ``activate``.
    change_id : str
        Identifies the announcement, so that a lost answer of the platform can be settled.
    announced_at : float
        Seconds of the announcer's wall clock; for display only.
    source : str
        Who announced it.
    """

    model: str
    version: int
    phase: str = PREPARE
    change_id: str = ""
    announced_at: float = 0.0
    source: str = ""

    @property
    def order(self) -> tuple[int, int]:
        """Order among the wanted versions of one model.

        A phase from a newer release counts as ``prepare``, which changes no label.
        """
        return (self.version, PHASE_ORDER.get(self.phase, 0))


class WantedTable:
    """Highest wanted version of each model, and the highest that was activated.

    A newer version in preparation supersedes an older one for downloads, but the targets keep
    converging on the highest activated one, so both are kept.
    """

    def __init__(self):
        self.newest: dict[str, WantedVersion] = {}
        self.active: dict[str, WantedVersion] = {}

    def merge(self, rows: Iterable[WantedVersion]) -> list[WantedVersion]:
        """Take over higher rows and return those that changed the table."""
        changed = []
        for row in rows:
            if row.version <= 0:
                continue
            newer = self.raise_row(self.newest, row)
            activated = row.phase == ACTIVATE and self.raise_row(self.active, row)
            if newer or activated:
                changed.append(row)
        return changed

    def raise_row(self, table, row):
        """Store a row if it is higher than the stored one."""
        known = table.get(row.model)
        if known is not None and known.order >= row.order:
            return False
        table[row.model] = row
        return True

    def rows(self) -> list[WantedVersion]:
        """Return all rows, without doubles, in the order of the models."""
        rows = []
        for model, newest in sorted(self.newest.items()):
            active = self.active.get(model)
            if active is not None and active.version != newest.version:
                rows.append(active)
            rows.append(newest)
        return rows

    def missing_from(self, other: Iterable[WantedVersion]) -> list[WantedVersion]:
        """Return the rows that a peer with the rows `other` does not have."""
        known = {(row.model, row.order) for row in other}
        return [row for row in self.rows() if (row.model, row.order) not in known]
