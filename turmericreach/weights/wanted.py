"""Wanted weight versions and a table that merges them monotonically."""

from collections.abc import Iterable

import attrs

__all__ = ["ACTIVATE", "PREPARE", "WantedTable", "WantedVersion"]

PREPARE = "prepare"
ACTIVATE = "activate"
PHASE_ORDER = {PREPARE: 0, ACTIVATE: 1}


@attrs.frozen
class WantedVersion:
    """A weight version that the targets of a model are to prepare or serve.

    Attributes
    ----------
    model : str
        Name of the model.
    version : int
        Weight version.
    phase : str
        ``prepare`` to load the version without serving it, or ``activate`` to serve it.
    change_id : str
        Identifier of the announcement, with which the outcome of a write to the platform is
        determined after its response was lost.
    announced_at : float
        Time of the announcement in seconds of the announcer's wall clock; for display only.
    source : str
        Who announced the version.
    """

    model: str
    version: int
    phase: str = PREPARE
    change_id: str = ""
    announced_at: float = 0.0
    source: str = ""

    @property
    def order(self) -> tuple[int, int]:
        """Sort key among the wanted versions of one model.

        A phase that is unknown, because a newer release introduced it, counts as ``prepare``,
        which does not change the version that engines serve and samples are labelled with.
        """
        return (self.version, PHASE_ORDER.get(self.phase, 0))


class WantedTable:
    """Highest wanted version and highest activated version of each model.

    Both are stored: a newer version in phase ``prepare`` supersedes an older one for downloads,
    but targets continue to converge to the highest activated version.

    Attributes
    ----------
    newest : dict of str to WantedVersion
        Highest wanted version by model.
    active : dict of str to WantedVersion
        Highest activated version by model.
    """

    def __init__(self):
        self.newest: dict[str, WantedVersion] = {}
        self.active: dict[str, WantedVersion] = {}

    def merge(self, rows: Iterable[WantedVersion]) -> list[WantedVersion]:
        """Merge rows into the table and return those that changed it."""
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
        """Store a row if it is higher than the stored one; return whether it was stored."""
        known = table.get(row.model)
        if known is not None and known.order >= row.order:
            return False
        table[row.model] = row
        return True

    def rows(self) -> list[WantedVersion]:
        """Return all rows without duplicates, sorted by model."""
        rows = []
        for model, newest in sorted(self.newest.items()):
            active = self.active.get(model)
            if active is not None and active.version != newest.version:
                rows.append(active)
            rows.append(newest)
        return rows

    def missing_from(self, other: Iterable[WantedVersion]) -> list[WantedVersion]:
        """Return the rows that are missing from the rows `other` of a peer."""
        known = {(row.model, row.order) for row in other}
        return [row for row in self.rows() if (row.model, row.order) not in known]
