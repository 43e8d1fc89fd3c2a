"""Budgets of work that is done a second time."""

import attrs

__all__ = ["Budget"]


@attrs.define
class Budget:
    """Permits extra work in proportion to the first attempts.

    Load pattern: under overload more attempts fail or take long, and if each of them were repeated,
    the repetitions would take the capacity that the first attempts need. With a budget the extra
    work stays a fixed share of the load, whatever its cause.

    Attributes
    ----------
    share : float
        Extra attempts that each first attempt permits.
    capacity : float
        Largest number of extra attempts that may be saved up.
    saved : float
        Extra attempts permitted now.
    used, denied : int
        Numbers of extra attempts that were permitted and that were not.
    """

    share: float
    capacity: float
    saved: float = attrs.field(default=attrs.Factory(lambda self: self.capacity, takes_self=True))
    used: int = 0
    denied: int = 0

    def earn(self, attempts: int = 1) -> None:
        """Record first attempts."""
        self.saved = min(self.saved + attempts * self.share, self.capacity)

    def take(self) -> bool:
        """Use one extra attempt if one is permitted; return whether it is."""
        if self.saved < 1.0:
            self.denied += 1
            return False
        self.saved -= 1.0
        self.used += 1
        return True
