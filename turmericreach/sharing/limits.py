"""Limits that targets name for the requests of all processes together."""

import re

import attrs

from turmericreach.sharing.revisions import RevisionCounter

__all__ = ["Limit", "LimitTable", "parse_rate"]

# Excludes the signs, exponents and names such as "nan" that `float` accepts.
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

# Bound on the targets remembered; those confirmed last are kept.
MAX_TARGETS = 10_000


@attrs.frozen
class Limit:
    """What is known of the limit of a target.

    Attributes
    ----------
    per_s : float or None
        Requests a second that the target accepts, None if it no longer names a limit.
    since : float
        Time in seconds at which a response first said so.
    confirmed_at : float
        Time in seconds of the last response that said so.
    revision : int
        Revision of the shared tables at which this became known.
    observed : bool
        Whether a response to this process said so, not only another process.
    """

    per_s: float | None
    since: float
    confirmed_at: float
    revision: int
    observed: bool


class LimitTable:
    """The newest known limit of each target that has named one.

    Processes exchange what changed, and the newest response decides.

    Attributes
    ----------
    limits : dict of str to Limit
        Limits by target id; targets that never named one are missing.
    revisions : RevisionCounter
        Numbers the changes, together with those of the other shared tables of the process.
    observed_revision : int
        Revision of the newest limit that this process has observed itself.
    """

    def __init__(self, revisions: RevisionCounter | None = None):
        self.limits: dict[str, Limit] = {}
        self.revisions = revisions or RevisionCounter()
        self.observed_revision = 0

    def per_s(self, target: str) -> float | None:
        """Return the requests a second that a target accepts, None without a limit."""
        limit = self.limits.get(target)
        return None if limit is None else limit.per_s

    def record(self, target: str, per_s: float | None, sent_at: float, now: float) -> bool:
        """Record what a response of a target says; return whether it differs from what was known.

        Parameters
        ----------
        target : str
            Id of the target.
        per_s : float or None
            Limit that the response names, None if it names none.
        sent_at : float
            Time in seconds at which the request was sent. A response without a limit ends the
            limit only if its request was sent after the last response that named one, since
            responses on different connections may overtake each other.
        now : float
            Time in seconds at which the response arrived.
        """
        known = self.limits.get(target)
        if per_s is None and (known is None or known.per_s is None):
            return False
        if per_s is None and sent_at <= known.confirmed_at:
            return False
        if known is not None and known.per_s == per_s:
            self.limits[target] = attrs.evolve(known, confirmed_at=now)
            return False
        self.put(target, per_s, now, now, observed=True)
        return True

    def merge(self, target: str, per_s: float | None, since: float, confirmed_at: float) -> bool:
        """Apply what another process knows of a target; return whether the limit changed.

        Times are in seconds on this process's clock.
        """
        known = self.limits.get(target)
        if known is not None and known.confirmed_at >= confirmed_at:
            return False
        if known is None and per_s is None:
            return False
        if known is not None and known.per_s == per_s:
            self.limits[target] = attrs.evolve(known, confirmed_at=confirmed_at)
            return False
        self.put(target, per_s, since, confirmed_at, observed=False)
        return True

    def put(
        self, target: str, per_s: float | None, since: float, confirmed_at: float, observed: bool
    ) -> None:
        """Replace what is known of a target."""
        revision = self.revisions.advance()
        if observed:
            self.observed_revision = revision
        self.limits[target] = Limit(per_s, since, confirmed_at, revision, observed)
        if len(self.limits) > MAX_TARGETS:
            oldest = min(self.limits, key=lambda name: self.limits[name].confirmed_at)
            del self.limits[oldest]

    def changes_after(self, revision: int, observed_only: bool) -> dict[str, Limit]:
        """Return the limits that became known after a revision, by target id."""
        found = {}
        for target, limit in self.limits.items():
            if limit.revision > revision and (limit.observed or not observed_only):
                found[target] = limit
        return found

    def remove(self, target: str) -> None:
        """Remove a target that has left or restarted."""
        self.limits.pop(target, None)


def parse_rate(text: str | None) -> float | None:
    """Return a rate in a header field, or None if it is missing, malformed or negative."""
    if text is None or not DECIMAL.fullmatch(text.strip()):
        return None
    return float(text)
