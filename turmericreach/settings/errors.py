"""Exceptions of the package settings."""

from turmericreach.documents import Problem
from turmericreach.verdicts import TurmericreachError

__all__ = ["SettingsError"]


class SettingsError(TurmericreachError):
    """Settings that are invalid or cannot be read; the message is one line.

    Parameters
    ----------
    source : str
        Path of the settings file.
    problems : list of Problem
        All problems found; the message has the first by line and the number of the others.
    """

    def __init__(self, source: str, problems: list[Problem]):
        self.source = source
        self.problems = sorted(problems)
        text = self.problems[0].render(source)
        if len(problems) > 1:
            text += f" (and {len(problems) - 1} more)"
        super().__init__(text)
