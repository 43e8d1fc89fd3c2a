"""Clock for failure detection, without the time in which peers cannot be observed."""

__all__ = ["ContactClock"]

# The process ticks at least once a second, so a longer gap means that it was frozen.
FROZEN_AFTER_S = 2.0
# Without contact for this long, the process counts as disconnected.
CONTACT_TIMEOUT_S = 3.0


class ContactClock:
    """Two clocks that stop while this process cannot tell whether its peers are alive.

    Attributes
    ----------
    running_s : float
        Seconds that this process ran, without the gaps in which it was frozen.
    connected_s : float
        The same, without the time in which neither another process nor the platform was in
        contact. In that time the own network is more likely at fault than all peers at once.
    """

    def __init__(self, now: float):
        self.last_tick_at = now
        self.last_contact_at = now
        self.running_s = 0.0
        self.connected_s = 0.0

    def tick(self, now: float):
        """Advance to `now`, in seconds of the loop's clock."""
        gap_s = max(0.0, now - self.last_tick_at)
        self.last_tick_at = max(self.last_tick_at, now)
        if gap_s > FROZEN_AFTER_S:
            # Messages that arrived meanwhile are still in the socket buffers, so the absence of
            # contact during the gap is not held against the peers.
            self.last_contact_at = now
            return
        self.running_s += gap_s
        if now - self.last_contact_at <= CONTACT_TIMEOUT_S:
            self.connected_s += gap_s

    def record_contact(self, now: float):
        """Record contact with another process or the platform."""
        self.tick(now)
        self.last_contact_at = max(self.last_contact_at, now)
