"""Whether a failed request speaks against its target."""

from collections.abc import Iterable

from turmericreach.services.target import Target

__all__ = ["first_event_limit_s", "has_lost_request", "speaks_against"]

# Events and answers of a busy target come at least this often.
ALIVE_WITHIN_S = 0.25
# By this much a target's share of failures must exceed that of its peers.
EXCESS_SHARE = 0.15
# An engine that serves others has lost a request which waits this long for its first event, or
# this many times as long as is usual there. Loading weights pauses all requests of an engine.
FIRST_EVENT_S = 1.2
FIRST_EVENT_FACTOR = 8.0


def speaks_against(target: Target, peers: Iterable[Target], now: float) -> bool:
    """Return whether a target is to be avoided after a request there has failed.

    Load pattern: the answers of a share of all requests are lost while every target goes on
    working. Avoiding each target that loses one would take most of the service's slots away at
    its peak. A target that answers others at the same time is avoided only if it fails more often
    than its peers do; one that answers nobody is avoided at once.

    Parameters
    ----------
    target : Target
        The target, with the failure counted.
    peers : iterable of Target
        The other targets of its service.
    now : float
        Loop time in seconds.
    """
    if not is_answering(target, now):
        return True
    shares = [peer.failure_share for peer in peers]
    usual = sum(shares) / len(shares) if shares else 0.0
    return target.failure_share - usual > EXCESS_SHARE


def has_lost_request(target: Target, waited_s: float, now: float) -> bool:
    """Return whether an engine must have lost a request that still has no first event.

    Load pattern: answers are lost without a word while the engine goes on with its other
    requests. Waiting as long as for an engine that may be loading weights would use up a third of
    the time in which a lot is due.

    Parameters
    ----------
    target : Target
        The engine.
    waited_s : float
        Seconds since the request was sent.
    now : float
        Loop time in seconds.
    """
    return waited_s >= first_event_limit_s(target) and is_answering(target, now)


def first_event_limit_s(target: Target) -> float:
    """Return the seconds after which an engine's first event is overdue."""
    return max(FIRST_EVENT_S, FIRST_EVENT_FACTOR * target.first_event_s)


def is_answering(target: Target, now: float) -> bool:
    """Return whether something arrived from a target just now."""
    return now - target.answered_at <= ALIVE_WITHIN_S
