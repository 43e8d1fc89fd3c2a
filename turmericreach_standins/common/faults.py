"""The faults that a stand-in shows at the moment."""

import asyncio
import contextlib

__all__ = ["FaultError", "Faults"]


class FaultError(ValueError):
    """A fault setting with an unknown name or a value of the wrong type."""


class Faults:
    """Current faults of one stand-in, by name.

    Parameters
    ----------
    known : iterable of str
        Names that this stand-in understands.
    """

    def __init__(self, known):
        self.known = frozenset(known)
        self.values = {}
        self.frozen_until = 0.0
        self.listeners = []
        self.changed = asyncio.Event()

    def merge(self, changes, now):
        """Merge `changes` into the faults; a value of None removes a fault.

        Raises
        ------
        FaultError
            If a name is unknown or a value is not a boolean or a number of at least 0.
        """
        for name, value in changes.items():
            if name not in self.known:
                raise FaultError(f"unknown fault {name!r}; known: {', '.join(sorted(self.known))}")
            if value is not None and (not isinstance(value, (bool, int, float)) or value < 0):
                raise FaultError(f"fault {name!r} takes a boolean or a number of at least 0")
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

    def take(self, name):
        """Use up one occurrence of a counted fault.

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
        """Tell whether a freeze is in force at `now`."""
        return now < self.frozen_until

    async def wait_unfrozen(self):
        """Wait until no freeze is in force."""
        loop = asyncio.get_running_loop()
        while self.is_frozen(loop.time()):
            await self.wait_change(self.frozen_until - loop.time())

    async def wait_change(self, timeout_s=None):
        """Wait until the faults change, or until `timeout_s` seconds have passed."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.changed.wait(), timeout_s)
