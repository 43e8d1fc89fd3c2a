"""Admission of lots at their submission."""

from collections.abc import Iterable, Sequence

import attrs

__all__ = ["LotBacklog", "LotDecision", "LotWork", "admit_lot", "joined_backlog", "lot_work"]

# What an owner said about its backlog is not used after this time, since a lot may have ended.
MAX_BACKLOG_AGE_S = 1.0
# Estimates of lengths are often off by a factor of two, so a lot is rejected only if even half of
# the expected work before it would leave it no time.
ESTIMATE_DOUBT = 0.5
MIN_RETRY_S = 0.5
MAX_RETRY_S = 30.0


@attrs.frozen
class LotWork:
    """The work of a lot.

    Attributes
    ----------
    model : str
        Model that generates the texts.
    items : int
        Number of items.
    events : float
        Expected number of events of all items together.
    group_events : float
        Expected number of events of the group with the least of them.
    group_longest_events : float
        Expected number of events of the longest item of that group.
    """

    model: str
    items: int
    events: float
    group_events: float
    group_longest_events: float


@attrs.frozen
class LotBacklog:
    """What the owner of a model's lots knows about the capacity for the next one.

    Attributes
    ----------
    model : str
        Name of the model.
    slots : int
        Slots of the engines that the owner may use for the model; 0 if none is usable now.
    event_s : float
        Usual seconds per event at these engines at their present load.
    running_s : float
        Expected seconds until the end of all running requests together.
    waiting_events : float
        Expected events of the items that wait and will start before those of a new lot.
    useful_s : float
        Seconds until the trainers have given up all open lots, so that none of their items is left.
    overhead_s : float
        Seconds that an item takes besides its events: its prompt is read, its text is scored.
    """

    model: str
    slots: int
    event_s: float
    running_s: float
    waiting_events: float
    useful_s: float
    overhead_s: float = 0.0


@attrs.frozen
class LotDecision:
    """Whether a lot is accepted, and on which figures this was based.

    Attributes
    ----------
    accepted : bool
        Whether it is accepted.
    reason : str
        Why.
    retry_s : float or None
        Seconds after which a rejected lot could be served; None if it is accepted.
    start_s, group_s : float
        Expected seconds until its first items start, and from then on until the first group is
        complete.
    """

    accepted: bool
    reason: str
    retry_s: float | None = None
    start_s: float = 0.0
    group_s: float = 0.0


def joined_backlog(backlogs: Sequence[LotBacklog | None]) -> LotBacklog | None:
    """Return the backlog of a model over all services of its route, None if one is not known.

    Each of them counts all items of the model, and the engines of its own service.
    """
    known = [backlog for backlog in backlogs if backlog is not None]
    if not known or len(known) < len(backlogs):
        return None
    slots = sum(backlog.slots for backlog in known)
    if len(known) == 1 or not slots:
        return known[0]
    speeds = sum(backlog.slots / backlog.event_s for backlog in known if backlog.event_s > 0)
    event_s = slots / speeds if speeds else 0.0
    running_events = (
        max(backlog.running_s / backlog.event_s for backlog in known if backlog.event_s > 0)
        if speeds
        else 0.0
    )
    return attrs.evolve(
        known[0],
        slots=slots,
        event_s=event_s,
        running_s=running_events * event_s,
    )


def lot_work(
    model: str, events_by_group: Iterable[tuple[str, float]], tokens_per_event: float
) -> LotWork:
    """Return the work of a lot.

    Parameters
    ----------
    events_by_group : iterable of (str, float)
        Group and expected number of output tokens of each item.
    tokens_per_event : float
        Number of tokens in one event of the engines.
    """
    totals: dict[str, float] = {}
    longest: dict[str, float] = {}
    items = 0
    for group, tokens in events_by_group:
        events = tokens / tokens_per_event
        totals[group] = totals.get(group, 0.0) + events
        longest[group] = max(longest.get(group, 0.0), events)
        items += 1
    if not totals:
        return LotWork(model, 0, 0.0, 0.0, 0.0)
    # The group that could be complete first.
    group = min(totals, key=lambda name: (longest[name], totals[name]))
    return LotWork(model, items, sum(totals.values()), totals[group], longest[group])


def admit_lot(
    work: LotWork, backlog: LotBacklog | None, useful_s: float, age_s: float
) -> LotDecision:
    """Return whether a lot can be served before it is of no use any more.

    Load pattern: trainers submit a lot every few seconds and give up at a time limit. With far too
    little capacity the items of a new lot would wait until then behind those of the open lots,
    their trainer would learn nothing for 12 s, and each of them would still cost a start. A lot is
    rejected only if not one of its groups can be complete in time even if the open lots need half
    of what is expected; whatever is in doubt is accepted. Open lots end at their own time limits
    at the latest, so a lot whose trainer waits longer than theirs is always accepted if one of its
    groups fits into the difference.

    Parameters
    ----------
    work : LotWork
        Work of the lot.
    backlog : LotBacklog or None
        What the owner of the model's lots knows; None if it has not answered.
    useful_s : float
        Seconds until the trainer gives up.
    age_s : float
        Seconds since the owner has described its backlog.
    """
    if backlog is None or age_s > MAX_BACKLOG_AGE_S:
        return LotDecision(True, "the backlog is not known")
    if backlog.slots <= 0 or backlog.event_s <= 0:
        return LotDecision(True, "no engine is known yet")
    waiting_s = backlog.running_s + backlog.waiting_events * backlog.event_s
    start_s = min(ESTIMATE_DOUBT * waiting_s / backlog.slots, max(backlog.useful_s, 0.0))
    group_s = backlog.overhead_s + backlog.event_s * max(
        work.group_longest_events, work.group_events / backlog.slots
    )
    group_s *= ESTIMATE_DOUBT
    if start_s + group_s <= useful_s:
        return LotDecision(True, "a group can be complete in time", None, start_s, group_s)
    if group_s > useful_s:
        # If this is true the lot is always too long, and to come again would not help it.
        return LotDecision(True, "the estimates are in doubt", None, start_s, group_s)
    missing_s = start_s + group_s - useful_s
    retry_s = min(max(missing_s, MIN_RETRY_S), MAX_RETRY_S)
    return LotDecision(False, "no group can be complete in time", retry_s, start_s, group_s)
