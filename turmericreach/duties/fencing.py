"""Fencing tokens that a receiver has rejected."""

__all__ = ["FencedTokens"]


class FencedTokens:
    """Remembers which tokens must not be used again, by subject.

    Load pattern: a holder was frozen, another one has acted meanwhile, and the receiver rejects the
    token of the first one. A later call with that token could be executed out of order.

    Attributes
    ----------
    rejected : dict of str to int
        Highest rejected token by subject of a duty.
    """

    def __init__(self):
        self.rejected: dict[str, int] = {}

    def reject(self, subject: str, token: int) -> None:
        """Record that the receiver has rejected a token for a subject."""
        self.rejected[subject] = max(self.rejected.get(subject, token), token)

    def may_use(self, subject: str, token: int) -> bool:
        """Return whether a token may be used for a subject."""
        return token > self.rejected.get(subject, -1)
