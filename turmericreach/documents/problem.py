"""A problem in a document."""

import attrs

__all__ = ["Problem"]


@attrs.frozen(order=True)
class Problem:
    """One problem in a document.

    Attributes
    ----------
    line : int
        Line, counted from 1; 0 if the problem belongs to no line.
    key : str
        Key path of the value, such as ``targets[3].slots``; empty for the whole document.
    message : str
        What is wrong and what was expected, in one line.
    """

    line: int
    key: str
    message: str

    def render(self, source: str) -> str:
        """Return the problem in one line, with the name of its document."""
        where = f"{source}:{self.line}" if self.line else source
        return f"{where}: {self.key}: {self.message}" if self.key else f"{where}: {self.message}"
