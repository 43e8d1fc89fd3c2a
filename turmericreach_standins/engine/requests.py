"""Validation of the request bodies of the engine stand-in."""

from turmericreach_standins.common import RequestError
from turmericreach_standins.engine.batch import Sequence
from turmericreach_standins.engine.text import draw_length

__all__ = ["integer_field", "parse_completion", "parse_kv", "text_field"]

DEFAULT_MAX_TOKENS = 16
MAX_TOKENS = 100_000


def integer_field(body, name, default, lowest=None, highest=None):
    """Return an integer field; raise a `RequestError` (400) if it is not valid."""
    value = body.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise RequestError(400, "bad_request", f"{name} must be an integer")
    too_low = lowest is not None and value < lowest
    if too_low or (highest is not None and value > highest):
        raise RequestError(400, "bad_request", f"{name} is out of range")
    return value


def text_field(body, name, default=None):
    """Return a text field; raise a `RequestError` (400) if it is not valid."""
    value = body.get(name, default)
    if not isinstance(value, str):
        raise RequestError(400, "bad_request", f"{name} must be a string")
    return value


def parse_completion(body, request_id, engine_seed, settings):
    """Return the sequence that a completion request asks for.

    Its length is drawn at random, unless the request sets ``ignore_eos``.
    """
    prompt = text_field(body, "prompt")
    seed = integer_field(body, "seed", 0)
    max_tokens = integer_field(body, "max_tokens", DEFAULT_MAX_TOKENS, 1, MAX_TOKENS)
    length = max_tokens
    if not body.get("ignore_eos", False):
        median, sigma = settings.length_median, settings.length_sigma
        length = min(max_tokens, draw_length(engine_seed, prompt, seed, median, sigma))
    return Sequence(
        request_id=text_field(body, "request_id", request_id),
        prompt=prompt,
        seed=seed,
        length=length,
        max_tokens=max_tokens,
        priority=integer_field(body, "priority", 0),
        user=text_field(body, "user", ""),
    )


def parse_kv(body, request_id):
    """Return the sequence of an imported KV cache."""
    tokens = body.get("tokens", [])
    segments = body.get("segments", [])
    try:
        token_count = sum(count for _, count in segments)
        segments = [[int(version), int(count)] for version, count in segments]
    except (TypeError, ValueError) as error:
        raise RequestError(400, "bad_request", "segments must be pairs of integers") from error
    if not isinstance(tokens, list) or token_count != len(tokens):
        raise RequestError(
            400, "bad_request", "the number of tokens differs from the sum of the segments"
        )
    length = integer_field(body, "length", None, 1, MAX_TOKENS)
    return Sequence(
        request_id=request_id,
        prompt=text_field(body, "prompt"),
        seed=integer_field(body, "seed", 0),
        length=length,
        max_tokens=integer_field(body, "max_tokens", length, 1, MAX_TOKENS),
        state="imported",
        tokens=tokens,
        segments=segments,
    )
