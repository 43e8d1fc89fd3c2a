"""What is spoken with targets: requests, responses, reports and orders."""

import attrs
import msgspec

from turmericreach.http1 import Headers
from turmericreach.platform.decoding import Fields, decode_json
from turmericreach.platform.names import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    ORDER_PATH,
    PRIORITY,
    RETRY_AFTER,
    SERVER_LOAD,
    SERVER_STAMP,
    WEIGHT_VERSIONS,
)

__all__ = [
    "ORDER_PATH",
    "AttemptHead",
    "TargetAnswer",
    "TargetReport",
    "VersionOrder",
    "attempt_head",
    "decode_report",
    "echo_of",
    "encode_order",
    "forwarded_fields",
    "item_fields",
    "order_fields",
    "read_answer",
    "refusal_fields",
    "report_fields",
    "scorer_fields",
    "version_of_line",
]

# Fields of a caller's request that the product sets itself.
SET_BY_PRODUCT = frozenset({DEADLINE_MS.lower(), EXPECT_INSTANCE.lower(), PRIORITY.lower()})
WEIGHT_VERSIONS_LINE = WEIGHT_VERSIONS.lower() + ":"


@attrs.frozen
class AttemptHead:
    """What a caller's request says of one attempt.

    Attributes
    ----------
    id : str
        Names the attempt, empty if the caller sent none.
    time_limit_s : float or None
        How long the caller will wait.
    last_event_id : int or None
        Last event of a stream that the caller has.
    """

    id: str
    time_limit_s: float | None
    last_event_id: int | None


@attrs.frozen
class TargetAnswer:
    """What the head of a target's response says.

    Attributes
    ----------
    status : int
        Status code.
    not_run : bool
        Whether the target says that it did not run the request.
    stamp : str
        The target's signature of its answer, empty if there is none.
    weight_version : int or None
        Version of the weights at the start of the answer.
    load : tuple of int or None
        Running requests, waiting requests and slots.
    """

    status: int
    not_run: bool
    stamp: str
    weight_version: int | None
    load: tuple[int, int, int] | None


@attrs.frozen
class VersionOrder:
    """An order to a target to load a version of a model's weights.

    Attributes
    ----------
    model, version
        What to load.
    holder : str
        Host that gives the order.
    fencing_token : int
        Rises with each change of the order giver.
    expected_orders : int or None
        The order holds only if the target has accepted this many orders before.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    expected_orders: int | None = None


def attempt_head(headers: Headers) -> AttemptHead:
    """Return what a request says of its attempt."""
    deadline_ms = headers.number(DEADLINE_MS)
    last = headers.get(LAST_EVENT_ID)
    return AttemptHead(
        id=headers.get(ATTEMPT_ID, ""),
        time_limit_s=None if deadline_ms is None else deadline_ms / 1000,
        last_event_id=int(last) if last is not None and last.isdigit() else None,
    )


def echo_of(attempt_id: str) -> tuple[str, str] | None:
    """Return the field that a target's response repeats."""
    return (ATTEMPT_ID, attempt_id) if attempt_id else None


def forwarded_fields(
    headers: Headers, target_id: str, time_left_s: float, last_event_id: int | None = None
) -> list[tuple[str, str]]:
    """Return the fields with which a caller's request is passed on."""
    fields = []
    for name, value in headers.end_to_end():
        lower = name.lower()
        if lower in SET_BY_PRODUCT:
            continue
        if last_event_id is not None and lower == LAST_EVENT_ID.lower():
            continue
        fields.append((name, value))
    fields.append((DEADLINE_MS, str(max(int(time_left_s * 1000), 1))))
    fields.append((EXPECT_INSTANCE, target_id))
    if last_event_id is not None:
        fields.append((LAST_EVENT_ID, str(last_event_id)))
    return fields


