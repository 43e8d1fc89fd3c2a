"""Progress of the exchange of table changes with each peer."""

import attrs

__all__ = ["PeerView"]


@attrs.define
class PeerView:
    """Progress of the exchange with one peer.

    Attributes
    ----------
    process : int
        Process of the peer that numbered `position`.
    position : int
        Position of the last change of the peer's table that was received without a gap.
    known : set of str
        Members that the peer sent and did not remove. The peer has recent contact with them
        unless it lists them as silent.
    seen : int
        Sequence of the own record that the peer confirmed.
    confirmed : int
        Position of the last change of the own table that the peer confirmed in a digest reply.
    """

    process: int = 0
    position: int = 0
    known: set[str] = attrs.field(factory=set)
    seen: int = 0
    confirmed: int = 0

    def reset_if_restarted(self, process: int):
        """Start from the first change if the peer is now another process."""
        if process == self.process:
            return
        self.process = process
        self.position = 0
        self.known = set()

    def advance(self, since: int, position: int, names: list[str], removed: list[str]) -> bool:
        """Advance by the changes after `since`; return False if they leave a gap or are stale."""
        if since > self.position:
            return False
        if position < self.position:
            return False
        if position > self.position:
            self.known.difference_update(removed)
        self.known.update(names)
        self.position = position
        return True
