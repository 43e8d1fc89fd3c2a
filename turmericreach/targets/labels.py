"""Building the label of a sample from what the engine reports with each chunk."""

from turmericreach.verdicts import Segment

__all__ = ["LabelBuilder"]


class LabelBuilder:
    """Joins the versions of consecutive chunks into segments.

    Attributes
    ----------
    complete : bool
        False once a chunk with tokens came without a version or a token count; the label is then
        unknown and must not be guessed.
    tokens : int
        Tokens counted so far.
    """

    def __init__(self):
        self.complete = True
        self.tokens = 0
        self.runs: list[list[int]] = []

    def add(self, version: int | None, tokens: int | None) -> None:
        """Add the report of one chunk."""
        if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 0:
            self.complete = False
            return
        if tokens == 0:
            return
        self.tokens += tokens
        if isinstance(version, bool) or not isinstance(version, int):
            self.complete = False
            return
        if self.runs and self.runs[-1][0] == version:
            self.runs[-1][1] += tokens
            return
        self.runs.append([version, tokens])

    def segments(self) -> list[Segment]:
        """Return the label so far."""
        return [Segment(version, tokens) for version, tokens in self.runs]
