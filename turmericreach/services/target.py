"""Targets: their records in service discovery, their load reports and their local state."""

import attrs

from turmericreach.services.event_speed import EventSpeed

__all__ = ["LoadReport", "Target", "TargetRecord"]

# Newest groups whose prompt a target is taken to hold; its memory holds fewer.
MAX_GROUPS = 512
# Weight of the newest value in the moving average of response times.
LATENCY_SMOOTHING = 0.3
# Weight of the newest load report in the moving average of the requests of other processes.
LOAD_SMOOTHING = 0.1
# Weight of the newest request in the share of failures; about the last ten requests count.
FAILURE_SMOOTHING = 0.1


@attrs.frozen
class TargetRecord:
    """The record of a target in service discovery.

    Attributes
    ----------
    id : str
        Id of the target. It usually changes when the target restarts, but need not.
    started_ms : int
        Start time of the target in Unix milliseconds.
    service : str
        Name of the target's service.
    address : str
        Address of the form ``ip:port``.
    data_centre : str
        Data centre of the target.
    slots : int
        Number of requests that the target processes concurrently.
    draining : bool
        Whether the target accepts no new requests.
    model_versions : dict of str to int
        Loaded version of the weights by model.
    orders_accepted : int
        Number of load orders that the target has accepted since it started.
    software_version : str
        Version of the target's software, empty if its entry names none.
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
    software_version: str = ""

    @property
    def software(self) -> str:
        """Service and software version; what one software began only the same one may continue.

        A target that names no version shares its software with no other run of a target.
        """
        version = self.software_version or f"run {self.run}"
        return f"{self.service} {version}"

    @property
    def run(self) -> str:
        """Name of the run of the target's process."""
        return f"{self.id}/{self.started_ms}"

    def is_same_run(self, other: "TargetRecord") -> bool:
        """Return whether another record of this target describes the same run of its process."""
        same_start = self.started_ms == other.started_ms
        return same_start and self.software_version == other.software_version


@attrs.frozen
class LoadReport:
    """The load of a target at an instant.

    Attributes
    ----------
    running, waiting : int
        Number of requests that the target processes, and that wait there for a slot.
    slots : int
        Number of requests that the target processes concurrently.
    at : float
        Loop time of the report in seconds.
    slowdown : float or None
        Duration of work at the target relative to the usual one, None if not reported.
    """

    running: int
    waiting: int
    slots: int
    at: float
    slowdown: float | None = None


@attrs.define(eq=False)
class Target:
    """A target with the state that this process keeps of it.

    Attributes
    ----------
    record : TargetRecord
        Newest record from service discovery.
    in_flight : int
        Number of requests of this process that the target has not completed.
    load : LoadReport or None
        Newest load report, None if there is none.
    latency_s : float
        Moving average of the response time in seconds, for engines of the seconds per event; 0 if
        unknown.
    suspected_until : float
        Loop time until which the target is chosen only if there is no other.
    loading_until : float
        Loop time until which the target is expected to load weights.
    model_versions : dict of str to int
        Newest known version of the weights by model, from the target's record and its responses.
    first_event_s : float
        Moving average of the seconds until the first event of a request at an engine; 0 if unknown.
    failure_share : float
        Moving average of the fraction of requests that got no complete response.
    last_response_at : float
        Loop time of the last event or response from the target.
    other_requests : int
        Number of requests of other processes at the target, as of its last load report.
    groups : dict of str to None
        Newest groups of items whose prompt the target has read, the oldest first.
    usual_latency_s : float
        Moving average of the response time divided by the reported slowdown; 0 if unknown.
    reported_others : float
        Number of requests of other processes at the target, as of its last report with a slowdown.
    usual_others : float
        Moving average of that number.
    event_speed : EventSpeed
        Lasting seconds per event, for engines.
    """

    record: TargetRecord
    in_flight: int = 0
    load: LoadReport | None = None
    latency_s: float = 0.0
    suspected_until: float = 0.0
    loading_until: float = 0.0
    model_versions: dict[str, int] = attrs.field(factory=dict)
    first_event_s: float = 0.0
    failure_share: float = 0.0
    last_response_at: float = float("-inf")
    other_requests: int = 0
    groups: dict[str, None] = attrs.field(factory=dict)
    usual_latency_s: float = 0.0
    reported_others: float = 0.0
    usual_others: float = 0.0
    event_speed: EventSpeed = attrs.field(factory=EventSpeed)

    @property
    def id(self) -> str:
        """Id of the target."""
        return self.record.id

    def is_suspected(self, now: float) -> bool:
        """Return whether the target is avoided because of a recent failure."""
        return now < self.suspected_until

    def record_latency(self, seconds: float, slowdown: float | None = None) -> None:
        """Add a response time, or the seconds of an event, to the moving average.

        Parameters
        ----------
        slowdown : float, optional
            Slowdown that the target reported with the response.
        """
        self.latency_s = smoothed(self.latency_s, seconds)
        if slowdown is not None:
            self.usual_latency_s = smoothed(self.usual_latency_s, seconds / slowdown)

    def record_event(self, seconds: float, now: float) -> None:
        """Add the seconds of an event that has just arrived to the speed of the engine."""
        self.record_latency(seconds)
        self.event_speed.record(seconds, now)

    def record_load(self, report: LoadReport) -> None:
        """Replace the load report; the present requests of this process are part of the new one."""
        self.load = report
        if report.slowdown is None:
            return
        self.reported_others = max(report.running + report.waiting - self.in_flight, 0)
        self.usual_others += LOAD_SMOOTHING * (self.reported_others - self.usual_others)

    def record_first_event(self, seconds: float) -> None:
        """Add the time until the first event of a request to the moving average."""
        self.first_event_s += LATENCY_SMOOTHING * (seconds - self.first_event_s)

    def record_response(self, now: float) -> None:
        """Record that an event or a response has arrived from the target."""
        self.last_response_at = now

    def record_group(self, group: str) -> None:
        """Record that the target reads the prompt of a group, and forget the oldest if needed."""
        self.groups.pop(group, None)
        self.groups[group] = None
        if len(self.groups) > MAX_GROUPS:
            del self.groups[next(iter(self.groups))]

    def record_outcome(self, failed: bool) -> None:
        """Add the outcome of a request to the share of failures."""
        self.failure_share += FAILURE_SMOOTHING * (float(failed) - self.failure_share)

    def record_version(self, model: str, version: int) -> None:
        """Record that the target has a version of a model, unless a newer one is known."""
        if version > self.model_versions.get(model, 0):
            self.model_versions[model] = version


def smoothed(average: float, value: float) -> float:
    """Return a moving average of times with one more value, or the value if there is none yet."""
    if average <= 0:
        return value
    return average + LATENCY_SMOOTHING * (value - average)
