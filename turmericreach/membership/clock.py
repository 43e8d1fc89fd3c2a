"""Time that counts towards declaring members gone."""

__all__ = ["AttentiveClock"]

# The daemon ticks at least once a second, so a longer gap means that it was frozen.
PAUSE_S = 2.0
CONTACT_S = 3.0


class AttentiveClock:
    """Two clocks that stop while this daemon cannot judge its peers.

    Attributes
    ----------
    awake_s : float
        Seconds without the gaps in which this process was frozen.
    attentive_s : float
        The same, without the time in which no other daemon and no platform answered. Silence
        then says more about the own network than about the others.
    """

    def __init__(self, now: float):
        self.last = now
        self.contact_at = now
        self.awake_s = 0.0
        self.attentive_s = 0.0

    def tick(self, now: float):
        """Advance to `now`."""
        gap_s = max(0.0, now - self.last)
        self.last = max(self.last, now)
        if gap_s > PAUSE_S:
            # What the peers sent meanwhile is still in the socket buffers.
            self.contact_at = now
            return
        self.awake_s += gap_s
        if now - self.contact_at <= CONTACT_S:
            self.attentive_s += gap_s

    def contact(self, now: float):
        """Note that another daemon or the platform was heard."""
        self.tick(now)
        self.contact_at = max(self.contact_at, now)
