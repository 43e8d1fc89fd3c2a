"""The newest lots of the models, from which the work of the next ones is expected."""

from collections.abc import Iterable

import attrs

__all__ = ["ModelArrival", "next_arrival", "tokens_per_item"]

# Weight of the newest lot in the usual work of a model's lots.
NEWEST_LOT_WEIGHT = 0.3


@attrs.frozen
class ModelArrival:
    """The newest lot of a model.

    Attributes
    ----------
    at : float
        Loop time in seconds at which the lot became known here.
    expected_tokens : float
        Expected number of output tokens of all its items together.
    items : int
        Number of its items.
    usual_tokens : float
        Moving average of the expected tokens over the lots of the model.
    host, path : str
        Host and path of the submission, which select the route.
    """

    at: float
    expected_tokens: float
    items: int
    usual_tokens: float = 0.0
    host: str = ""
    path: str = ""


def next_arrival(
    former: ModelArrival | None,
    at: float,
    expected_tokens: float,
    items: int,
    host: str = "",
    path: str = "",
) -> ModelArrival:
    """Return the arrival of a lot that follows another one of its model, None before the first."""
    usual = expected_tokens
    if former is not None:
        usual = former.usual_tokens + NEWEST_LOT_WEIGHT * (expected_tokens - former.usual_tokens)
    return ModelArrival(at, expected_tokens, items, usual, host, path)


def tokens_per_item(arrivals: Iterable[ModelArrival]) -> float:
    """Return the expected output tokens of an item, infinity before the first lot."""
    tokens, items = 0.0, 0
    for arrival in arrivals:
        tokens += arrival.expected_tokens
        items += arrival.items
    return tokens / items if items else float("inf")
