"""Software versions that the targets of each service have had."""

from collections.abc import Mapping

from turmericreach.sharing.origins import REMEMBER_S

__all__ = ["LISTED", "SoftwareHistory"]

# Stands for the time at which a software was last listed, while it is listed.
LISTED = float("inf")
# A software that was listed within this time in seconds may come back: a target that ended starts
# again within a few seconds.
MAY_RETURN_S = 10.0


class SoftwareHistory:
    """Software of the targets of each service, now and for as long as a stream may be resumed.

    A stream whose origin nobody knows may be resumed only if no second software can have begun it.

    Attributes
    ----------
    last_listed : dict of str to dict of str to float
        Time in seconds at which each software was last listed, by service and software.
    recorded : dict of str to frozenset of str
        Software that the metadata store names, by service. The history of these services is known
        from before the start of this process.
    """

    def __init__(self):
        self.last_listed: dict[str, dict[str, float]] = {}
        self.recorded: dict[str, frozenset[str]] = {}

    def add(self, service: str, software: str) -> None:
        """Record that a target with a software is listed."""
        self.last_listed.setdefault(service, {})[software] = LISTED

    def observe(self, listed: Mapping[str, set[str]], now: float) -> None:
        """Record which software of each service is listed now, and drop what is too old."""
        for service, found in listed.items():
            for software in found:
                self.add(service, software)
        for service, history in list(self.last_listed.items()):
            for software, last in list(history.items()):
                if last == LISTED and software not in listed.get(service, ()):
                    history[software] = now
                elif now - last > REMEMBER_S:
                    del history[software]
            if not history:
                del self.last_listed[service]

    def merge(self, service: str, earlier: Mapping[str, float]) -> None:
        """Apply what the metadata store says of a service, with times of this process's clock.

        What a process lists itself is not taken back.
        """
        history = self.last_listed.setdefault(service, {})
        for software, last in earlier.items():
            history[software] = max(last, history.get(software, last))
        self.recorded[service] = frozenset(earlier)

    def forget(self, service: str) -> None:
        """Record that the history of a service is no longer known from before this process."""
        self.recorded.pop(service, None)

    def is_recorded(self, service: str, software: str) -> bool:
        """Return whether the metadata store names a software, so that every process knows it."""
        return software in self.recorded.get(service, ())

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether targets of a service have had several versions of software lately."""
        return len(self.recent(service, now)) > 1

    def recent(self, service: str, now: float) -> list[str]:
        """Return the software that can have begun a stream that may still be resumed."""
        found = []
        for software, last in self.last_listed.get(service, {}).items():
            if now - last <= REMEMBER_S:
                found.append(software)
        return found

    def only_software(self, service: str, now: float) -> str:
        """Return the only software that can have begun a stream, empty if it is not certain."""
        if service not in self.recorded:
            return ""
        found = self.recent(service, now)
        return found[0] if len(found) == 1 else ""

    def may_return(self, software: str, now: float) -> bool:
        """Return whether a target with a software is listed or may soon be listed again."""
        for history in self.last_listed.values():
            if now - history.get(software, float("-inf")) <= MAY_RETURN_S:
                return True
        return False
