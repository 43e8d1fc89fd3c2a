"""Fault injection settings of a stand-in."""

import asyncio
import contextlib

__all__ = ["FaultError", "Faults"]


class FaultError(ValueError):
    """A fault setting with an unknown name or a value of the wrong type."""


class Faults:
    """Faults that one stand-in currently simulates.

    Parameters
    ----------
    known_names : iterable of str
        Names of the faults that this stand-in supports.

    Attributes
    ----------
    values : dict of str to bool or float
        Faults that are set, by name.
    frozen_until : float
        Instant in seconds at which the fault ``freeze_s`` ends.
    listeners : list of callable
        Called with the changes after each merge.
    changed : asyncio.Event
        Set at the next merge, which then replaces it by a new event.
    """

    def __init__(self, known_names):
        self.known_names = frozenset(known_names)
        self.values = {}
        self.frozen_until = 0.0
        self.listeners = []
        self.changed = asyncio.Event()

    def merge(self, changes, now):
        """Set the faults in `changes`; a value of None removes a fault.

        ``freeze_s`` freezes the stand-in for that many seconds from `now`.

        Raises
        ------
        FaultError
            If a name is unknown, or a value is neither None nor a boolean nor a number of at
            least 0. No fault is changed then.
        """
        for name, value in changes.items():
            if name not in self.known_names:
                raise FaultError(
                    f"unknown fault {name!r}; known: {', '.join(sorted(self.known_names))}"
                )
            if value is not None and (not isinstance(value, (bool, int, float)) or value < 0):
                raise FaultError(f"fault {name!r} must be a boolean or a number of at least 0")
        for name, value in changes.items():
            if value is None:
                self.values.pop(name, None)
            else:
                self.values[name] = value
        if "freeze_s" in changes:
            self.frozen_until = now + (changes["freeze_s"] or 0)
        for listener in self.listeners:
            listener(changes)
        self.changed.set()
        self.changed = asyncio.Event()

    def get(self, name, default=0):
        """Return the value of a fault, or `default` if it is not set."""
        return self.values.get(name, default)

    def consume(self, name):
        """Use up one occurrence of a counted fault and return whether there was one.

        A value of True has no count and stays until it is removed.
        """
        value = self.values.get(name, 0)
        if not value:
            return False
        if value is True:
            return True
        if value <= 1:
            del self.values[name]
        else:
            self.values[name] = value - 1
        return True

    def is_frozen(self, now):
        """Return whether the stand-in is frozen at `now`."""
        return now < self.frozen_until

    async def wait_unfrozen(self):
        """Wait until the stand-in is not frozen."""
        loop = asyncio.get_running_loop()
        while self.is_frozen(loop.time()):
            await self.wait_change(self.frozen_until - loop.time())

    async def wait_change(self, timeout_s=None):
        """Wait until the faults change, or until `timeout_s` seconds have passed."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.changed.wait(), timeout_s)
