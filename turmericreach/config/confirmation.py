"""Which live daemons have confirmed a generation."""

from collections.abc import Mapping

import attrs

__all__ = ["Confirmation"]


@attrs.frozen
class Confirmation:
    """Progress of one generation over the live daemons.

    Attributes
    ----------
    missing : list of str
        Live daemons that have a lower generation in force.
    """

    generation: int
    confirmed: int
    missing: list[str]

    @classmethod
    def from_generations(cls, generation: int, live: Mapping[str, int]) -> "Confirmation":
        """Compare the generations that the live members report, by member name."""
        missing = sorted(name for name, held in live.items() if held < generation)
        return cls(generation, len(live) - len(missing), missing)

    @property
    def complete(self) -> bool:
        """Whether every live daemon has confirmed; never true without any daemon."""
        return self.confirmed > 0 and not self.missing
