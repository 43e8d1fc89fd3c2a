"""Detection of failed targets and of lost requests."""

from collections.abc import Iterable

from turmericreach.services.target import Target

__all__ = ["first_event_timeout_s", "has_lost_request", "is_responding", "should_suspect"]

# A busy target sends an event or a response at least this often.
MAX_RESPONSE_GAP_S = 0.25
# A target is suspected if its share of failed requests exceeds the average of its peers by more
# than this.
EXCESS_FAILURE_SHARE = 0.15
# An engine that serves other requests has lost a request that waits for its first event at least
# this long, and at least this many times as long as usual there. An engine that serves no requests
# may be loading weights, which pauses all of them.
FIRST_EVENT_TIMEOUT_S = 1.2
FIRST_EVENT_FACTOR = 8.0


def should_suspect(target: Target, peers: Iterable[Target], now: float) -> bool:
    """Return whether a target should be avoided after one of its requests has failed.

    Load pattern: a share of all responses is lost although every target keeps working. If each
    target with a lost response were avoided, most slots of the service would be unusable during its
    peak load. Therefore a target that responds to other requests at the same time is avoided only
    if it fails more often than its peers; a target that responds to no request is avoided at once.

    Parameters
    ----------
    target : Target
        Target of the failed request; its share of failures includes this request.
    peers : iterable of Target
        Other targets of the same service.
    now : float
        Loop time in seconds.
    """
    if not is_responding(target, now):
        return True
    shares = [peer.failure_share for peer in peers]
    average = sum(shares) / len(shares) if shares else 0.0
    return target.failure_share - average > EXCESS_FAILURE_SHARE


def has_lost_request(target: Target, waited_s: float, now: float) -> bool:
    """Return whether an engine has lost a request that still has no first event.

    Load pattern: responses are lost without an error while the engine continues with its other
    requests. Waiting as long as for an engine that may be loading weights would use a third of the
    time until the lot is due.

    Parameters
    ----------
    target : Target
        Engine that received the request.
    waited_s : float
        Seconds since the request was sent.
    now : float
        Loop time in seconds.
    """
    return waited_s >= first_event_timeout_s(target) and is_responding(target, now)


def first_event_timeout_s(target: Target) -> float:
    """Return the seconds after which the first event of a request at an engine is overdue."""
    return max(FIRST_EVENT_TIMEOUT_S, FIRST_EVENT_FACTOR * target.first_event_s)


def is_responding(target: Target, now: float) -> bool:
    """Return whether an event or a response has arrived from a target recently."""
    return now - target.last_response_at <= MAX_RESPONSE_GAP_S
