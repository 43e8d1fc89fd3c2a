"""The outcome of one attempt at a target."""

import attrs

from turmericreach.verdicts.verdict import Verdict

__all__ = ["Outcome", "Segment"]


@attrs.frozen
class Segment:
    """A run of tokens that one weight version produced, as the engine reported it."""

    version: int
    tokens: int


@attrs.frozen
class Outcome:
    """The end of one attempt.

    Attributes
    ----------
    verdict : Verdict
        Whether the attempt ran.
    code : str
        Stable error code, empty for an answered attempt.
    status : int
        HTTP status from the target, 0 if there is none.
    headers : list of (str, str)
        Response headers from the target.
    body : bytes
        Response body; empty if it was streamed to the caller.
    segments : list of Segment
        Weight versions of the generated tokens; empty for plain services.
    retry_after_s : float
        Seconds after which a retry may succeed, 0 if unknown.
    evidence : str
        Process that established the verdict and the reason.
    load : int
        Requests in flight at the target when the attempt ended.
    """

    verdict: Verdict
    code: str = ""
    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""
    segments: list[Segment] = attrs.field(factory=list)
    retry_after_s: float = 0.0
    evidence: str = ""
    load: int = 0
