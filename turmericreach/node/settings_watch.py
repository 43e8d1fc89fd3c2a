"""Settings that change while the process runs."""

import asyncio
from collections.abc import Callable

import attrs

from turmericreach.node.settings import NodeSettings
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.verdicts import TurmericreachError

__all__ = ["SettingsWatch"]

# The file may change without a signal.
POLL_S = 2.0
# Names and addresses by which others know the process, and how it places requests.
FIXED = (
    "host",
    "role",
    "data_centre",
    "ip",
    "caller_address",
    "ready_address",
    "peer_port",
    "metrics_port",
    "placement",
)


class SettingsWatch:
    """Reads the settings again on a signal and every `POLL_S` seconds.

    Parameters
    ----------
    settings : NodeSettings
        The settings in force.
    read : callable
        Reads and checks the settings; raises `TurmericreachError` if they are not usable.
    apply : callable
        Puts settings in force; their fixed part is that of the former ones.

    Attributes
    ----------
    current : NodeSettings
        The settings in force.
    seen : NodeSettings
        What was read last, with changes that need a restart.
    problem : str
        Why the last reading failed, empty if it did not.
    """

    def __init__(
        self,
        settings: NodeSettings,
        read: Callable[[], NodeSettings],
        apply: Callable[[NodeSettings], None],
    ):
        self.current = settings
        self.seen = settings
        self.read = read
        self.apply = apply
        self.problem = ""

    async def run(self) -> None:
        """Read the settings again and again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            self.reload("poll")

    def reload(self, trigger: str) -> None:
        """Read the settings and put in force what can change while the process runs.

        A poll that finds nothing new leaves no log line; a signal always leaves one.
        """
        try:
            found = self.read()
        except TurmericreachError as error:
            if trigger != "poll" or str(error) != self.problem:
                log_event(events.SETTINGS_UNREADABLE, trigger=trigger, problem=str(error))
            self.problem = str(error)
            return
        self.problem = ""
        if found == self.seen and trigger == "poll":
            return
        self.seen = found
        former = self.current
        self.current = attrs.evolve(found, **{name: getattr(former, name) for name in FIXED})
        if self.current != former:
            self.apply(self.current)
        log_event(
            events.NODE_RELOADED,
            outcome=describe(former, self.current, found),
            trigger=trigger,
            settings=str(self.current),
        )


def describe(former: NodeSettings, current: NodeSettings, found: NodeSettings) -> str:
    """Return which settings changed, and which of them need a restart."""
    changed = names_of_changes(former, current)
    waiting = names_of_changes(current, found)
    parts = []
    if changed:
        parts.append(f"{', '.join(changed)} in force")
    if waiting:
        parts.append(f"{', '.join(waiting)} after a restart")
    return "; ".join(parts) or "nothing changed"


def names_of_changes(one: NodeSettings, other: NodeSettings) -> list[str]:
    """Return the names of the settings that differ."""
    names = [field.name for field in attrs.fields(NodeSettings)]
    return [name for name in names if getattr(one, name) != getattr(other, name)]
