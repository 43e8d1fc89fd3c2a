"""Log of the order in which named records changed."""

from collections.abc import Iterator

__all__ = ["ChangeLog"]


class ChangeLog:
    """Maps each name to the position of its last change, ordered by position.

    A change replaces the earlier entry of the same name.
    """

    def __init__(self):
        self.positions: dict[str, int] = {}

    def record_change(self, name: str, position: int):
        """Record a change at a position, which is higher than all earlier ones."""
        self.positions.pop(name, None)
        self.positions[name] = position

    def remove(self, name: str):
        """Remove the entry of a name, if there is one."""
        self.positions.pop(name, None)

    def changes_after(self, position: int) -> Iterator[tuple[str, int]]:
        """Return (name, position) of the changes after a position, the earliest first."""
        changed = []
        for name, at in reversed(self.positions.items()):
            if at <= position:
                break
            changed.append((name, at))
        return reversed(changed)

    def prune(self, max_names: int):
        """Remove the earliest changes beyond `max_names` names."""
        while len(self.positions) > max_names:
            self.positions.pop(next(iter(self.positions)))
