"""Messages between processes."""

import attrs

from turmericreach.batches.model import Progress
from turmericreach.batches.model_work import ModelWork
from turmericreach.batches.records import BatchRecord
from turmericreach.duties.usage import UsageShare
from turmericreach.metadata import ObjectChange

__all__ = [
    "ChangePage",
    "CountingStatus",
    "CrashingRequest",
    "HandOver",
    "LeavingTarget",
    "LoadNotice",
    "LotNotice",
    "OriginQuery",
    "OriginReply",
    "PeerStatus",
    "PermitReply",
    "PermitRequest",
    "RelayedCall",
    "RelayedStatus",
    "SharedState",
    "StreamBegun",
    "TargetLimit",
]


@attrs.frozen
class PeerStatus:
    """Status that a process reports about itself.

    Attributes
    ----------
    host : str
        Host of the process.
    incarnation : str
        Unique id of this run of the process.
    store_age_s : float
        Seconds since the last response of the metadata store to the process.
    leaving : bool
        Whether the process is about to stop.
    cores : float
        Processor time that the process may use, in cores.
    changes : dict of str to int
        Revision of the newest change that the process has seen, by kind of object.
    event_s : dict of str to float
        Measured seconds per event at engines, by target id.
    order_age_s : float
        Seconds since the last order of the process to a target.
    shared_revision : int
        Revision of the tables that the process shares with others.
    observed_revision : int
        Revision of the newest fact in them that the process has observed itself.
    work : list of ModelWork
        Work of the lots that the process runs.
    """

    host: str
    incarnation: str
    store_age_s: float
    leaving: bool
    cores: float = 1.0
    changes: dict[str, int] = attrs.field(factory=dict)
    event_s: dict[str, float] = attrs.field(factory=dict)
    order_age_s: float = 1e9
    shared_revision: int = 0
    observed_revision: int = 0
    work: list[ModelWork] = attrs.field(factory=list)


@attrs.frozen
class CountingStatus(PeerStatus):
    """Status of a process that counts the requests of tenants.

    Attributes
    ----------
    clock : float
        Wall clock of the process without jumps, in seconds since 1970.
    usage_revision : int
        Revision of its counts up to which `usage` is complete.
    usage : list of UsageShare or None
        Counts that have changed since the requested revision, None if none was requested.
    own_only : bool
        Whether these are the own counts and those of ended processes only.
    """

    clock: float = 0.0
    usage_revision: int = 0
    usage: list[UsageShare] | None = None
    own_only: bool = False


@attrs.frozen
class ChangePage:
    """Changes of the objects of a kind that the coordinator relays.

    Attributes
    ----------
    changes : list of ObjectChange
        Changes after the requested revision.
    revision : int
        Revision of the store up to which the changes are complete.
    age_s : float
        Seconds since the coordinator's copy was last known to be current.
    """

    changes: list[ObjectChange]
    revision: int
    age_s: float


@attrs.frozen
class LotNotice:
    """Notification of the current state of a lot.

    Attributes
    ----------
    record : BatchRecord
        Record of the lot; its object may be left out, since the receiver can read it.
    """

    record: BatchRecord


@attrs.frozen
class HandOver:
    """Request to another process to take over the run of a lot.

    Attributes
    ----------
    record : BatchRecord
        Record of the lot with its object.
    progress : dict of str to Progress
        Text generated so far by item, for items that are not listed.
    """

    record: BatchRecord
    progress: dict[str, Progress]


@attrs.frozen
class LoadNotice:
    """Notification that a target is loading a version of a model.

    Attributes
    ----------
    target : str
        Id of the target.
    model : str
        Model that is loaded.
    version : int
        Version of the weights.
    ready_in_s : float
        Expected seconds until the version is loaded.
    """

    target: str
    model: str
    version: int
    ready_in_s: float


@attrs.frozen
class TargetLimit:
    """What the sender knows of the limit of a target.

    Attributes
    ----------
    target : str
        Id of the target.
    per_s : float or None
        Requests a second that the target accepts, None if it no longer names a limit.
    since_s : float
        Seconds since a response first said so.
    confirmed_s : float
        Seconds since the last response that said so.
    """

    target: str
    per_s: float | None
    since_s: float
    confirmed_s: float


@attrs.frozen
class CrashingRequest:
    """What the sender knows of a request under which targets have ended.

    Attributes
    ----------
    fingerprint : str
        Digest of the request.
    targets : list of str
        Runs of targets that ended while they served it; none if a target has completed it since.
    last_s : float
        Seconds since the last one ended.
    cleared_s : float
        Seconds since a target has completed the request, 1e9 if none has.
    """

    fingerprint: str
    targets: list[str]
    last_s: float
    cleared_s: float


@attrs.frozen
class LeavingTarget:
    """What the sender knows of a target that has announced that it leaves.

    Attributes
    ----------
    run : str
        Name of the run of the target.
    since_s : float
        Seconds since the first response that said so.
    """

    run: str
    since_s: float


@attrs.frozen
class SharedState:
    """What several processes share about targets and requests.

    Attributes
    ----------
    limits : list of TargetLimit
        Limits that became known after the requested revision.
    requests : list of CrashingRequest
        Requests of which something became known after that revision.
    leaving : list of LeavingTarget
        Targets whose leave became known after that revision.
    """

    limits: list[TargetLimit] = attrs.field(factory=list)
    requests: list[CrashingRequest] = attrs.field(factory=list)
    leaving: list[LeavingTarget] = attrs.field(factory=list)


@attrs.frozen
class StreamBegun:
    """Notification of the software that began a caller's stream.

    Attributes
    ----------
    attempt : str
        Id of the caller's attempt.
    software : str
        Software of the target.
    order : int
        Number of the target among those that the attempt was sent to.
    """

    attempt: str
    software: str
    order: int


@attrs.frozen
class OriginQuery:
    """Request for the software that began a caller's stream.

    Attributes
    ----------
    attempt : str
        Id of the attempt that brought the first event.
    """

    attempt: str


@attrs.frozen
class OriginReply:
    """Response to a request for the software that began a stream.

    Attributes
    ----------
    software : str
        The software, empty if the sender does not know it.
    """

    software: str


@attrs.frozen
class PermitRequest:
    """Request for a permit for one of several targets that have named a limit.

    Attributes
    ----------
    limits : list of TargetLimit
        Targets, the preferred ones first, with what the sender knows of their limits.
    priority : int
        Priority of the request to be sent; 0 is the highest.
    max_delay_s : float
        Longest time in seconds that the request can wait.
    """

    limits: list[TargetLimit]
    priority: int
    max_delay_s: float


@attrs.frozen
class PermitReply:
    """Response to a request for a permit.

    Attributes
    ----------
    target : str
        Id of the target that the permit is for, empty if there is none.
    wait_s : float
        Seconds until the request may be sent; without a permit, seconds after which to ask again.
    """

    target: str
    wait_s: float


@attrs.frozen
class RelayedCall:
    """A call to the platform that the sender cannot make itself.

    Attributes
    ----------
    path : str
        Path of the call.
    body : str
        Body of the call.
    holder : str
        Host that holds the duty.
    token : int
        Its fencing token.
    """

    path: str
    body: str
    holder: str
    token: int


@attrs.frozen
class RelayedStatus:
    """Response to a relayed call.

    Attributes
    ----------
    status : int
        Status with which the platform responded.
    """

    status: int
