"""A fault in a document."""

import attrs

__all__ = ["Problem"]


@attrs.frozen(order=True)
class Problem:
    """One fault in a document.

    Attributes
    ----------
    line : int
        Line, counted from 1; 0 if the fault has no place in the text.
    key : str
        Path of the value, such as ``targets[3].slots``.
    message : str
        What is wrong and what was expected, in one line.
    """

    line: int
    key: str
    message: str

    def render(self, source: str) -> str:
        """Return the problem in one line, with the name of its document."""
        place = f"{source}:{self.line}" if self.line else source
        return f"{place}: {self.key}: {self.message}" if self.key else f"{place}: {self.message}"
