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
        Largest number of sequences that run at once.
    queue : int
        Largest number of waiting sequences.
    tokens_per_s : float
        Generation speed of a single sequence in tokens a second.
    batch_slowdown : float
        Slowdown by each further running sequence: a sequence generates
        ``tokens_per_s / (1 + batch_slowdown * (running - 1))`` tokens a second.
    prefill_tokens_per_s : float
        Speed of the prefill in prompt tokens a second.
    length_median : float
        Median of the random completion lengths in tokens.
    length_sigma : float
        Spread of the random completion lengths: sigma of a log-normal distribution.
    cache_entries : int
        Largest number of blocks in the prefix cache.
    cache_event_lag_s : float
        Seconds until a cache event is published.
    cache_event_gap : float
        Fraction of the cache events, from 0 to 1, that are never published.
    load_lag_s : float
        Lag of the load report in seconds.
    swap_s : float
        Duration of a swap in seconds; no tokens are generated meanwhile.
    prepare_s : float
        Duration of a preparation in seconds, in addition to the download.
    fencing : {"enforce", "ignore"}
        Whether an order with an outdated fencing token is rejected.
    tick_s : float
        Seconds between two steps of the batch; a chunk holds the tokens of one step.
    check_orders : str, optional
        Access token that orders must carry; not checked if not given.
    weight_store : str, optional
        Base URL of the weight store; without one, versions are prepared without a download.
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
