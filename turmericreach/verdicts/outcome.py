"""The outcome of one attempt at a target."""

import attrs

from turmericreach.verdicts.verdict import Verdict

__all__ = ["Outcome", "Segment"]


@attrs.frozen
class Segment:
    """Consecutive tokens generated with one version of the weights, as reported by the engine.

    Attributes
    ----------
    version : int
        Version of the weights.
    tokens : int
        Number of tokens.
    """

    version: int
    tokens: int


@attrs.frozen
class Outcome:
    """The end of one attempt.

    Attributes
    ----------
    verdict : Verdict
        Whether the attempt ran at the target.
    code : str
        Stable error code, empty for an answered attempt.
    status : int
        HTTP status of the target's response, 0 if there is none.
    headers : list of (str, str)
        Names and values of the response headers from the target.
    body : bytes
        Response body; empty if it was streamed to the caller.
    segments : list of Segment
        Versions of the weights that generated the tokens; empty for services without engines.
    retry_after_s : float
        Seconds after which a retry may succeed, 0 if unknown.
    evidence : str
        Process that determined the verdict, and its reason.
    load : int
        Number of requests in flight at the target when the attempt ended.
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
