"""Options of the engine stand-in."""

from typing import Literal

import attrs

__all__ = ["EngineSettings"]


@attrs.define
class EngineSettings:
    """Options of the engine stand-in.

    Parameters
    ----------
    model : str
        Name of the model.
    version : int
        Weight version at the start.
    slots : int
        Sequences that run at once.
    queue : int
        Sequences that may wait.
    tokens_per_s : float
        Speed of a single stream.
    batch_slowdown : float
        A stream runs at ``tokens_per_s / (1 + batch_slowdown * (running - 1))``.
    prefill_tokens_per_s : float
        Speed of the prefill.
    length_median : float
        Median of the drawn lengths in tokens.
    length_sigma : float
        Spread of the drawn lengths (sigma of a log-normal law).
    cache_entries : int
        Blocks that the prefix cache holds.
    cache_event_lag_s : float
        Seconds until a cache event is published.
    cache_event_gap : float
        Share of the cache events that are never published.
    load_lag_s : float
        Lag of the load report in seconds.
    swap_s : float
        Seconds that a swap takes; no tokens are generated meanwhile.
    prepare_s : float
        Seconds that a preparation takes, on top of the download.
    fencing : {"enforce", "ignore"}
        Whether an order with an old fencing number is refused.
    check_orders : str, optional
        Token that orders must carry.
    tick_s : float
        Seconds between two steps of the batch; a chunk holds the tokens of one step.
    weight_store : str, optional
        Address of the weight store that versions are downloaded from.
    """

    model: str = "model"
    version: int = 1
    slots: int = 8
    queue: int = 64
    tokens_per_s: float = 100.0
    batch_slowdown: float = 0.05
    prefill_tokens_per_s: float = 5000.0
    length_median: float = 60.0
    length_sigma: float = 0.8
    cache_entries: int = 256
    cache_event_lag_s: float = 1.0
    cache_event_gap: float = 0.02
    load_lag_s: float = 0.5
    swap_s: float = 0.2
    prepare_s: float = 0.0
    fencing: Literal["enforce", "ignore"] = "enforce"
    tick_s: float = 0.01
    check_orders: str | None = None
    weight_store: str | None = None
