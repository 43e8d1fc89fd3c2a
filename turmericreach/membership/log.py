"""Order in which names changed."""

from collections.abc import Iterator

__all__ = ["ChangeLog"]


class ChangeLog:
    """Keeps for each name the position of its last change; old positions are forgotten."""

    def __init__(self):
        self.positions: dict[str, int] = {}

    def touch(self, name: str, position: int):
        """Record a change at a position above all earlier ones."""
        self.positions.pop(name, None)
        self.positions[name] = position

    def drop(self, name: str):
        """Forget a name."""
        self.positions.pop(name, None)

    def since(self, position: int) -> Iterator[tuple[str, int]]:
        """Return the names changed after a position, the earliest change first."""
        changed = []
        for name, at in reversed(self.positions.items()):
            if at <= position:
                break
            changed.append((name, at))
        return reversed(changed)

    def prune(self, keep: int):
        """Forget the earliest changes beyond `keep` names."""
        while len(self.positions) > keep:
            self.positions.pop(next(iter(self.positions)))
