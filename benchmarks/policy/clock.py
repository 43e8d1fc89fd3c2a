"""Virtual time: a heap of callbacks."""

import heapq
import itertools

__all__ = ["VirtualClock"]


class VirtualClock:
    """Runs callbacks in the order of their times; ties run in the order of scheduling."""

    def __init__(self):
        self.now = 0.0
        self.heap = []
        self.numbers = itertools.count()

    def at(self, time, callback, *arguments):
        """Call back at a time in seconds, at once if it has passed."""
        entry = (max(time, self.now), next(self.numbers), callback, arguments)
        heapq.heappush(self.heap, entry)

    def after(self, delay_s, callback, *arguments):
        """Call back after a delay in seconds."""
        self.at(self.now + delay_s, callback, *arguments)

    def run(self, until, is_over=lambda: False):
        """Run the callbacks up to a time or until `is_over`."""
        while self.heap and self.heap[0][0] <= until and not is_over():
            self.now, _, callback, arguments = heapq.heappop(self.heap)
            callback(*arguments)