def item_fields(
    host: str,
    item_id: str,
    own_fields: list[tuple[str, str]],
    target_id: str,
    time_left_s: float,
    last_event_id: int | None,
    priority: int | None,
) -> list[tuple[str, str]]:
    """Return the fields of a lot's item at a target."""
    reserved = SET_BY_PRODUCT | {ATTEMPT_ID.lower(), LAST_EVENT_ID.lower(), "host"}
    fields = [("Host", host), (ATTEMPT_ID, item_id)]
    for name, value in Headers(own_fields).end_to_end():
        if name.lower() not in reserved:
            fields.append((name, value))
    fields.append((DEADLINE_MS, str(max(int(time_left_s * 1000), 1))))
    fields.append((EXPECT_INSTANCE, target_id))
    if last_event_id is not None:
        fields.append((LAST_EVENT_ID, str(last_event_id)))
    if priority is not None:
        fields.append((PRIORITY, str(priority)))
    return fields


def scorer_fields(
    host: str, scorer_id: str, target_id: str, time_left_s: float
) -> list[tuple[str, str]]:
    """Return the fields of the call that scores an item."""
    return [
        ("Host", host),
        (ATTEMPT_ID, scorer_id),
        (DEADLINE_MS, str(max(int(time_left_s * 1000), 1))),
        (EXPECT_INSTANCE, target_id),
    ]


def report_fields() -> list[tuple[str, str]]:
    """Return the fields with which a target is asked for its report."""
    return [("Host", "reports")]


def order_fields(target_id: str) -> list[tuple[str, str]]:
    """Return the fields of an order, which only the named target carries out."""
    return [
        ("Host", "orders"),
        ("Content-Type", "application/json"),
        (EXPECT_INSTANCE, target_id),
    ]


def encode_order(order: VersionOrder) -> bytes:
    """Return the body of an order."""
    body = {
        "op": "version",
        "model": order.model,
        "version": order.version,
        # Runs in progress go on under the new version.
        "strategy": "keep",
        "holder": order.holder,
        "fence": order.fencing_token,
    }
    if order.expected_orders is not None:
        body["precondition"] = order.expected_orders
    return msgspec.json.encode(body)


def read_answer(status: int, headers: Headers) -> TargetAnswer:
    """Return what the head of a target's response says."""
    version = headers.get(WEIGHT_VERSIONS, "")
    return TargetAnswer(
        status=status,
        not_run=headers.get(NOT_EXECUTED) is not None or status == 421,
        stamp=headers.get(SERVER_STAMP, ""),
        weight_version=int(version) if version.isdigit() else None,
        load=read_load(headers.get(SERVER_LOAD)),
    )


def read_load(text: str | None) -> tuple[int, int, int] | None:
    """Return running, waiting and slots of a load field."""
    if text is None:
        return None
    parts = [part.strip() for part in text.split(",")]
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return None
    return int(parts[0]), int(parts[1]), int(parts[2])


def version_of_line(line: str) -> int | None:
    """Return the version that a line of an event names, or None for another line."""
    if not line.lower().startswith(WEIGHT_VERSIONS_LINE):
        return None
    text = line[len(WEIGHT_VERSIONS_LINE) :].strip()
    return int(text) if text.isdigit() else None


def refusal_fields(retry_after_s: float | None) -> list[tuple[str, str]]:
    """Return the field that tells when a caller may come again."""
    if retry_after_s is None:
        return []
    return [(RETRY_AFTER, f"{retry_after_s:.3f}")]


@attrs.frozen
class TargetReport:
    """What a target says of itself on request.

    Attributes
    ----------
    versions : dict of str to int
        Loaded versions by model.
    loading : bool
        Whether an order is in progress.
    orders_accepted : int
        Orders accepted since its start.
    running, waiting : int
        Requests.
    started_ms : int
        Unix milliseconds of its start.
    """

    versions: dict[str, int]
    loading: bool
    orders_accepted: int
    running: int
    waiting: int
    started_ms: int


def decode_report(body: bytes) -> TargetReport:
    """Return a target's report."""
    fields = Fields(decode_json(body))
    versions = {}
    for value in fields.list("models", []):
        model = Fields(value, "models")
        versions[model.text("name")] = model.integer("version")
    return TargetReport(
        versions=versions,
        loading=fields.boolean("busy", False),
        orders_accepted=fields.integer("seq"),
        running=fields.integer("running", 0),
        waiting=fields.integer("waiting", 0),
        started_ms=fields.integer("born", 0),
    )
