"""Fencing tokens, which combine a weight version and the start time of the agent process."""

__all__ = ["MAX_VERSION", "FencingTokens", "fencing_token", "version_of"]

# A fencing token has 63 bits: 31 for the version and 32 for the start time in seconds.
START_BITS = 32
MAX_VERSION = 2**31 - 1
MAX_START = 2**START_BITS - 1
MAX_FENCING = 2**63 - 1


def fencing_token(version: int, start: int) -> int:
    """Combine a version and a start time; a higher version always gives a higher token.

    Parameters
    ----------
    version : int
        Weight version.
    start : int
        Start time of the process in seconds of the wall clock.

    Raises
    ------
    ValueError
        If the version or the start time is out of range.
    """
    if not 0 <= version <= MAX_VERSION or not 0 <= start <= MAX_START:
        raise ValueError(f"version {version} or start time {start} is out of range")
    return version << START_BITS | start


def version_of(fencing: int) -> int:
    """Return the version that is part of a fencing token."""
    return fencing >> START_BITS


class FencingTokens:
    """Fencing tokens for the orders of one agent process to one target.

    Versions and start times only increase, so the tokens also increase across restarts of the
    agent. If the engine has nevertheless seen a higher token, for example because the clock of
    the host stepped back, `raise_above` makes all later tokens exceed it.

    Parameters
    ----------
    started_s : int
        Start time of the process in seconds of the wall clock.
    """

    def __init__(self, started_s: int):
        self.start = min(max(started_s, 0), MAX_START)
        self.minimum = 0

    def token(self, version: int) -> int:
        """Return the fencing token for an order of a version."""
        return max(fencing_token(version, self.start), self.minimum)

    def raise_above(self, seen: int):
        """Make all later tokens exceed a token that the engine has seen."""
        self.minimum = max(self.minimum, min(seen + 1, MAX_FENCING))
