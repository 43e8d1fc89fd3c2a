"""Protocol between the product and targets: requests, responses, reports and orders."""

from collections.abc import Iterable

import attrs
import msgspec

from turmericreach.http1 import Headers, read_number
from turmericreach.platform.decoding import Fields, decode_json
from turmericreach.platform.documents import decode_model_versions
from turmericreach.platform.names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    ORDER_PATH,
    PRIORITY,
    RESUMES,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    SERVER_STAMP,
    TENANT,
    WEIGHT_VERSIONS,
)
from turmericreach.sharing import parse_rate

__all__ = [
    "ORDER_PATH",
    "AttemptHead",
    "TargetResponseHead",
    "TargetReport",
    "VersionOrder",
    "attempt_head",
    "challenge_fields",
    "credentials",
    "decode_report",
    "echo_field",
    "encode_order",
    "forwarded_fields",
    "item_fields",
    "order_fields",
    "read_response_head",
    "retry_after_fields",
    "report_fields",
    "scorer_fields",
    "version_of_line",
    "without_identity",
]

# Header fields, in lower case, that the product sets itself instead of copying the caller's.
SET_BY_PRODUCT = frozenset({DEADLINE_MS.lower(), EXPECT_INSTANCE.lower(), PRIORITY.lower()})
# Header fields, in lower case, that say who sends a request.
IDENTITY = frozenset({AUTHORIZATION.lower(), TENANT.lower()})
EVENT_STREAM = "text/event-stream"
# Stamps are kept as the scores of items.
MAX_STAMP_CHARS = 1024
# No target has a million requests.
MAX_LOAD_DIGITS = 6
# The fourth figure of a load field that states the usual duration of work.
USUAL_SLOWDOWN = 100
# Stated slowdowns outside of these bounds are taken for the nearest bound, so that a single wrong
# figure neither attracts all requests nor closes a target for long.
MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 20.0
WEIGHT_VERSIONS_LINE = WEIGHT_VERSIONS.lower() + ":"


@attrs.frozen
class AttemptHead:
    """Header fields of a request that concern one attempt.

    Attributes
    ----------
    id : str
        Identifier of the attempt, empty if the caller sent none.
    timeout_s : float or None
        How long the caller waits for the response, or None if it sent no deadline.
    last_event_id : int or None
        Last event of the stream that the caller has received, or None for a new stream.
    caller : str
        What identifies the caller, empty if nothing does.
    resumes : str
        Id of the attempt that brought the first event of the stream to resume, empty if none is
        named.
    """

    id: str
    timeout_s: float | None
    last_event_id: int | None
    caller: str = ""
    resumes: str = ""


@attrs.frozen
class TargetResponseHead:
    """Status and decoded header fields of a response of a target.

    Attributes
    ----------
    status : int
        Status code.
    not_run : bool
        Whether the target states that it did not run the request.
    stamp : str
        Signature of the response by the target, empty if there is none.
    weight_version : int or None
        Version of the weights at the start of the response, or None if not stated.
    load : tuple of int or None
        Running requests, waiting requests and slots of the target, or None if not stated.
    limit_per_s : float or None
        Requests a second that the target accepts from all processes together, or None if it names
        no limit.
    leaving : bool
        Whether the target states that it is about to stop.
    has_events : bool
        Whether the body may be a stream of events: no other type is named.
    slowdown : float or None
        Present duration of work at the target relative to the usual one, None if not stated.
    """

    status: int
    not_run: bool
    stamp: str
    weight_version: int | None
    load: tuple[int, int, int] | None
    limit_per_s: float | None = None
    leaving: bool = False
    has_events: bool = True
    slowdown: float | None = None


