"""Limits that targets name for the requests of all processes together."""

import attrs

__all__ = ["Limit", "LimitTable"]


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
    """

    per_s: float | None
    since: float
    confirmed_at: float


class LimitTable:
    """The newest known limit of each target that has named one.

    Attributes
    ----------
    limits : dict of str to Limit
        Limits by target id; targets that never named one are missing.
    """

    def __init__(self):
        self.limits: dict[str, Limit] = {}

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
        self.limits[target] = Limit(per_s, now, now)
        return True

    def remove(self, target: str) -> None:
        """Remove a target that has left or restarted."""
        self.limits.pop(target, None)
