"""What processes tell each other."""

import attrs

from turmericreach.batches.model import Progress
from turmericreach.batches.records import BatchRecord
from turmericreach.metadata import ObjectChange

__all__ = ["ChangePage", "HandOver", "LoadNotice", "LotNotice", "PeerStatus"]


@attrs.frozen
class PeerStatus:
    """What a process says of itself.

    Attributes
    ----------
    host : str
        Its host.
    incarnation : str
        Names this run of the process.
    store_age_s : float
        Seconds since the store answered it.
    leaving : bool
        Whether it is about to stop.
    cores : float
        Processor time that it may use.
    changes : dict of str to int
        Revision of the newest change that it has seen, by kind of object.
    event_s : dict of str to float
        Seconds an event that it has seen at targets.
    order_age_s : float
        Seconds since its last order to a target.
    """

    host: str
    incarnation: str
    store_age_s: float
    leaving: bool
    cores: float = 1.0
    changes: dict[str, int] = attrs.field(factory=dict)
    event_s: dict[str, float] = attrs.field(factory=dict)
    order_age_s: float = 1e9


@attrs.frozen
class ChangePage:
    """Changes of a kind as the coordinator knows them.

    Attributes
    ----------
    changes : list of ObjectChange
        Changes after the revision asked for.
    revision : int
        Store revision up to which they are whole.
    age_s : float
        Seconds since the coordinator knew its copy to be current.
    """

    changes: list[ObjectChange]
    revision: int
    age_s: float


@attrs.frozen
class LotNotice:
    """The present state of a lot; its object may be left out where the receiver can read it."""

    record: BatchRecord


@attrs.frozen
class HandOver:
    """A lot that another process is to run.

    Attributes
    ----------
    record : BatchRecord
        The lot with its object.
    progress : dict of str to Progress
        Text of its unlisted items.
    """

    record: BatchRecord
    progress: dict[str, Progress]


@attrs.frozen
class LoadNotice:
    """Tells other processes that a target loads a version."""

    target: str
    model: str
    version: int
    ready_in_s: float
