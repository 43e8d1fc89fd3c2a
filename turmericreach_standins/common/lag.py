"""A value that readers see with a lag."""

from collections import deque

__all__ = ["LaggedValue"]


class LaggedValue:
    """The recent history of a value.

    Parameters
    ----------
    initial : object
        Value that readers see before the first change becomes visible.
    max_lag_s : float
        Largest lag that readers may ask for, in seconds; older history is discarded.
    """

    def __init__(self, initial, max_lag_s=60.0):
        self.base_value = initial
        self.max_lag_s = max_lag_s
        self.changes = deque()

    def record(self, now, value):
        """Record a change to `value` at the instant `now` in seconds."""
        if self.changes and self.changes[-1][1] == value:
            return
        self.changes.append((now, value))
        self.discard_before(now - self.max_lag_s)

    def discard_before(self, instant):
        """Discard the history up to `instant`, but keep the value of that instant."""
        while self.changes and self.changes[0][0] <= instant:
            self.base_value = self.changes.popleft()[1]

    def get(self, now, lag_s):
        """Return the value as it was `lag_s` seconds before `now`."""
        lagged_value = self.base_value
        for changed_at, value in self.changes:
            if changed_at > now - lag_s:
                break
            lagged_value = value
        return lagged_value
