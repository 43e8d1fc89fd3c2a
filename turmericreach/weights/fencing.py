"""Fencing numbers: the wanted version joined with the agent's start number."""

__all__ = ["MAX_VERSION", "FencingNumbers", "fencing_number", "version_of"]

# 63 bits: 31 for the version and 32 for the start number in seconds.
START_BITS = 32
MAX_VERSION = 2**31 - 1
MAX_START = 2**START_BITS - 1
MAX_FENCING = 2**63 - 1


def fencing_number(version: int, start: int) -> int:
    """Pack a version and a start number; a higher version always gives a higher number.

    Raises
    ------
    ValueError
        If a part does not fit.
    """
    if not 0 <= version <= MAX_VERSION or not 0 <= start <= MAX_START:
        raise ValueError(f"version {version} or start number {start} does not fit")
    return version << START_BITS | start


def version_of(fencing: int) -> int:
    """Return the version in a fencing number."""
    return fencing >> START_BITS


class FencingNumbers:
    """Numbers for the orders of one agent process to one target.

    Versions and start times only grow, so the numbers are monotone over restarts of the agent.
    An engine that has seen a higher number, for example because the clock of the host stepped
    back, raises all later numbers above it.

    Parameters
    ----------
    started_s : int
        Start time of the process in seconds of the wall clock.
    """

    def __init__(self, started_s: int):
        self.start = min(max(started_s, 0), MAX_START)
        self.floor = 0

    def number(self, version: int) -> int:
        """Return the number for an order of a version."""
        return max(fencing_number(version, self.start), self.floor)

    def raise_above(self, seen: int):
        """Make all later numbers exceed one that the engine has seen."""
        self.floor = max(self.floor, min(seen + 1, MAX_FENCING))
