"""What this daemon holds of the tables of its peers."""

import attrs

__all__ = ["PeerView"]


@attrs.define
class PeerView:
    """Progress with one relay.

    Attributes
    ----------
    process : int
        Process of the relay that counted `position`.
    position : int
        Last change of the relay's table that was received without a gap.
    known : set of str
        Members that the relay sent and did not remove; it vouches for them unless it lists
        them as silent.
    seen : int
        Sequence of the own record that the relay confirmed.
    confirmed : int
        Last change of the own table that the peer confirmed in answer to a digest.
    """

    process: int = 0
    position: int = 0
    known: set[str] = attrs.field(factory=set)
    seen: int = 0
    confirmed: int = 0

    def follow(self, process: int):
        """Start again if the relay is another process."""
        if process == self.process:
            return
        self.process = process
        self.position = 0
        self.known = set()

    def accept(self, since: int, position: int, names: list[str], removed: list[str]) -> bool:
        """Advance by the changes after `since`; False if they leave a gap or are old."""
        if since > self.position:
            return False
        if position < self.position:
            return False
        if position > self.position:
            self.known.difference_update(removed)
        self.known.update(names)
        self.position = position
        return True
