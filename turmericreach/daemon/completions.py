"""Conversion between rollout attempts and engine calls."""

import attrs
import msgspec

from turmericreach.rpc import Attempt
from turmericreach.targets import Generation, GenerationRequest
from turmericreach.verdicts import ErrorCode, Outcome, RequestError, Verdict

__all__ = ["CompletionBody", "CompletionResult", "generation_outcome", "parse_completion"]


@attrs.frozen
class CompletionBody:
    """Body of a rollout attempt."""

    prompt: str
    max_tokens: int
    temperature: float = 1.0
    seed: int = 0


@attrs.frozen
class CompletionResult:
    """Body of a finished rollout's outcome.

    Attributes
    ----------
    started_version, finished_version : int or None
        Versions that the agent read before the start and after the end, None if a read failed.
    """

    text: str
    tokens: int
    finish_reason: str
    target: str
    attempt_id: str
    started_version: int | None = None
    finished_version: int | None = None


def parse_completion(attempt: Attempt, priority: int) -> GenerationRequest:
    """Return the engine call of a rollout attempt.

    Raises
    ------
    RequestError
        If the body is malformed.
    """
    try:
        body = msgspec.json.decode(attempt.body, type=CompletionBody)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(ErrorCode.BAD_REQUEST, f"malformed rollout: {error}") from error
    return GenerationRequest(
        attempt.attempt_id,
        body.prompt,
        body.max_tokens,
        body.temperature,
        body.seed,
        priority,
    )


def generation_outcome(generation: Generation, result: CompletionResult) -> Outcome:
    """Return the outcome of a finished rollout.

    A completion whose label is not known from the engine's own reports carries no segments.
    """
    if not generation.labelled:
        return Outcome(
            Verdict.ANSWERED,
            code=ErrorCode.UNKNOWN_LABEL,
            status=200,
            body=msgspec.json.encode(result),
            evidence=f"engine {result.target} left tokens without a version",
        )
    return Outcome(
        Verdict.ANSWERED,
        status=200,
        body=msgspec.json.encode(result),
        segments=generation.segments,
        evidence=f"engine {result.target} finished",
    )
