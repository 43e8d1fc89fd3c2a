"""Records and messages of the member table."""

import functools
import zlib
from typing import TypeVar

import attrs
import msgspec

from turmericreach.weights.wanted import WantedVersion

__all__ = [
    "CrashedRequest",
    "Digest",
    "DigestReply",
    "HostState",
    "MemberRecord",
    "Notice",
    "Report",
    "ReportReply",
    "Silence",
    "TargetStatus",
    "decode",
    "encode",
]

Message = TypeVar("Message")

# The records of one reply resemble each other, so compression pays off for any message longer
# than a heartbeat without changes.
COMPRESS_FROM_BYTES = 400
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
STATE_ORDER = {"live": 0, "leaving": 1, "stopped": 2}


@attrs.frozen
class CrashedRequest:
    """An ordinary request under which a target has ended.

    Attributes
    ----------
    fingerprint : str
        Digest of the request.
    runs : list of str
        Names of the runs of the target that ended.
    last_ms : int
        Unix time in milliseconds at which the last one ended.
    """

    fingerprint: str
    runs: list[str]
    last_ms: int


@attrs.frozen
class TargetStatus:
    """Status of one target, as reported by its agent.

    Attributes
    ----------
    name : str
        Name of the target.
    service : str
        Service that the target belongs to.
    state : str
        ``up`` or ``down``, as observed by the agent.
    version : int
        Weight version in use.
    wanted : int
        Weight version that the target should use.
    running, waiting : int
        Requests in flight and requests in the queue.
    slots : int
        Requests that the target runs at the same time.
    drained : bool
        Whether an operator drained the target; unlike the state ``leaving`` this can be undone.
    prepared : int
        Highest weight version that the target is prepared to switch to.
    crashed : list of CrashedRequest
        Requests under which the target has ended.
    """

    name: str
    service: str
    state: str = "up"
    version: int = 0
    wanted: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    drained: bool = False
    prepared: int = 0
    crashed: list[CrashedRequest] = attrs.field(factory=list)


@attrs.frozen
class MemberRecord:
    """Self-description of a process; only that process changes it.

    Attributes
    ----------
    name : str
        Name of the member, which is kept over restarts.
    role : str
        ``gateway`` or ``agent``.
    data_centre, region : str
        Location of the host.
    address : str
        ``host:port`` of the inner protocol.
    http_address : str
        Address of the HTTP endpoint.
    started_ms : int
        Start number of the process: its start time in milliseconds of the wall clock, unless a
        relay made the process raise it.
    incarnation : int
        Random number of the process.
    sequence : int
        Number of the record within the process, raised with each change.
    state : str
        ``live``, ``leaving`` or ``stopped``.
    generation : int
        Generation of the manifest that the process applied.
    targets : list of TargetStatus
        Targets that the process serves.
    partial : bool
        Whether the targets were left out for a receiver that does not need them.
    """

    name: str
    role: str
    data_centre: str
    region: str = "default"
    address: str = ""
    http_address: str = ""
    started_ms: int = 0
    incarnation: int = 0
    sequence: int = 0
    state: str = "live"
    generation: int = 0
    targets: list[TargetStatus] = attrs.field(factory=list)
    partial: bool = False

    @property
    def process(self) -> tuple[int, int]:
        """Sort key among the processes that had this name."""
        return (self.started_ms, self.incarnation)

    @property
    def order(self) -> tuple[int, int, int, bool]:
        """Sort key among all records of this name; a whole record ranks above its partial copy."""
        return (self.started_ms, self.incarnation, self.sequence, not self.partial)

    def without_load(self) -> "MemberRecord":
        """Return the record without the fields that change with each request."""
        targets = [attrs.evolve(item, running=0, waiting=0) for item in self.targets]
        return attrs.evolve(self, targets=targets, sequence=0)

    def without_targets(self) -> "MemberRecord":
        """Return a partial copy, without the targets."""
        return attrs.evolve(self, targets=[], partial=True)

    def identity(self) -> tuple:
        """Return the fields that every process of the data centre needs."""
        return (self.process, self.role, self.address, self.http_address, self.state)


@attrs.frozen
class HostState:
    """A row of the platform's list of hosts; `name` is the name of the member on that host."""

    name: str
    state: str = "live"


@attrs.frozen
class Silence:
    """A member that a relay had no contact with for some seconds.

    Attributes
    ----------
    name : str
        Name of the member.
    started_ms : int
        Start number of its last known process.
    age_s : float
        Seconds since the last contact.
    """

    name: str
    started_ms: int
    age_s: float


