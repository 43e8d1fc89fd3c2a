"""Shedding of callers' requests by their value for the work that they need."""

import bisect
from collections import deque

import attrs

from turmericreach.admission.tenants import EqualTenants, TenantFairness

__all__ = ["RequestShedder", "RequestWork", "ShedDecision"]

# Used share of the most loaded resource at which the shedding begins. It ends at 1, where only the
# requests of the highest value are admitted.
SHED_FROM = 0.7
# A gateway that is short of its own resources still admits a fifth of the requests, so that a wrong
# measurement cannot keep it from serving.
MAX_PROCESS_PRESSURE = 0.94
# Share of its time for which a request may wait; the rest is left for a second attempt.
WAIT_SHARE = 0.5
# Each level of priority halves the value of a request.
PRIORITY_FACTOR = 0.5
# Requests whose values are compared with that of the next one.
COMPARED = 256
# At least so many values have to be known, otherwise the rank of a request says nothing.
MIN_COMPARED = 16
MIN_WORK_S = 0.001
# With this step, equal values are admitted evenly and without random numbers.
GOLDEN_RATIO = 0.6180339887498949


@attrs.frozen
class RequestWork:
    """A request that has just arrived, and what serving it takes.

    Attributes
    ----------
    priority : int
        Priority of its route or tenant; 0 is the highest.
    remaining_s : float
        Seconds until the response is of no use to the caller.
    usual_s : float
        Usual response time of the service.
    in_progress : float
        Requests of the service in progress at this process.
    rate_per_s : float
        Requests a second that the service completes for this process, 0 if unknown.
    tenant : str
        Name of the tenant, empty if there is none.
    """

    priority: int
    remaining_s: float
    usual_s: float
    in_progress: float
    rate_per_s: float
    tenant: str = ""

    def wait_s(self) -> float:
        """Return the expected seconds until the requests in progress are completed."""
        return self.in_progress / self.rate_per_s if self.rate_per_s > 0 else 0.0


@attrs.frozen
class ShedDecision:
    """Whether a request is admitted, and on which figures this was based.

    Attributes
    ----------
    admitted : bool
        Whether it is admitted.
    reason : str
        The resource that is used most, or why the request cannot be served.
    pressure : float
        Used share of that resource.
    rank : float
        Share of the latest requests that have a lower value.
    value : float
        Value of the request for each second of work.
    wait_s : float
        Expected seconds until it would be served.
    """

    admitted: bool
    reason: str
    pressure: float
    rank: float
    value: float
    wait_s: float


class RequestShedder:
    """Rejects at their arrival the requests that are worth least for the work they need.

    Load pattern: callers send more requests than the targets of a service complete, for example
    while all gateways start again. Without a decision at the arrival each request is tried at full
    targets until its time is nearly over, so all are late instead of some being rejected. The
    more of the scarcest resource is used, the larger the share of the requests that is rejected:
    those of low priority, with little time left, with much work, of tenants that got much. What
    cannot be answered in time in any case is rejected first.

    Parameters
    ----------
    fairness : TenantFairness, optional
        Compares the tenants.

    Attributes
    ----------
    recent : deque of float
        Values of the latest requests, the oldest first.
    ordered : list of float
        The same values in ascending order.
    sequence : float
        Decides among requests of equal value; from 0 to 1.
    """

    def __init__(self, fairness: TenantFairness | None = None):
        self.fairness = fairness or EqualTenants()
        self.recent: deque[float] = deque()
        self.ordered: list[float] = []
        self.sequence = 0.0

    def decide(
        self, work: RequestWork, process_pressure: float, process_reason: str, now: float
    ) -> ShedDecision:
        """Return whether a request is admitted.

        Parameters
        ----------
        process_pressure : float
            Used share of the scarcest resource of this process.
        process_reason : str
            Name of that resource.
        now : float
            Loop time in seconds.
        """
        value = self.value(work, now)
        rank = self.rank(value)
        self.remember(value)
        wait_s = work.wait_s()
        allowed_s = WAIT_SHARE * max(work.remaining_s, 0.0)
        pressure, reason = min(process_pressure, MAX_PROCESS_PRESSURE), process_reason
        queue_pressure = wait_s / allowed_s if allowed_s > 0 else float("inf")
        if queue_pressure > pressure:
            pressure, reason = queue_pressure, "requests in progress"
        if wait_s > max(work.remaining_s, 0.0):
            admitted, reason = False, "too little time"
        elif len(self.recent) < MIN_COMPARED:
            admitted = pressure < 1.0
        else:
            admitted = rank >= (pressure - SHED_FROM) / (1.0 - SHED_FROM)
        self.fairness.record(work.tenant, admitted, now)
        return ShedDecision(admitted, reason, pressure, rank, value, wait_s)

    def value(self, work: RequestWork, now: float) -> float:
        """Return the value of a request for each second of work.

        A request whose time hardly suffices for the usual response time is worth less, since it
        may be too late in any case.
        """
        work_s = max(work.usual_s, MIN_WORK_S)
        in_time = min(max(work.remaining_s, 0.0) / (2.0 * work_s), 1.0)
        weight = self.fairness.weight(work.tenant, now)
        return weight * PRIORITY_FACTOR**work.priority * in_time / work_s

    def rank(self, value: float) -> float:
        """Return the share of the latest requests with a lower value.

        Among equal ones the share is spread evenly, so that a part of them is admitted.
        """
        if not self.ordered:
            return 1.0
        self.sequence = (self.sequence + GOLDEN_RATIO) % 1.0
        below = bisect.bisect_left(self.ordered, value)
        equal = bisect.bisect_right(self.ordered, value) - below
        return (below + self.sequence * equal) / len(self.ordered)

    def remember(self, value: float) -> None:
        """Record a value and forget the oldest one."""
        self.recent.append(value)
        bisect.insort(self.ordered, value)
        if len(self.recent) > COMPARED:
            oldest = self.recent.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
