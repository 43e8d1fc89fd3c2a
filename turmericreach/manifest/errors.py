"""Exceptions of the package manifest."""

from turmericreach.documents import Problem
from turmericreach.verdicts import TurmericreachError

__all__ = ["GenerationConflict", "ManifestError"]


class ManifestError(TurmericreachError):
    """A manifest that is invalid or cannot be decoded.

    Parameters
    ----------
    source : str
        Name of the document, used in the message.
    problems : list of Problem
        All problems found; the message lists them by line.
    """

    def __init__(self, source: str, problems: list[Problem]):
        self.source = source
        self.problems = sorted(problems)
        super().__init__("\n".join(problem.render(source) for problem in self.problems))


class GenerationConflict(TurmericreachError):
    """The generation in force is not the one that a change was made from.

    Parameters
    ----------
    expected : int
        Generation that the change was made from.
    actual : int
        Generation in force.
    """

    def __init__(self, expected: int, actual: int):
        self.expected = expected
        self.actual = actual
        super().__init__(f"made from generation {expected}, but generation {actual} is in force")
