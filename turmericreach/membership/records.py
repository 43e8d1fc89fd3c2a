"""Records and messages of the member table."""

import functools
import zlib
from typing import TypeVar

import attrs
import msgspec

from turmericreach.weights.wanted import WantedVersion

__all__ = [
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

# Records of one reply resemble each other, so compression pays off beyond the bare heartbeat.
COMPRESS_FROM_BYTES = 400
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
STATE_ORDER = {"live": 0, "leaving": 1, "stopped": 2}


@attrs.frozen
class TargetStatus:
    """What an agent says about one target.

    Attributes
    ----------
    state : str
        ``up`` or ``down`` as the agent sees the back end.
    version, wanted, prepared : int
        Real and wanted weight version, and the highest version that the target holds ready.
    running, waiting, slots : int
        Requests in flight, requests in the queue and slots.
    drained : bool
        Whether an operator drained the target; unlike LEAVING this can be lifted.
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


@attrs.frozen
class MemberRecord:
    """What a daemon says about itself; only that daemon changes it.

    Attributes
    ----------
    started_ms : int
        Start number of the process, its start time unless a relay made it raise the number.
    incarnation : int
        Random number of the process.
    sequence : int
        Raised by the daemon with each change.
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
        """Order among the processes that had this name."""
        return (self.started_ms, self.incarnation)

    @property
    def order(self) -> tuple[int, int, int, bool]:
        """Order among all records of this name; a whole record precedes its partial copy."""
        return (self.started_ms, self.incarnation, self.sequence, not self.partial)

    def without_load(self) -> "MemberRecord":
        """Return the record with the fields that change with each request blanked."""
        targets = [attrs.evolve(item, running=0, waiting=0) for item in self.targets]
        return attrs.evolve(self, targets=targets, sequence=0)

    def without_targets(self) -> "MemberRecord":
        """Return the partial copy."""
        return attrs.evolve(self, targets=[], partial=True)

    def identity(self) -> tuple:
        """Return the fields that every daemon of the data centre needs."""
        return (self.process, self.role, self.address, self.http_address, self.state)


@attrs.frozen
class HostState:
    """A row of the platform's list of hosts; `name` is the name of the host's daemon."""

    name: str
    state: str = "live"


@attrs.frozen
class Silence:
    """A member that a relay has not heard for some seconds."""

    name: str
    started_ms: int
    age_s: float


@attrs.frozen
class Report:
    """What a daemon sends to a relay once a second.

    Attributes
    ----------
    since, relay_process : int
        Last change of the relay's table that the sender has, and the process that counted it.
    whole : bool
        Whether the sender needs the targets and the other data centres.
    record : MemberRecord or None
        The own record, unless the relay has confirmed it.
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
    """Answer of a relay.

    Attributes
    ----------
    seen : int
        Sequence of the reporter's record that the relay holds, 0 for none.
    raise_start_to : int
        Start number that the reporter must exceed, because the relay knows a later process of
        that name; 0 for none.
    since, position : int
        The changes after `since` up to `position` are included; `more` says that others wait.
    leaving : dict
        Highest start number that is leaving, for members of hosts that the platform lists as
        leaving.
    wanted : list of WantedVersion
        Rows that the reporter may lack; the daemon fills them in.
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
    """Changes of the sender's data centre for a relay of another one."""

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
    """Confirms the changes up to `position`, counted by `process` of the digest's sender."""

    name: str
    process: int
    position: int
    generation: int = 0
    wanted: list[WantedVersion] = attrs.field(factory=list)


@attrs.frozen
class Notice:
    """Pushed at once: a member record, a generation or wanted versions."""

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
    """Return the JSON of a message, compressed when it is long.

    Empty fields that have an empty default are left out: a relay gets 57 reports a second, and
    most of their fields are empty.
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
    """Return the message; unknown fields are ignored.

    Raises
    ------
    msgspec.DecodeError
        If the body is not a message of that type or is too long.
    """
    if body[:1] == b"{":
        return msgspec.json.decode(body, type=message_type)
    expander = zlib.decompressobj()
    try:
        text = expander.decompress(body, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"message cannot be decompressed: {error}") from error
    if not expander.eof:
        raise msgspec.DecodeError("message is truncated or too long")
    return msgspec.json.decode(text, type=message_type)
