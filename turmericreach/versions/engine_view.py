"""The state of an engine that the planning of versions depends on."""

from collections.abc import Mapping

import attrs

__all__ = ["EngineView"]

# Assumed seconds per event of an engine that has not produced events yet.
DEFAULT_EVENT_S = 0.045


@attrs.frozen
class EngineView:
    """The state of an engine that planning depends on.

    Attributes
    ----------
    id : str
        Id of the target.
    versions : dict of str to int
        Loaded version of the weights by model.
    slots : int
        Number of requests that the engine processes concurrently.
    event_s : float
        Seconds per event, 0 if unknown.
    loading : bool
        Whether the engine is, or may be, processing a load order.
    limit_events_per_s : float
        Events per second of the requests that its limit permits, infinite without a limit. A
        limited engine runs few requests at a time, each faster, so its speed says too much.
    service : str
        Service of the engine.
    """

    id: str
    versions: Mapping[str, int]
    slots: int = 1
    event_s: float = 0.0
    loading: bool = False
    limit_events_per_s: float = float("inf")
    service: str = ""

    def capacity(self) -> float:
        """Return the events per second with all slots occupied, or as its limit permits."""
        return min(self.slots / (self.event_s or DEFAULT_EVENT_S), self.limit_events_per_s)
