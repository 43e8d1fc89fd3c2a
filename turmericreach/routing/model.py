"""Inputs and results of a target choice."""

import enum
import math

import attrs

from turmericreach.verdicts import ErrorCode

__all__ = ["Choice", "ChoiceRequest", "LoadReport", "Refusal", "RoutingPolicy", "TargetState"]


class TargetState(enum.StrEnum):
    """What a daemon believes about a target; only `LIVE` targets are chosen."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@attrs.frozen
class LoadReport:
    """What an agent says about one target.

    Attributes
    ----------
    version : int
        Real weight version, 0 for plain services.
    reported_at : float
        Time of the report in seconds of the reader's clock.
    """

    target: str
    state: TargetState = attrs.field(converter=TargetState)
    version: int
    running: int
    waiting: int
    slots: int
    reported_at: float


@attrs.frozen
class ChoiceRequest:
    """What a request needs from its target.

    Attributes
    ----------
    prefix : str
        Key of the prompt prefix that the request shares with others, empty for none.
    excluded : frozenset of str
        Targets that must not be chosen, such as those already tried.
    expected_tokens : int
        Tokens to generate, 0 for requests without tokens.
    latest_finish_at : float
        Time in seconds; a target expected to finish later is not chosen.
    prefix_tokens : int
        Length of the prefix, 0 if unknown.
    prefer : str
        Target to choose while it may be chosen and has a free slot, empty for none.
    """

    service: str
    priority: str = "ordinary"
    prefix: str = ""
    min_version: int = 0
    excluded: frozenset[str] = attrs.field(default=frozenset(), converter=frozenset)
    expected_tokens: int = 0
    latest_finish_at: float = math.inf
    prefix_tokens: int = 0
    prefer: str = ""


@attrs.frozen
class Choice:
    """A chosen target and the reason for `explain`."""

    target: str
    reason: str


@attrs.frozen
class Refusal:
    """No target can be chosen now; the request did not run."""

    code: ErrorCode
    retry_after_s: float
    reason: str


@attrs.frozen
class RoutingPolicy:
    """Constants of the target choice.

    Attributes
    ----------
    samples_per_tier : int
        Random candidates from the same data centre, from the region and from elsewhere.
    region_penalty_s, remote_penalty_s : float
        Seconds added for a target in another data centre and in another region.
    default_speed : float
        Tokens a second of one stream of a target whose speed is unknown.
    default_latency_s : float
        Latency of a request without tokens at a target that has answered none.
    ewma_weight : float
        Weight of a new sample in the learned speed and latency.
    batch_slowdown : float
        Relative slowdown of one stream in a full batch.
    waiting_weight : float
        Weight of waiting requests of a model target for an ordinary request, which overtakes
        waiting rollouts.
    prefill_speedup : float
        Prefill speed over generation speed.
    prefix_ttl_s, prefix_entries
        Age, and number at each target, up to which a cached prefix is assumed to exist.
    max_backoff_s : float
        Longest time that a refusal for overload keeps a class away from a target.
    queue_ahead_share : float
        Rollouts that may wait at a target, as a share of its slots, so that a slot that becomes
        free is taken without a round trip and the agent can divide slots among trainers.
    lot_queue_factor : float
        Rollouts that a lot may always have in flight, as a multiple of its share of the slots.
        Above 1, the agents always have a waiting rollout of each trainer to choose from.
    max_waiting : int
        Rollouts that the lots together may have waiting at one target, however many slots it has.
        Agents refuse what exceeds their queue, and each refusal costs a call.
    spread_by_speed : bool
        Whether these are divided among the engines by speed rather than evenly.
    queues_at_preferred : bool
        Whether a rollout goes to the engine that its lot chose even if it has to wait there.
        Otherwise the waiting rollouts that were planned for slow engines pile up at fast ones.
    """

    samples_per_tier: int = 2
    region_penalty_s: float = 0.01
    remote_penalty_s: float = 0.1
    default_speed: float = 50.0
    default_latency_s: float = 0.05
    ewma_weight: float = 0.2
    batch_slowdown: float = 0.5
    waiting_weight: float = 0.0
    prefill_speedup: float = 20.0
    default_prefix_tokens: int = 256
    prefix_ttl_s: float = 120.0
    prefix_entries: int = 256
    max_backoff_s: float = 5.0
    queue_ahead_share: float = 0.25
    lot_queue_factor: float = 3.0
    max_waiting: int = 16
    spread_by_speed: bool = True
    queues_at_preferred: bool = True
    breaker_threshold: int = 5
    breaker_open_s: float = 1.0
    breaker_max_open_s: float = 30.0
