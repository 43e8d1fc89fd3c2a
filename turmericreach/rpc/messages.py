"""Typed messages of the inner protocol and their conversion to and from Cap'n Proto."""

from pathlib import Path

import attrs
import capnp

from turmericreach.rpc.errors import PeerIncompatible
from turmericreach.verdicts import Outcome, Segment, Verdict

__all__ = ["PROTOCOL_VERSION", "Attempt", "Hello", "check_protocol", "inner"]

PROTOCOL_VERSION = 1
# pycapnp rejects messages over 64 MiB; a lot of that size is larger still in its JSON encoding.
PART_BYTES = 32 * 1024 * 1024
MAX_CONTROL_BYTES = 512 * 1024 * 1024

SCHEMA_PATH = Path(__file__).with_name("inner.capnp")
# The compiler finds the standard schema stream.capnp in pycapnp's own folder.
inner = capnp.load(str(SCHEMA_PATH), imports=[str(Path(capnp.__file__).parent.parent)])

VERDICT_TO_WIRE = {
    Verdict.ANSWERED: "answered",
    Verdict.NOT_RUN: "notRun",
    Verdict.MAY_HAVE_RUN: "mayHaveRun",
}
VERDICT_FROM_WIRE = {wire: verdict for verdict, wire in VERDICT_TO_WIRE.items()}


@attrs.frozen
class Hello:
    """Identity that two processes exchange when a connection opens."""

    name: str
    role: str
    data_centre: str
    incarnation: int
    generation: int = 0
    protocol: int = PROTOCOL_VERSION
    clock_ms: int = 0


@attrs.frozen
class Attempt:
    """One submission of a request to one target.

    Attributes
    ----------
    request_id : str
        Identifies the caller's request over all its attempts.
    attempt_id : str
        Unique to this attempt; an attempt is sent once.
    incarnation : int
        Agent process the attempt is addressed to; another one rejects it.
    deadline_ms : int
        Deadline on the monotonic clock of the agent, in milliseconds.
    min_version : int
        Lowest weight version that may serve the attempt, 0 for any.
    expected_tokens : int
        Estimate that is charged to the trainer when the attempt starts, 0 if there is none.
    """

    request_id: str
    attempt_id: str
    target: str
    incarnation: int
    deadline_ms: int
    idempotent: bool = True
    priority: str = "ordinary"
    method: str = "GET"
    path: str = "/"
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""
    stream: bool = False
    lot: str = ""
    trainer: str = ""
    min_version: int = 0
    expected_tokens: int = 0


def check_protocol(peer: Hello, own: int = PROTOCOL_VERSION) -> None:
    """Check that the protocol version of a peer is the own one or adjacent to it.

    A rolling upgrade runs two adjacent versions at the same time. Each version remains compatible
    with the one before it, and with none older.

    Raises
    ------
    PeerIncompatible
        If the versions are further apart.
    """
    if abs(peer.protocol - own) <= 1:
        return
    raise PeerIncompatible(
        f"{peer.name or 'a peer'} speaks protocol {peer.protocol}, this daemon speaks {own} and"
        f" works with {max(0, own - 1)} to {own + 1}"
    )


def fill_headers(builder, headers):
    """Write header pairs into a list builder."""
    for item, (name, value) in zip(builder, headers, strict=True):
        item.name = name
        item.value = value


def read_headers(reader):
    """Read header pairs from a list reader."""
    return [(item.name, item.value) for item in reader]


def fill_attempt(builder, attempt):
    """Write an `Attempt` into its Cap'n Proto builder."""
    builder.requestId = attempt.request_id
    builder.attemptId = attempt.attempt_id
    builder.target = attempt.target
    builder.incarnation = attempt.incarnation
    builder.deadlineMs = attempt.deadline_ms
    builder.idempotent = attempt.idempotent
    builder.priority = attempt.priority
    builder.method = attempt.method
    builder.path = attempt.path
    fill_headers(builder.init("headers", len(attempt.headers)), attempt.headers)
    builder.body = attempt.body
    builder.stream = attempt.stream
    builder.lot = attempt.lot
    builder.trainer = attempt.trainer
    builder.minVersion = attempt.min_version
    builder.expectedTokens = attempt.expected_tokens


def read_attempt(reader):
    """Read an `Attempt` from its Cap'n Proto reader."""
    return Attempt(
        request_id=reader.requestId,
        attempt_id=reader.attemptId,
        target=reader.target,
        incarnation=reader.incarnation,
        deadline_ms=reader.deadlineMs,
        idempotent=reader.idempotent,
        priority=reader.priority,
        method=reader.method,
        path=reader.path,
        headers=read_headers(reader.headers),
        body=bytes(reader.body),
        stream=reader.stream,
        lot=reader.lot,
        trainer=reader.trainer,
        min_version=reader.minVersion,
        expected_tokens=reader.expectedTokens,
    )


def build_outcome(outcome):
    """Convert an `Outcome` to a Cap'n Proto message."""
    builder = inner.Outcome.new_message()
    builder.verdict = VERDICT_TO_WIRE[outcome.verdict]
    builder.code = str(outcome.code)
    builder.status = outcome.status
    fill_headers(builder.init("headers", len(outcome.headers)), outcome.headers)
    builder.body = outcome.body
    segments = builder.init("segments", len(outcome.segments))
    for item, segment in zip(segments, outcome.segments, strict=True):
        item.version = segment.version
        item.tokens = segment.tokens
    builder.retryAfterMs = int(outcome.retry_after_s * 1000)
    builder.evidence = outcome.evidence
    builder.load = outcome.load
    return builder


def read_outcome(reader):
    """Read an `Outcome` from its Cap'n Proto reader."""
    return Outcome(
        verdict=VERDICT_FROM_WIRE[str(reader.verdict)],
        code=reader.code,
        status=reader.status,
        headers=read_headers(reader.headers),
        body=bytes(reader.body),
        segments=[Segment(item.version, item.tokens) for item in reader.segments],
        retry_after_s=reader.retryAfterMs / 1000,
        evidence=reader.evidence,
        load=reader.load,
    )


def build_hello(hello):
    """Convert a `Hello` to a Cap'n Proto message."""
    return inner.Hello.new_message(
        protocol=hello.protocol,
        name=hello.name,
        role=hello.role,
        dataCentre=hello.data_centre,
        incarnation=hello.incarnation,
        generation=hello.generation,
        clockMs=hello.clock_ms,
    )


def read_hello(reader):
    """Read a `Hello` from its Cap'n Proto reader."""
    return Hello(
        name=reader.name,
        role=reader.role,
        data_centre=reader.dataCentre,
        incarnation=reader.incarnation,
        generation=reader.generation,
        protocol=reader.protocol,
        clock_ms=reader.clockMs,
    )
