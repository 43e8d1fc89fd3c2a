"""Conversion between attempts of rollouts and calls of an engine."""

import attrs
import msgspec

from turmericreach.rpc import Attempt
from turmericreach.targets import Generation, GenerationRequest
from turmericreach.verdicts import ErrorCode, Outcome, RequestError, Verdict

__all__ = ["CompletionBody", "CompletionResult", "generation_outcome", "parse_completion"]


@attrs.frozen
class CompletionBody:
    """Body of an attempt of a rollout.

    Attributes
    ----------
    prompt : str
        Text to complete.
    max_tokens : int
        Maximum number of tokens to generate.
    temperature : float
        Sampling temperature.
    seed : int
        Seed of the sampling.
    """

    prompt: str
    max_tokens: int
    temperature: float = 1.0
    seed: int = 0


@attrs.frozen
class CompletionResult:
    """Body of the outcome of a finished rollout.

    Attributes
    ----------
    text : str
        Generated text.
    tokens : int
        Number of generated tokens.
    finish_reason : str
        Reason for the end of the generation, as the engine reported it.
    target : str
        Name of the engine.
    attempt_id : str
        Id of the attempt that generated the text.
    started_version, finished_version : int or None
        Weight versions that the agent read from the engine before and after the generation, None
        if the read failed.
    """

    text: str
    tokens: int
    finish_reason: str
    target: str
    attempt_id: str
    started_version: int | None = None
    finished_version: int | None = None


def parse_completion(attempt: Attempt, priority: int) -> GenerationRequest:
    """Convert an attempt of a rollout to a call of an engine.

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
    """Build the outcome of a finished rollout.

    If the engine did not report the weight version of all tokens, the outcome has the code
    ``unknown_label`` and no segments.
    """
    if not generation.labelled:
        return Outcome(
            Verdict.ANSWERED,
            code=ErrorCode.UNKNOWN_LABEL,
            status=200,
            body=msgspec.json.encode(result),
            evidence=f"engine {result.target} did not report the version of all tokens",
        )
    return Outcome(
        Verdict.ANSWERED,
        status=200,
        body=msgspec.json.encode(result),
        segments=generation.segments,
        evidence=f"engine {result.target} finished",
    )
