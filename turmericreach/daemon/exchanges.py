"""Concurrent exchanges with several peers."""

import asyncio

from turmericreach.telemetry import events, log_event

__all__ = ["Exchanges"]


class Exchanges:
    """Runs at most one exchange with each peer, without waiting for any of them.

    A call to a frozen peer takes seconds to time out; waiting for it would delay the reports to the
    other peers until they suspect this process.

    Attributes
    ----------
    running : dict of str to asyncio.Task
        Running exchanges by name.
    """

    def __init__(self):
        self.running: dict[str, asyncio.Task] = {}

    def begin(self, name: str, exchange, peer) -> None:
        """Start an exchange with a peer unless the last one of this name still runs.

        Parameters
        ----------
        name : str
            Name of the exchange with this peer; an unexpected error is logged under it.
        exchange : callable
            Coroutine function that is called with the peer.
        peer : object
            Address or record of the peer.
        """
        if name in self.running:
            return
        task = asyncio.ensure_future(exchange(peer))
        self.running[name] = task
        task.add_done_callback(lambda done: self.end(name, done))

    def end(self, name: str, task: asyncio.Task) -> None:
        """Remove an exchange that ended and log an unexpected error."""
        self.running.pop(name, None)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        text = f"{type(error).__name__}: {error}"
        log_event(events.INTERNAL_ERROR, error=text, where=name)
