"""Inputs and results of target selection."""

import enum
import math

import attrs

from turmericreach.verdicts import ErrorCode

__all__ = ["Choice", "ChoiceRequest", "LoadReport", "Refusal", "RoutingPolicy", "TargetState"]


class TargetState(enum.StrEnum):
    """State of a target as known to a process; only `LIVE` targets are chosen."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@attrs.frozen
class LoadReport:
    """State and load of one target as reported by its agent.

    Attributes
    ----------
    target : str
        Name of the target.
    state : TargetState
    version : int
        Weight version that the target actually serves, 0 for services.
    running, waiting : int
        Requests that hold a slot and that are queued.
    slots : int
        Requests that may run at the same time.
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
    """Requirements of a request on its target.

    Attributes
    ----------
    service : str
        Service whose targets are candidates.
    priority : str
        Priority class.
    prefix : str
        Key of the prompt prefix that the request shares with others, empty for none.
    min_version : int
        Lowest acceptable weight version.
    excluded : frozenset of str
        Targets that must not be chosen, such as those already tried.
    expected_tokens : int
        Expected number of generated tokens, 0 for requests without tokens.
    latest_finish_at : float
        Time in seconds; a target that is expected to finish later is not chosen.
    prefix_tokens : int
        Length of the prefix in tokens, 0 if unknown.
    preferred_target : str
        Target that is chosen if it is eligible, even if other targets would finish earlier; empty
        for none. `RoutingPolicy.queues_at_preferred` decides whether it also needs a free slot.
    """

    service: str
    priority: str = "ordinary"
    prefix: str = ""
    min_version: int = 0
    excluded: frozenset[str] = attrs.field(default=frozenset(), converter=frozenset)
    expected_tokens: int = 0
    latest_finish_at: float = math.inf
    prefix_tokens: int = 0
    preferred_target: str = ""


@attrs.frozen
class Choice:
    """A chosen target.

    Attributes
    ----------
    target : str
        Name of the target.
    reason : str
        Reason for the choice, shown by `explain`.
    """

    target: str
    reason: str


@attrs.frozen
class Refusal:
    """Result of a choice without a usable target; the request did not run.

    Attributes
    ----------
    code : ErrorCode
    retry_after_s : float
        Seconds after which a retry may succeed.
    reason : str
        Reason in words.
    """

    code: ErrorCode
    retry_after_s: float
    reason: str


@attrs.frozen
class RoutingPolicy:
    """Parameters of target selection.

    Attributes
    ----------
    samples_per_tier : int
        Random candidates from each of the same data centre, the same region and other regions.
    region_penalty_s, remote_penalty_s : float
        Seconds added to the expected completion time at a target in another data centre of the
        region and in another region.
    default_speed : float
        Tokens per second of one stream of a target whose speed is unknown.
    default_latency_s : float
        Latency in seconds of a request without tokens at a target that has not responded to any.
    ewma_weight : float
        Weight of a new sample in the moving averages of speed and latency.
    batch_slowdown : float
        Slowdown of one stream in a full batch of the engine, as a fraction of its time alone.
    waiting_weight : float
        Weight of waiting requests of a model target for an ordinary request, which overtakes
        waiting rollouts.
    prefill_speedup : float
        Ratio of prefill speed to generation speed.
    default_prefix_tokens : int
        Length in tokens of a prefix whose length is unknown.
    prefix_ttl_s : float
        Seconds since the last use for which a prefix is assumed to be cached.
    prefix_entries : int
        Number of prefixes that are assumed to be cached at each target.
    max_backoff_s : float
        Longest time in seconds for which a priority class avoids a target after it rejected a
        request because of overload.
    queue_ahead_share : float
        Rollouts that may wait at a target, as a share of its slots. With waiting rollouts, a free
        slot is filled without a round trip and the agent can divide slots among trainers.
    lot_queue_factor : float
        Rollouts that a lot may always have in flight, as a multiple of its share of the slots.
        Above 1, the agents always have a waiting rollout of each trainer to choose from.
    max_waiting : int
        Rollouts that the lots together may have waiting at one target, however many slots it has.
        Agents reject rollouts that exceed their queue, and each rejection costs a call.
    spread_by_speed : bool
        Whether the rollouts that a lot may have in flight are divided among the engines in
        proportion to speed rather than evenly.
    queues_at_preferred : bool
        Whether a rollout goes to the engine that its lot chose even if it has to wait there.
        Otherwise the waiting rollouts that were planned for slow engines accumulate at fast ones.
    breaker_threshold : int
        Consecutive failures that open a circuit breaker.
    breaker_open_s, breaker_max_open_s : float
        Initial and longest open time of a circuit breaker in seconds.
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
