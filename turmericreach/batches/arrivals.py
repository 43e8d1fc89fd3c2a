"""The newest lots of the models, from which the work of the next ones is expected."""

from collections.abc import Iterable

import attrs

__all__ = ["ModelArrival", "tokens_per_item"]


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
    """

    at: float
    expected_tokens: float
    items: int


def tokens_per_item(arrivals: Iterable[ModelArrival]) -> float:
    """Return the expected output tokens of an item, infinity before the first lot."""
    tokens, items = 0.0, 0
    for arrival in arrivals:
        tokens += arrival.expected_tokens
        items += arrival.items
    return tokens / items if items else float("inf")