@attrs.frozen
class Report:
    """Heartbeat that a process sends to a relay once a second.

    Attributes
    ----------
    name : str
        Name of the sender.
    started_ms, incarnation : int
        Start number and random number of the sender's process.
    since : int
        Position of the last change of the relay's table that the sender has received.
    relay_process : int
        Process of the relay that numbered `since`.
    whole : bool
        Whether the sender needs the targets and the members of other data centres.
    record : MemberRecord or None
        Record of the sender; None if the relay has confirmed it.
    wanted : list of WantedVersion
        Wanted weight versions for the relay.
    """

    name: str
    started_ms: int
    incarnation: int
    since: int = 0
    relay_process: int = 0
    whole: bool = False
    record: MemberRecord | None = None
    wanted: list[WantedVersion] = attrs.field(factory=list)


@attrs.frozen
class ReportReply:
    """Reply of a relay to a report.

    Attributes
    ----------
    relay : str
        Name of the relay.
    relay_process : int
        Process of the relay that numbered the positions.
    since, position : int
        The reply contains the changes after `since` up to `position`.
    seen : int
        Sequence of the reporter's record that the relay holds, 0 for none.
    raise_start_to : int
        Start number that the reporter must exceed, because the relay knows a later process of
        that name; 0 for none.
    more : bool
        Whether there are further changes after `position`.
    generation : int
        Manifest generation that the relay applied.
    changes : list of MemberRecord
        Records that changed.
    removed : list of str
        Names of the members that the relay removed.
    silent : list of Silence
        Members that the relay had no recent contact with.
    silent_data_centres : dict of str to float
        Seconds since the last contact with each data centre that is silent as a whole.
    leaving : dict of str to int
        Highest start number that is leaving, for members of hosts that the platform lists as
        leaving.
    wanted : list of WantedVersion
        Wanted weight versions that the reporter may lack; the member table leaves it empty and
        the process fills it in.
    """

    relay: str
    relay_process: int
    since: int
    position: int
    seen: int = 0
    raise_start_to: int = 0
    more: bool = False
    generation: int = 0
    changes: list[MemberRecord] = attrs.field(factory=list)
    removed: list[str] = attrs.field(factory=list)
    silent: list[Silence] = attrs.field(factory=list)
    silent_data_centres: dict[str, float] = attrs.field(factory=dict)
    leaving: dict[str, int] = attrs.field(factory=dict)
    wanted: list[WantedVersion] = attrs.field(factory=list)


@attrs.frozen
class Digest:
    """Changes of the sender's data centre for a relay of another one.

    The fields have the same meaning as in `ReportReply`; `name` is the sending relay and
    `process` numbers the positions.
    """

    name: str
    data_centre: str
    process: int
    since: int
    position: int
    generation: int = 0
    changes: list[MemberRecord] = attrs.field(factory=list)
    removed: list[str] = attrs.field(factory=list)
    silent: list[Silence] = attrs.field(factory=list)
    leaving: dict[str, int] = attrs.field(factory=dict)
    wanted: list[WantedVersion] = attrs.field(factory=list)


@attrs.frozen
class DigestReply:
    """Confirms the changes up to `position`, as numbered by `process` of the digest's sender."""

    name: str
    process: int
    position: int
    generation: int = 0
    wanted: list[WantedVersion] = attrs.field(factory=list)


@attrs.frozen
class Notice:
    """Sent at once, ahead of the next report: a member record, a generation or wanted versions."""

    name: str = ""
    generation: int = 0
    record: MemberRecord | None = None
    wanted: list[WantedVersion] = attrs.field(factory=list)


@functools.cache
def defaults_of(message_type):
    """Return the field names of a message class and their defaults."""
    fields = []
    for field in attrs.fields(message_type):
        default = field.default
        if isinstance(default, attrs.Factory):
            default = default.factory()
        fields.append((field.name, default))
    return fields


def encode(message) -> bytes:
    """Return a message as JSON, compressed with zlib if it is long.

    Fields that are empty and have an empty default are left out, since a relay receives 57
    reports a second and most of their fields are empty.
    """
    fields = {}
    for name, default in defaults_of(type(message)):
        value = getattr(message, name)
        if value or value != default:
            fields[name] = value
    body = msgspec.json.encode(fields)
    if len(body) < COMPRESS_FROM_BYTES:
        return body
    return zlib.compress(body)


def decode(body: bytes, message_type: type[Message]) -> Message:
    """Return the message of a body; unknown fields are ignored.

    Raises
    ------
    msgspec.DecodeError
        If the body is not a message of that type or is too long.
    """
    if body[:1] == b"{":
        return msgspec.json.decode(body, type=message_type)
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"message cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise msgspec.DecodeError("message is truncated or too long")
    return msgspec.json.decode(text, type=message_type)
