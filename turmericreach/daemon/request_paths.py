"""Reading what a caller's HTTP request says about itself."""

import posixpath
from urllib.parse import unquote

from blacksheep import Request

from turmericreach.api import REQUEST_ID_HEADER
from turmericreach.attempts import new_request_id
from turmericreach.manifest import ServiceSpec
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["checked_id", "header", "header_text", "is_idempotent", "request_id_of", "target_path"]

MAX_ID_CHARS = 200
MAX_DECODINGS = 3
REQUEST_ID = "turmericreach.request_id"
SERVICES_DEPTH = 3


def header_text(raw: bytes) -> str:
    """Return a header as text; one that is not UTF-8 is read as Latin-1."""
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode("latin-1")


def header(request: Request, name: str) -> str:
    """Return a header's value, empty if it is missing."""
    value = request.get_first_header(name.lower().encode())
    return "" if value is None else header_text(value)


def is_id(text: str) -> bool:
    """Return whether a text may serve as an id."""
    return 0 < len(text) <= MAX_ID_CHARS and text.isascii() and text.isprintable()


def checked_id(request: Request, name: str) -> str:
    """Return an id that a caller gave, empty if it gave none.

    Raises
    ------
    RequestError
        If the id is malformed or given twice with different values.
    """
    values = {header_text(value) for value in request.headers.get(name.lower().encode())}
    if not values:
        return ""
    if len(values) > 1 or not is_id(next(iter(values))):
        raise RequestError(
            ErrorCode.BAD_REQUEST,
            f"{name} must be one text of 1 to {MAX_ID_CHARS} printable ASCII characters",
        )
    return values.pop()


def request_id_of(request: Request) -> str:
    """Return the caller's id of a request, or one that is made up for it."""
    known = request.scope.get(REQUEST_ID)
    if known is None:
        given = header(request, REQUEST_ID_HEADER)
        known = given if is_id(given) else new_request_id()
        request.scope[REQUEST_ID] = known
    return known


def target_path(request: Request) -> str:
    """Return the path and query after ``/services/{service}``, exactly as they arrived."""
    raw = request.scope["raw_path"].decode("ascii")
    query = request.scope["query_string"].decode("latin-1")
    parts = raw.split("/", SERVICES_DEPTH)
    rest = parts[SERVICES_DEPTH] if len(parts) > SERVICES_DEPTH else ""
    return f"/{rest}?{query}" if query else f"/{rest}"


def is_idempotent(service: ServiceSpec, method: str, path: str) -> bool:
    """Return whether the manifest lets a request be repeated.

    A target may decode and resolve a path in its own way, so a rule holds if any reading of the
    path falls under it.
    """
    if not service.idempotent:
        return False
    readings = path_readings(path)
    for rule in service.non_idempotent_paths:
        rule_method, _, rule_path = rule.rpartition(" ")
        if rule_method and rule_method.strip().upper() != method:
            continue
        if any(reading.startswith(rule_path.lower()) for reading in readings):
            return False
    return True


def path_readings(path: str) -> set[str]:
    """Return what a target may take a path for, in lower case."""
    text = path.partition("?")[0].lower()
    readings = set()
    for _ in range(MAX_DECODINGS):
        slashes = text.replace("\\", "/")
        bare = "/".join(part.partition(";")[0] for part in slashes.split("/"))
        resolved = posixpath.normpath("/" + bare.lstrip("/"))
        readings.update((text, slashes, bare, resolved, resolved + "/"))
        text = unquote(text)
    return readings
