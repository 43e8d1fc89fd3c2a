"""Reload of settings while the process runs."""

import asyncio
from collections.abc import Callable

import attrs

from turmericreach.node.settings import NodeSettings
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.verdicts import TurmericreachError

__all__ = ["SettingsWatch"]

# The file is also polled, since it may change without a signal.
POLL_S = 2.0
# Settings that take effect only after a restart: names and addresses by which other processes know
# this one, and the placement policy.
RESTART_SETTINGS = (
    "host",
    "role",
    "data_centre",
    "ip",
    "caller_address",
    "ready_address",
    "peer_port",
    "metrics_port",
    "placement",
    "overload_control",
)


class SettingsWatch:
    """Reloads the settings on a signal and every `POLL_S` seconds.

    Parameters
    ----------
    settings : NodeSettings
        The settings at the start.
    read : callable
        Loads and validates the settings; raises `TurmericreachError` if they are invalid.
    apply : callable
        Applies settings; those that need a restart have their previous values.

    Attributes
    ----------
    current : NodeSettings
        The settings in force.
    last_read : NodeSettings
        The settings loaded last, including changes that need a restart.
    problem : str
        Error of the last reload, empty if it succeeded.
    """

    def __init__(
        self,
        settings: NodeSettings,
        read: Callable[[], NodeSettings],
        apply: Callable[[NodeSettings], None],
    ):
        self.current = settings
        self.last_read = settings
        self.read = read
        self.apply = apply
        self.problem = ""

    async def run(self) -> None:
        """Poll the settings until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            self.reload("poll")

    def reload(self, trigger: str) -> None:
        """Load the settings and apply those that can change while the process runs.

        A poll that finds no change, or the same error as before, is not logged; a reload on a
        signal always is.

        Parameters
        ----------
        trigger : str
            ``poll`` or the name of the signal.
        """
        try:
            loaded = self.read()
        except TurmericreachError as error:
            if trigger != "poll" or str(error) != self.problem:
                log_event(events.SETTINGS_UNREADABLE, trigger=trigger, problem=str(error))
            self.problem = str(error)
            return
        self.problem = ""
        if loaded == self.last_read and trigger == "poll":
            return
        self.last_read = loaded
        previous = self.current
        self.current = attrs.evolve(
            loaded, **{name: getattr(previous, name) for name in RESTART_SETTINGS}
        )
        if self.current != previous:
            self.apply(self.current)
        log_event(
            events.NODE_RELOADED,
            outcome=describe(previous, self.current, loaded),
            trigger=trigger,
            settings=str(self.current),
        )


def describe(previous: NodeSettings, current: NodeSettings, loaded: NodeSettings) -> str:
    """Return a text that lists the settings applied and those that need a restart."""
    changed = changed_names(previous, current)
    pending = changed_names(current, loaded)
    parts = []
    if changed:
        parts.append(f"{', '.join(changed)} in force")
    if pending:
        parts.append(f"{', '.join(pending)} after a restart")
    return "; ".join(parts) or "nothing changed"


def changed_names(one: NodeSettings, other: NodeSettings) -> list[str]:
    """Return the names of the settings that differ between two sets of settings."""
    names = [field.name for field in attrs.fields(NodeSettings)]
    return [name for name in names if getattr(one, name) != getattr(other, name)]
