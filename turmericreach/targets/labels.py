"""Labels of samples, built from the weight versions reported with each chunk."""

from turmericreach.verdicts import Segment

__all__ = ["LabelBuilder"]


class LabelBuilder:
    """Merges consecutive chunks of the same weight version into segments.

    Attributes
    ----------
    complete : bool
        False once a chunk came without a valid token count, or with tokens but without a version.
        The label is then unknown and must not be guessed.
    tokens : int
        Tokens counted so far.
    spans : list of [int, int]
        Weight version and number of tokens of each segment so far.
    """

    def __init__(self):
        self.complete = True
        self.tokens = 0
        self.spans: list[list[int]] = []

    def add(self, version: int | None, tokens: int | None) -> None:
        """Add the weight version and the token count of one chunk, None where missing."""
        if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 0:
            self.complete = False
            return
        if tokens == 0:
            return
        self.tokens += tokens
        if isinstance(version, bool) or not isinstance(version, int):
            self.complete = False
            return
        if self.spans and self.spans[-1][0] == version:
            self.spans[-1][1] += tokens
            return
        self.spans.append([version, tokens])

    def segments(self) -> list[Segment]:
        """Return the segments of all chunks added so far."""
        return [Segment(version, tokens) for version, tokens in self.spans]
