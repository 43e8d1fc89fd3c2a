"""Reading of ids, headers and the target path from a caller's HTTP request."""

import posixpath
from urllib.parse import unquote

from blacksheep import Request

from turmericreach.api import REQUEST_ID_HEADER
from turmericreach.attempts import new_request_id
from turmericreach.manifest import ServiceSpec
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = [
    "header_text",
    "header_value",
    "is_idempotent",
    "request_id_of",
    "target_path",
    "validated_id",
]

MAX_ID_CHARS = 200
# Number of times that the percent-encoding of a path is removed to find its interpretations.
MAX_DECODINGS = 3
REQUEST_ID_SCOPE_KEY = "turmericreach.request_id"
# Index of the target path among the parts of "/services/{service}/...", split at slashes.
TARGET_PATH_INDEX = 3


def header_text(raw: bytes) -> str:
    """Decode a header value as UTF-8, or as Latin-1 if it is not UTF-8."""
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode("latin-1")


def header_value(request: Request, name: str) -> str:
    """Return the value of a header, empty if it is missing."""
    value = request.get_first_header(name.lower().encode())
    return "" if value is None else header_text(value)


def is_id(text: str) -> bool:
    """Return whether a text is a valid id."""
    return 0 < len(text) <= MAX_ID_CHARS and text.isascii() and text.isprintable()


def validated_id(request: Request, name: str) -> str:
    """Return the id in a header of the caller, empty if the header is missing.

    Raises
    ------
    RequestError
        If the id is malformed or the header is repeated with another value.
    """
    values = {header_text(value) for value in request.headers.get(name.lower().encode())}
    if not values:
        return ""
    if len(values) > 1 or not is_id(next(iter(values))):
        raise RequestError(
            ErrorCode.BAD_REQUEST,
            f"{name} must be a single value of 1 to {MAX_ID_CHARS} printable ASCII characters",
        )
    return values.pop()


def request_id_of(request: Request) -> str:
    """Return the id of a request: the caller's if it is valid, else a generated one."""
    request_id = request.scope.get(REQUEST_ID_SCOPE_KEY)
    if request_id is None:
        given = header_value(request, REQUEST_ID_HEADER)
        request_id = given if is_id(given) else new_request_id()
        request.scope[REQUEST_ID_SCOPE_KEY] = request_id
    return request_id


def target_path(request: Request) -> str:
    """Return the path and query after ``/services/{service}``, exactly as they arrived."""
    raw = request.scope["raw_path"].decode("ascii")
    query = request.scope["query_string"].decode("latin-1")
    parts = raw.split("/", TARGET_PATH_INDEX)
    rest = parts[TARGET_PATH_INDEX] if len(parts) > TARGET_PATH_INDEX else ""
    return f"/{rest}?{query}" if query else f"/{rest}"


def is_idempotent(service: ServiceSpec, method: str, path: str) -> bool:
    """Return whether the manifest allows a request to be repeated.

    Targets decode and resolve paths in different ways, so a rule for non-idempotent paths applies
    if it matches any interpretation of the path.
    """
    if not service.idempotent:
        return False
    interpretations = path_interpretations(path)
    for rule in service.non_idempotent_paths:
        rule_method, _, rule_path = rule.rpartition(" ")
        if rule_method and rule_method.strip().upper() != method:
            continue
        if any(interpretation.startswith(rule_path.lower()) for interpretation in interpretations):
            return False
    return True


def path_interpretations(path: str) -> set[str]:
    """Return the lower-case paths that targets may resolve a path to."""
    text = path.partition("?")[0].lower()
    interpretations = set()
    for _ in range(MAX_DECODINGS):
        slashes = text.replace("\\", "/")
        without_parameters = "/".join(part.partition(";")[0] for part in slashes.split("/"))
        resolved = posixpath.normpath("/" + without_parameters.lstrip("/"))
        interpretations.update((text, slashes, without_parameters, resolved, resolved + "/"))
        text = unquote(text)
    return interpretations