@attrs.frozen
class VersionOrder:
    """An order to a target to load a version of a model's weights.

    Attributes
    ----------
    model : str
        Name of the model.
    version : int
        Version of its weights to load.
    holder : str
        Host that sends the order.
    fencing_token : int
        Number that rises each time another host takes on the duty of sending orders.
    expected_orders : int or None
        The target carries out the order only if it has accepted this many orders since its start;
        None for an order without this condition.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    expected_orders: int | None = None


def attempt_head(headers: Headers) -> AttemptHead:
    """Return the header fields of a request that concern its attempt."""
    deadline_ms = headers.number(DEADLINE_MS)
    return AttemptHead(
        id=headers.get(ATTEMPT_ID, ""),
        timeout_s=None if deadline_ms is None else deadline_ms / 1000,
        last_event_id=read_number(headers.get(LAST_EVENT_ID)),
        caller=headers.get(AUTHORIZATION, ""),
        resumes=headers.get(RESUMES, ""),
    )


def credentials(headers: Headers) -> list[str]:
    """Return the values of the fields with which a caller proves who it is."""
    return headers.values(AUTHORIZATION)


def without_identity(fields: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return header fields without those that say who sends a request."""
    return [field for field in fields if field[0].lower() not in IDENTITY]


def challenge_fields() -> list[tuple[str, str]]:
    """Return the header field that a response with status 401 must have."""
    return [("WWW-Authenticate", "Bearer")]


def echo_field(attempt_id: str = "") -> tuple[str, str]:
    """Return the header field that the response of a target repeats, empty without an attempt."""
    return ATTEMPT_ID, attempt_id


def forwarded_fields(
    headers: Headers,
    target_id: str,
    remaining_s: float,
    last_event_id: int | None = None,
    tenant: str | None = None,
) -> list[tuple[str, str]]:
    """Return the header fields with which the request of a caller is forwarded to a target.

    Parameters
    ----------
    headers : Headers
        Header fields of the caller's request.
    target_id : str
        The only target that may run the request.
    remaining_s : float
        Time until the deadline of the request.
    last_event_id : int, optional
        Last event received of a stream to resume; replaces the caller's.
    tenant : str, optional
        Name of the tenant, or empty for none; replaces what the caller says about itself. Without
        it, no tenants are configured and the caller's fields are forwarded.
    """
    fields = []
    for name, value in identified(headers.end_to_end(), tenant):
        lower = name.lower()
        if lower in SET_BY_PRODUCT:
            continue
        if last_event_id is not None and lower == LAST_EVENT_ID.lower():
            continue
        fields.append((name, value))
    fields.append((DEADLINE_MS, str(max(int(remaining_s * 1000), 1))))
    fields.append((EXPECT_INSTANCE, target_id))
    if last_event_id is not None:
        fields.append((LAST_EVENT_ID, str(last_event_id)))
    return fields


def identified(fields: list[tuple[str, str]], tenant: str | None) -> list[tuple[str, str]]:
    """Return header fields that name a tenant as their only identity; None changes nothing."""
    if tenant is None:
        return fields
    named = without_identity(fields)
    if tenant:
        named.append((TENANT, tenant))
    return named


def item_fields(
    host: str,
    item_id: str,
    own_fields: list[tuple[str, str]],
    target_id: str,
    remaining_s: float,
    last_event_id: int | None,
    priority: int | None,
    tenant: str | None = None,
) -> list[tuple[str, str]]:
    """Return the header fields with which an item of a lot is sent to a target.

    Parameters
    ----------
    host : str
        Host field of the lot's route.
    item_id : str
        Identifier of the item, sent as that of the attempt.
    own_fields : list of tuple of str
        Header fields that the trainer set for the item.
    target_id : str
        The only target that may run the item.
    remaining_s : float
        Time until the deadline of the run.
    last_event_id : int or None
        Last event received of a stream to resume, or None for a new run.
    priority : int or None
        Priority at the target, or None to send none.
    tenant : str, optional
        As in `forwarded_fields`.
    """
    reserved = SET_BY_PRODUCT | {ATTEMPT_ID.lower(), LAST_EVENT_ID.lower(), "host"}
    fields = [("Host", host), (ATTEMPT_ID, item_id)]
    for name, value in identified(Headers(own_fields).end_to_end(), tenant):
        if name.lower() not in reserved:
            fields.append((name, value))
    fields.append((DEADLINE_MS, str(max(int(remaining_s * 1000), 1))))
    fields.append((EXPECT_INSTANCE, target_id))
    if last_event_id is not None:
        fields.append((LAST_EVENT_ID, str(last_event_id)))
    if priority is not None:
        fields.append((PRIORITY, str(priority)))
    return fields


