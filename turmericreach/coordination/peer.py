"""What a process knows of another process."""

import attrs

from turmericreach.coordination.messages import PeerStatus

__all__ = ["Peer"]


@attrs.define(eq=False)
class Peer:
    """Another process.

    Attributes
    ----------
    host : str
        Host of the process.
    address : str
        Address ``ip:port`` for requests between processes.
    incarnation : str
        Unique id of the run of the process that registered.
    listed_at : float
        Loop time in seconds at which its registration became known here.
    cores : float
        Processor time that it may use according to its registration, in cores; 0 if unknown.
    status : PeerStatus or None
        Last status that it reported, None if there is none yet.
    last_response_at : float
        Loop time in seconds of its last response.
    last_ping_at : float
        Loop time in seconds of the last ping to it.
    failures : int
        Number of consecutive pings without a valid response.
    """

    host: str
    address: str
    incarnation: str
    listed_at: float
    cores: float = 0.0
    status: PeerStatus | None = None
    last_response_at: float = float("-inf")
    last_ping_at: float = float("-inf")
    failures: int = 0

    def response_age_s(self, now: float) -> float:
        """Return the seconds since its last response, or since its registration became known."""
        return now - max(self.last_response_at, self.listed_at)
