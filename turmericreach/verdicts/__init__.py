"""Verdicts, outcomes and error codes shared by all packages."""

from turmericreach.verdicts.errors import ErrorCode, RequestError, TurmericreachError
from turmericreach.verdicts.outcome import Outcome, Segment
from turmericreach.verdicts.verdict import Verdict

__all__ = ["ErrorCode", "Outcome", "RequestError", "Segment", "TurmericreachError", "Verdict"]