def scorer_fields(
    host: str, scorer_id: str, target_id: str, remaining_s: float
) -> list[tuple[str, str]]:
    """Return the header fields of the call that scores an item."""
    return [
        ("Host", host),
        (ATTEMPT_ID, scorer_id),
        (DEADLINE_MS, str(max(int(remaining_s * 1000), 1))),
        (EXPECT_INSTANCE, target_id),
    ]


def report_fields() -> list[tuple[str, str]]:
    """Return the header fields with which a report is requested from a target."""
    return [("Host", "reports")]


def order_fields(target_id: str) -> list[tuple[str, str]]:
    """Return the header fields of an order, which only the named target carries out."""
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
        # Runs in progress continue with the new version.
        "strategy": "keep",
        "holder": order.holder,
        "fence": order.fencing_token,
    }
    if order.expected_orders is not None:
        body["precondition"] = order.expected_orders
    return msgspec.json.encode(body)


def read_response_head(status: int, headers: Headers) -> TargetResponseHead:
    """Return the decoded head of a response of a target."""
    stamps = headers.values(SERVER_STAMP)
    load, slowdown = parse_load(headers.get(SERVER_LOAD))
    return TargetResponseHead(
        status=status,
        not_run=headers.get(NOT_EXECUTED) is not None or status == 421,
        # A head that names two is made of the heads of two responses.
        stamp=stamps[0] if len(stamps) == 1 and len(stamps[0]) <= MAX_STAMP_CHARS else "",
        weight_version=read_number(headers.get(WEIGHT_VERSIONS)),
        load=load,
        limit_per_s=parse_rate(headers.get(SERVER_LIMIT)),
        # A response with status 421 is that of another target, which has the address now.
        leaving=status != 421 and headers.get(SERVER_LEAVING, "").strip() == "1",
        has_events=EVENT_STREAM in headers.get("content-type", EVENT_STREAM).lower(),
        slowdown=slowdown,
    )


def parse_load(text: str | None) -> tuple[tuple[int, int, int] | None, float | None]:
    """Return the figures of a load field.

    Returns
    -------
    tuple of (tuple of int or None, float or None)
        Running requests, waiting requests and slots, None if the field is missing or malformed; and
        the slowdown, None if the field has no fourth figure or states 0.
    """
    if text is None:
        return None, None
    numbers = [read_number(part.strip(), MAX_LOAD_DIGITS) for part in text.split(",")]
    if len(numbers) not in (3, 4) or None in numbers:
        return None, None
    slowdown = None
    if len(numbers) == 4 and numbers[3] > 0:
        slowdown = min(max(numbers[3] / USUAL_SLOWDOWN, MIN_SLOWDOWN), MAX_SLOWDOWN)
    return (numbers[0], numbers[1], numbers[2]), slowdown


def version_of_line(line: str) -> int | None:
    """Return the weight version that a line of an event stream states, or None for other lines."""
    if not line.lower().startswith(WEIGHT_VERSIONS_LINE):
        return None
    return read_number(line[len(WEIGHT_VERSIONS_LINE) :].strip())


def retry_after_fields(retry_after_s: float | None) -> list[tuple[str, str]]:
    """Return the header field that says when a caller may retry, if a delay is given."""
    if retry_after_s is None:
        return []
    return [(RETRY_AFTER, f"{retry_after_s:.3f}")]


@attrs.frozen
class TargetReport:
    """State that a target reports on request.

    Attributes
    ----------
    versions : dict of str to int
        Loaded weight versions by model.
    loading : bool
        Whether the target is carrying out an order.
    orders_accepted : int
        Number of orders accepted since its start.
    running, waiting : int
        Numbers of running and waiting requests.
    started_ms : int
        Unix time of its start, in milliseconds.
    """

    versions: dict[str, int]
    loading: bool
    orders_accepted: int
    running: int
    waiting: int
    started_ms: int


def decode_report(body: bytes) -> TargetReport:
    """Return the report in the body of a response."""
    fields = Fields(decode_json(body))
    return TargetReport(
        versions=decode_model_versions(fields),
        loading=fields.boolean("busy", False),
        orders_accepted=fields.integer("seq"),
        running=fields.integer("running", 0),
        waiting=fields.integer("waiting", 0),
        started_ms=fields.integer("born", 0),
    )
