"""Exceptions of the settings."""

from turmericreach.documents import Problem
from turmericreach.verdicts import TurmericreachError

__all__ = ["SettingsError"]


class SettingsError(TurmericreachError):
    """Settings that cannot be used; the text is one line.

    Parameters
    ----------
    source : str
        Path of the file.
    problems : list of Problem
        Faults; the text names the first by line and counts the others.
    """

    def __init__(self, source: str, problems: list[Problem]):
        self.source = source
        self.problems = sorted(problems)
        text = self.problems[0].render(source)
        if len(problems) > 1:
            text += f" (and {len(problems) - 1} more)"
        super().__init__(text)
