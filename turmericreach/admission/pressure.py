"""The load of a process as the decisions on requests see it."""

import attrs

__all__ = ["NO_LIMITS", "ProcessLimits", "ProcessLoad"]

# A request that is resumed this much later than planned cannot be answered within 0.2 s together
# with the work of a target.
MAX_LAG_S = 0.2
# Share of the descriptors and of the memory that is in use without any overload.
USUAL_SHARE = 0.5


@attrs.frozen
class ProcessLimits:
    """Limits of a process.

    Attributes
    ----------
    descriptors : float
        File descriptors that the process may have open.
    memory_bytes : float
        Memory that it may use, in bytes.
    """

    descriptors: float = float("inf")
    memory_bytes: float = float("inf")


NO_LIMITS = ProcessLimits()


@attrs.frozen
class ProcessLoad:
    """Measured load of a process.

    Attributes
    ----------
    lag_s : float
        Delay of the event loop in seconds.
    descriptors : int
        Open file descriptors.
    memory_bytes : int
        Used memory in bytes.
    at : float
        Loop time in seconds of the measurement.
    """

    lag_s: float = 0.0
    descriptors: int = 0
    memory_bytes: int = 0
    at: float = float("-inf")

    def pressure(self, limits: ProcessLimits) -> tuple[float, str]:
        """Return the largest used share of a limit, and which one it is."""
        shares = {
            "event loop lag": self.lag_s / MAX_LAG_S,
            "descriptors": beyond_usual(self.descriptors / limits.descriptors),
            "memory": beyond_usual(self.memory_bytes / limits.memory_bytes),
        }
        name = max(shares, key=shares.__getitem__)
        return shares[name], name


def beyond_usual(share: float) -> float:
    """Return the used part of what is left beside the usual use."""
    return max(share - USUAL_SHARE, 0.0) / (1.0 - USUAL_SHARE)
