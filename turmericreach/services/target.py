"""Targets: what they say of themselves and what is known of them."""

import attrs

__all__ = ["LoadReport", "Target", "TargetRecord"]

# Weight of the newest sample in the moving average of response times.
SPEED_SMOOTHING = 0.3
# The same for the share of failures: about the last ten requests count.
FAILURE_SMOOTHING = 0.1


@attrs.frozen
class TargetRecord:
    """A target's entry in service discovery.

    Attributes
    ----------
    id : str
        Names one run of the target, mostly.
    started_ms : int
        Unix milliseconds at which this run began.
    service : str
        What it runs.
    address : str
        ``ip:port``.
    data_centre : str
        Where it is.
    slots : int
        Requests processed at once.
    draining : bool
        Whether it takes no new requests.
    model_versions : dict of str to int
        Versions of the weights that it has loaded, by model.
    orders_accepted : int
        Orders accepted since its start.
    """

    id: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    model_versions: dict[str, int] = attrs.field(factory=dict)
    orders_accepted: int = 0


@attrs.frozen
class LoadReport:
    """Requests at a target, as of the given loop time in seconds."""

    running: int
    waiting: int
    slots: int
    at: float


@attrs.define(eq=False)
class Target:
    """A target as this process knows it.

    Attributes
    ----------
    record : TargetRecord
        Its newest entry.
    in_flight : int
        Requests that this process has there.
    load : LoadReport or None
        What it last said of its load.
    latency_s : float
        Moving average of response times, or of seconds an event for engines; 0 if unknown.
    suspect_until : float
        Loop time until which it is chosen only if there is no other.
    loading_until : float
        Loop time until which it is expected to load weights.
    model_versions : dict of str to int
        Newest versions known, from its entry or its responses.
    first_event_s : float
        Moving average of the times to an engine's first event; 0 if unknown.
    failure_share : float
        Moving share of requests that got no whole answer.
    answered_at : float
        Loop time of its last event or answer.
    others : int
        Requests that other processes had there when it last told its load.
    groups : set of str
        Groups of items whose prompt it has read.
    """

    record: TargetRecord
    in_flight: int = 0
    load: LoadReport | None = None
    latency_s: float = 0.0
    suspect_until: float = 0.0
    loading_until: float = 0.0
    model_versions: dict[str, int] = attrs.field(factory=dict)
    first_event_s: float = 0.0
    failure_share: float = 0.0
    answered_at: float = float("-inf")
    others: int = 0
    groups: set[str] = attrs.field(factory=set)

    @property
    def id(self) -> str:
        """Name of the target's run."""
        return self.record.id

    def is_suspect(self, now: float) -> bool:
        """Return whether it failed recently."""
        return now < self.suspect_until

    def note_latency(self, seconds: float) -> None:
        """Add a sample to the moving average."""
        if self.latency_s <= 0:
            self.latency_s = seconds
            return
        self.latency_s += SPEED_SMOOTHING * (seconds - self.latency_s)

    def note_first_event(self, seconds: float) -> None:
        """Add a sample of the time to the first event."""
        self.first_event_s += SPEED_SMOOTHING * (seconds - self.first_event_s)

    def note_sign_of_life(self, now: float) -> None:
        """Keep that something arrived from it."""
        self.answered_at = now

    def note_outcome(self, failed: bool) -> None:
        """Count the end of a request."""
        self.failure_share += FAILURE_SMOOTHING * (float(failed) - self.failure_share)

    def note_version(self, model: str, version: int) -> None:
        """Keep a version seen on a response."""
        if version > self.model_versions.get(model, 0):
            self.model_versions[model] = version
