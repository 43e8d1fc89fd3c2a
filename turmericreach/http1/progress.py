"""Progress of a peer that sends or reads slowly."""

__all__ = ["MIN_BYTES_PER_S", "SLOW_READER_TIMEOUT_S", "Progress"]

# A peer that sends or reads less than this is cut off; no usual link is as slow.
MIN_BYTES_PER_S = 256
# Interval in which the client of an unread response must make progress.
SLOW_READER_TIMEOUT_S = 30.0


class Progress:
    """Compares the bytes that a peer has transferred at the begin and at the end of an interval.

    Load pattern: crowds of clients that send or read a byte at a time keep connections, while a
    client on a slow link that transfers a large body takes longer than any fixed total time.

    Attributes
    ----------
    transferred : int
        Number of bytes at the begin of the present interval.
    """

    def __init__(self):
        self.transferred = 0

    def restart(self, transferred: int) -> None:
        """Begin an interval."""
        self.transferred = transferred

    def is_made(self, transferred: int, interval_s: float) -> bool:
        """Return whether enough bytes were transferred in an interval, and begin the next one."""
        made = transferred - self.transferred >= MIN_BYTES_PER_S * interval_s
        self.transferred = transferred
        return made
