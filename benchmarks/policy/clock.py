"""Discrete-event clock: a heap of callbacks ordered by virtual time."""

import heapq
import itertools

__all__ = ["VirtualClock"]


class VirtualClock:
    """Run callbacks in the order of their times; ties run in the order of scheduling.

    Attributes
    ----------
    now : float
        Virtual time in seconds since the start of the run.
    """

    def __init__(self):
        self.now = 0.0
        self.heap = []
        self.numbers = itertools.count()

    def at(self, time, callback, *arguments):
        """Schedule a callback at a time in seconds; a past time counts as now."""
        entry = (max(time, self.now), next(self.numbers), callback, arguments)
        heapq.heappush(self.heap, entry)

    def after(self, delay_s, callback, *arguments):
        """Schedule a callback after a delay in seconds."""
        self.at(self.now + delay_s, callback, *arguments)

    def run(self, until, is_over=lambda: False):
        """Run the callbacks up to a time in seconds, or until `is_over` returns true."""
        while self.heap and self.heap[0][0] <= until and not is_over():
            self.now, _, callback, arguments = heapq.heappop(self.heap)
            callback(*arguments)
