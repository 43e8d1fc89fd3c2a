"""A value that its readers see with a lag."""

from collections import deque

__all__ = ["LaggedValue"]


class LaggedValue:
    """Keeps the recent history of a value.

    Parameters
    ----------
    initial : object
        What readers see before the first change becomes visible.
    max_lag_s : float
        History older than this, in seconds, is forgotten.
    """

    def __init__(self, initial, max_lag_s=60.0):
        self.visible = initial
        self.max_lag_s = max_lag_s
        self.changes = deque()

    def put(self, now, value):
        """Record the value at time `now` (seconds)."""
        if self.changes and self.changes[-1][1] == value:
            return
        self.changes.append((now, value))
        self.forget(now - self.max_lag_s)

    def forget(self, before):
        """Drop the history up to the time `before`, but keep the value of that time."""
        while self.changes and self.changes[0][0] <= before:
            self.visible = self.changes.popleft()[1]

    def get(self, now, lag_s):
        """Return the value as it was `lag_s` seconds before `now`."""
        seen = self.visible
        for changed, value in self.changes:
            if changed > now - lag_s:
                break
            seen = value
        return seen
