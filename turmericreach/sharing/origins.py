"""Software that began the streams of callers, as known to several processes."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from turmericreach.ownership import rank

__all__ = ["ASKED_REPLICAS", "REMEMBER_S", "REPLICAS", "OriginTable", "StreamOrigin", "replicas_of"]

# Time in seconds for which a caller may come back for the rest of a stream.
REMEMBER_S = 300.0
# Bound on the origins that a process keeps; those used last are kept.
MAX_ORIGINS = 20_000
# Longest id of an attempt that is kept. Ids come from callers.
MAX_ID_CHARS = 128
# Copies of an origin at other processes.
REPLICAS = 2
# Processes that are asked for an origin. They are more than hold copies, since processes have
# started and ended since the copies were made.
ASKED_REPLICAS = 4


@attrs.frozen
class StreamOrigin:
    """What is known of the attempt of a caller that brought the first event of a stream.

    Attributes
    ----------
    software : str
        Software of the target that began the stream.
    order : int
        Number of the target among those that the attempt was sent to; the last one counts.
    used_at : float
        Time in seconds at which the origin was recorded or last looked up.
    """

    software: str
    order: int
    used_at: float


class OriginTable:
    """Software that began the streams of callers, by the attempt that brought the first event.

    Load pattern: a gateway ends in the middle of a hundred streams, and their callers come back to
    other gateways within a second, perhaps after another one has ended too. Each gateway tells two
    others which software began a stream, so that the messages and the memory grow with the streams
    and not with the gateways.

    Attributes
    ----------
    origins : OrderedDict of str to StreamOrigin
        Origins by id of the attempt, those used longest ago first.
    """

    def __init__(self):
        self.origins: OrderedDict[str, StreamOrigin] = OrderedDict()

    def record(self, attempt: str, software: str, order: int, now: float) -> bool:
        """Record the software that began a stream; return whether the origin is kept."""
        if not attempt or len(attempt) > MAX_ID_CHARS:
            return False
        known = self.origins.get(attempt)
        if known is not None and known.order > order:
            return False
        self.origins[attempt] = StreamOrigin(software, order, now)
        self.origins.move_to_end(attempt)
        self.expire(now)
        return True

    def find(self, attempt: str, now: float) -> str:
        """Return the software that began a stream, empty if it is unknown."""
        known = self.origins.get(attempt)
        if known is None or now - known.used_at > REMEMBER_S:
            return ""
        self.origins[attempt] = attrs.evolve(known, used_at=now)
        self.origins.move_to_end(attempt)
        return known.software

    def expire(self, now: float) -> None:
        """Remove the origins that are too old or too many."""
        while self.origins:
            oldest = next(iter(self.origins.values()))
            if len(self.origins) <= MAX_ORIGINS and now - oldest.used_at <= REMEMBER_S:
                return
            self.origins.popitem(last=False)


def replicas_of(attempt: str, hosts: Iterable[str], number: int) -> list[str]:
    """Return the hosts that hold the copies of a stream's origin, the preferred ones first."""
    return rank(f"stream:{attempt}", hosts)[:number]
