"""When rejected callers may return, and in which order."""

from collections.abc import Callable, Iterable

from turmericreach.placement.target_choice import DEFAULT_LATENCY_S, LOAD_MAX_AGE_S
from turmericreach.services import Target

__all__ = ["STARTING_RETRY_S", "ReturnSchedule", "outage_retry_s", "service_rate_per_s"]

# Long enough for a fully occupied target to complete some requests.
MIN_BUSY_RETRY_S = 0.1
# Callers limit the wait to a third of their remaining time, which is seldom longer than this.
MAX_BUSY_RETRY_S = 2.0
# Share of a service's rate that returning callers get, so that callers that come for the first time
# still find a slot.
RETURN_RATE_SHARE = 0.8
# Limits of the wait for the metadata store. Callers have little time, so the upper one is short.
MIN_OUTAGE_RETRY_S = 0.5
MAX_OUTAGE_RETRY_S = 2.0
# Largest relative deviation of the wait for the metadata store.
OUTAGE_SPREAD = 0.25
# A process that starts has read its configuration after about this time.
STARTING_RETRY_S = 0.5


def service_rate_per_s(
    targets: Iterable[Target],
    now: float,
    limit_per_s: Callable[[str], float | None] = lambda target: None,
    processes: int = 1,
) -> float:
    """Return the requests a second that the targets complete for this process.

    Each target completes as many requests as it has slots in its usual response time. This process
    gets the part of them that corresponds to its share of the requests at the target. A target with
    a limit completes as many as the limit says, and all processes get an equal part of them.

    Parameters
    ----------
    targets : iterable of Target
        Targets of the service that accept requests.
    now : float
        Loop time in seconds.
    limit_per_s : callable
        Returns the limit of a target in requests a second, by its id, None without one.
    processes : int
        Number of processes that send requests to the targets.
    """
    rate = 0.0
    for target in targets:
        if target.is_suspected(now):
            continue
        per_s = limit_per_s(target.id)
        if per_s is not None:
            rate += per_s / processes
            continue
        share = 1.0
        if target.load is not None and now - target.load.at < LOAD_MAX_AGE_S:
            requests = max(target.load.running + target.load.waiting, target.in_flight)
            share = (target.in_flight + 1) / (requests + 1)
        rate += share * target.record.slots / (target.latency_s or DEFAULT_LATENCY_S)
    return rate


class ReturnSchedule:
    """Assigns rejected callers the times at which they may return.

    Load pattern: a burst of callers finds all slots of a service occupied and is rejected within
    milliseconds. If all were told the same time, they would return together and be rejected again.
    They return in the order of their rejection instead, at the rate at which slots become free.

    Attributes
    ----------
    next_at : dict of str to float
        Loop time in seconds at which the next rejected caller may return, by service.
    """

    def __init__(self):
        self.next_at: dict[str, float] = {}

    def busy_retry_s(self, service: str, rate_per_s: float, now: float) -> float:
        """Return the seconds after which a caller rejected by a full service may return.

        Parameters
        ----------
        service : str
            Name of the service.
        rate_per_s : float
            Requests a second that the service completes for this process, 0 if none.
        now : float
            Loop time in seconds.
        """
        earliest = now + MIN_BUSY_RETRY_S
        return_at = max(self.next_at.get(service, earliest), earliest)
        if rate_per_s <= 0 or return_at - now > MAX_BUSY_RETRY_S:
            return MAX_BUSY_RETRY_S
        self.next_at[service] = return_at + 1.0 / (RETURN_RATE_SHARE * rate_per_s)
        return return_at - now


def outage_retry_s(outage_s: float, spread: float) -> float:
    """Return the seconds after which the metadata store may be available again.

    Load pattern: outages last from a fraction of a second to many seconds, and one that has lasted
    long is likely to last longer. So the wait is half of the time for which the store has been
    silent, within limits. Callers are spread, so that they do not all submit in the instant of its
    return.

    Parameters
    ----------
    outage_s : float
        Seconds since the last response of the store.
    spread : float
        Number from 0 to 1, different for each caller.
    """
    usual_s = min(max(outage_s / 2, MIN_OUTAGE_RETRY_S), MAX_OUTAGE_RETRY_S)
    return usual_s * (1.0 + OUTAGE_SPREAD * (2.0 * spread - 1.0))
