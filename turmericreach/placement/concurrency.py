"""Limit on the concurrent calls of this process to a service that it shares with others."""

import math

import attrs

from turmericreach.services import LoadReport

__all__ = ["ArrivalRate", "CallResult", "ConcurrencyLimit", "is_congested", "start_allowance"]

# Calls that are always allowed, so that the limit can rise again and scores are not starved.
MIN_CALLS = 2
MIN_SLOT_SHARE = 0.2
# The limit falls by this factor, but once in this time at most: the calls in progress during one
# congestion all report it.
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_S = 0.3
# A target is congested if its waiting requests exceed this share of its slots, or if a response
# takes this many times its usual duration after its reported slowdown has been allowed for. The
# 90th percentile is three times the median without congestion.
WAITING_SHARE = 0.5
LATENCY_FACTOR = 4.0
# Responses are lost in 5% of the calls without any congestion; from this share on they count.
LOST_SHARE = 0.25
LOST_SMOOTHING = 0.05
LATENCY_SMOOTHING = 0.1
DEFAULT_LATENCY_S = 0.1
# Time over which the arrivals of callers' requests are averaged.
ARRIVAL_WINDOW_S = 2.0
# This many times the average number of callers' requests in progress is kept free for them.
RESERVE_FACTOR = 1.0
# Items are started without a limit while the calls that wait are served within this time. Beyond
# it, no more items run or wait for a score than are scored within the second time.
SHORT_BACKLOG_S = 0.5
START_HORIZON_S = 3.0


@attrs.define
class ArrivalRate:
    """Moving average of arrivals a second.

    Attributes
    ----------
    per_s : float
        The average at the last arrival.
    at : float
        Loop time of the last arrival in seconds.
    """

    per_s: float = 0.0
    at: float = 0.0

    def record(self, now: float) -> None:
        """Add one arrival."""
        self.per_s = self.current(now) + 1.0 / ARRIVAL_WINDOW_S
        self.at = now

    def current(self, now: float) -> float:
        """Return the arrivals a second as of a loop time."""
        return self.per_s * math.exp(-max(now - self.at, 0.0) / ARRIVAL_WINDOW_S)


@attrs.frozen
class CallResult:
    """What one call says about the state of its service.

    Attributes
    ----------
    seconds : float
        Duration of the call.
    lost : bool
        Whether there was no response.
    congested : bool
        Whether the response says that the target has too much work.
    """

    seconds: float
    lost: bool = False
    congested: bool = False


def is_congested(
    rejected: bool, seconds: float, usual_s: float, report: LoadReport | None, sent_at: float
) -> bool:
    """Return whether a response says that its target has too much work.

    A host that is slow for reasons of its own is not congested: the slowdown that it reports is
    allowed for.

    Parameters
    ----------
    rejected : bool
        Whether the target rejected the call without running it.
    seconds : float
        Duration of the call.
    usual_s : float
        Usual duration at the target, 0 if unknown.
    report : LoadReport or None
        Newest load report of the target.
    sent_at : float
        Loop time of the call; an older report does not count.
    """
    if rejected:
        return True
    slowdown = 1.0
    if report is not None and report.at >= sent_at:
        if report.waiting > WAITING_SHARE * report.slots:
            return True
        slowdown = max(report.slowdown or 1.0, 1.0)
    return usual_s > 0 and seconds > LATENCY_FACTOR * usual_s * slowdown


@attrs.define
class ConcurrencyLimit:
    """Limit on the calls of this process to one service: additive increase, then a cut.

    Load pattern: a few targets with few slots serve the calls of all processes that own a model and
    callers' requests that want a response within 0.2 s. Lots end in bursts of calls, which would
    occupy all slots for as long as the burst lasts. The processes do not talk to each other for
    each call, so each raises its limit by one call a round while no response reports congestion,
    and cuts it by a fifth when one does. The slots that requests of other processes occupy and a
    reserve for callers' requests are left free in any case.

    Attributes
    ----------
    limit : float
        Calls that the responses so far permit; 0 before the slots are known.
    slots : int
        Slots of all targets of the service.
    others : float
        Average number of requests of other processes at the targets.
    latency_s : float
        Moving average of the duration of a call.
    lost_share : float
        Moving average of the share of calls without a response.
    callers : ArrivalRate
        Arrivals of callers' requests for the service at this process.
    """

    limit: float = 0.0
    slots: int = 0
    others: float = 0.0
    latency_s: float = DEFAULT_LATENCY_S
    lost_share: float = 0.0
    decreased_at: float = float("-inf")
    callers: ArrivalRate = attrs.field(factory=ArrivalRate)

    def set_capacity(self, slots: int, others: float) -> None:
        """Set the slots of the service, and how many of them other processes use on average."""
        self.limit = min(self.limit or slots, slots)
        self.slots = slots
        self.others = others

    def reserve(self, now: float) -> float:
        """Return the slots that are kept free for callers' requests of this process."""
        return RESERVE_FACTOR * self.callers.current(now) * self.latency_s

    def allowed(self, now: float) -> int:
        """Return the number of concurrent calls that are allowed now."""
        free = self.slots - self.others - self.reserve(now)
        return max(int(min(self.limit, free)), int(MIN_SLOT_SHARE * self.slots), MIN_CALLS)

    def record(self, result: CallResult, in_flight: int, now: float) -> None:
        """Adapt the limit to the result of a call.

        Parameters
        ----------
        in_flight : int
            Calls in progress when this one ended, itself included.
        """
        self.latency_s += LATENCY_SMOOTHING * (result.seconds - self.latency_s)
        self.lost_share += LOST_SMOOTHING * (float(result.lost) - self.lost_share)
        if result.congested or (result.lost and self.lost_share > LOST_SHARE):
            self.decrease(now)
            return
        # An unused limit says nothing about more calls.
        if not result.lost and 2 * in_flight >= self.limit:
            self.limit = min(self.limit + 1.0 / max(self.limit, 1.0), max(self.slots, MIN_CALLS))

    def decrease(self, now: float) -> None:
        """Cut the limit, unless it was cut for the same congestion."""
        if now - self.decreased_at < DECREASE_INTERVAL_S:
            return
        self.decreased_at = now
        self.limit = max(self.limit * DECREASE_FACTOR, float(MIN_CALLS))

    def backlog_s(self, waiting: int, now: float) -> float:
        """Return the seconds in which a number of waiting calls would be served."""
        return waiting * self.latency_s / self.allowed(now)


def start_allowance(limit: ConcurrencyLimit, waiting: int, running: int, now: float) -> int | None:
    """Return how many items may start, None without a bound.

    Load pattern: a scorer is overloaded or lost while lots run. Items that are started then
    complete their text and wait for a score, while their engines could generate what has time.

    Parameters
    ----------
    waiting : int
        Calls that wait for the limit.
    running : int
        Items that run at engines and need a score.
    """
    if limit.backlog_s(waiting, now) <= SHORT_BACKLOG_S:
        return None
    scored = START_HORIZON_S * limit.allowed(now) / limit.latency_s
    return max(int(scored) - waiting - running, 0)
