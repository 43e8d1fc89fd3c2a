"""Tracks which live daemons have a generation in force."""

from collections.abc import Mapping

import attrs

__all__ = ["Confirmation"]


@attrs.frozen
class Confirmation:
    """Progress of one generation over the live daemons.

    Attributes
    ----------
    generation : int
        Generation that is to be confirmed.
    confirmed : int
        Number of live daemons that have this generation or a higher one in force.
    missing : list of str
        Names of live daemons that have a lower generation in force, sorted.
    """

    generation: int
    confirmed: int
    missing: list[str]

    @classmethod
    def from_generations(cls, generation: int, live: Mapping[str, int]) -> "Confirmation":
        """Return the progress from the generations that live members report, by member name."""
        missing = sorted(name for name, reported in live.items() if reported < generation)
        return cls(generation, len(live) - len(missing), missing)

    @property
    def complete(self) -> bool:
        """Whether every live daemon has confirmed; False if there is none."""
        return self.confirmed > 0 and not self.missing
