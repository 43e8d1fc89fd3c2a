"""Ordinary requests: from the HTTP door to a target and back."""

import asyncio

import msgspec
from blacksheep import Content, Request, Response, StreamedContent

from turmericreach.api import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENT_HEADER,
    REQUEST_ID_HEADER,
    SITE_HEADER,
    VERDICT_HEADER,
)
from turmericreach.attempts import CallerRequest, CallerStream, RequestRunner, new_request_id
from turmericreach.httpserver import read_body
from turmericreach.manifest import ServiceKind, ServiceSpec
from turmericreach.verdicts import ErrorCode, Outcome, RequestError, TurmericreachError, Verdict

__all__ = ["AnswerCutOff", "OrdinaryRequests", "is_idempotent"]

MAX_ID_CHARS = 200
OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_HEADER,
        IDEMPOTENT_HEADER,
        REQUEST_ID_HEADER,
        SITE_HEADER,
        "Authorization",
    )
)
STATUS_OF_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.CONFLICT: 409,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.TIMEOUT: 504,
    ErrorCode.TARGET_FAILED: 502,
    ErrorCode.TARGET_UNREACHABLE: 502,
    ErrorCode.UNKNOWN_SERVICE: 404,
}
DEFAULT_STATUS = 503


class AnswerCutOff(TurmericreachError):
    """A streamed answer ended early; the connection is closed so that the caller notices."""


class OrdinaryRequests:
    """Serves ``/services/{service}/{path}``.

    Parameters
    ----------
    runner : RequestRunner
    service_of : callable
        Returns the `ServiceSpec` of a name or None.
    limits : LimitSettings
    """

    def __init__(self, runner: RequestRunner, service_of, limits):
        self.runner = runner
        self.service_of = service_of
        self.limits = limits

    async def handle(self, request: Request, service_name: str, authorization: bool) -> Response:
        """Run one request; raises `RequestError` for input that is refused."""
        service = self.service_of(service_name)
        if service is None:
            raise RequestError(
                ErrorCode.UNKNOWN_SERVICE, f"service {service_name} is not declared", 404
            )
        body = await read_body(
            request, self.limits.max_body_bytes, self.limits.slow_sender_timeout_s
        )
        caller_request = build_request(request, service, body, authorization)
        stream = CallerStream()
        task = asyncio.ensure_future(self.runner.run(caller_request, stream))
        task.add_done_callback(lambda _: stream.end())
        try:
            await stream.started.wait()
        except asyncio.CancelledError:
            task.cancel()
            raise
        if stream.begun:
            return streamed_response(task, stream, caller_request)
        return whole_response(task.result(), caller_request)


def build_request(request: Request, service: ServiceSpec, body: bytes, authorization: bool):
    """Return the `CallerRequest` of an HTTP request."""
    method = request.method.upper()
    prefix = f"/services/{service.name}".encode()
    target_path = request.url.value
    start = target_path.find(prefix) + len(prefix)
    path = target_path[start:].decode("ascii", "replace") or "/"
    if not path.startswith("/"):
        path = "/" + path
    now = asyncio.get_running_loop().time()
    idempotent = is_idempotent(service, method, path)
    if header(request, IDEMPOTENT_HEADER).lower() == "false":
        idempotent = False
    return CallerRequest(
        request_id=checked_id(request, REQUEST_ID_HEADER) or new_request_id(),
        service=service.name,
        deadline=now + deadline_s(request, service),
        idempotent=idempotent,
        key=checked_id(request, IDEMPOTENCY_KEY_HEADER),
        method=method,
        path=path,
        headers=forwarded_headers(request, authorization),
        body=body,
        site=header(request, SITE_HEADER)[:MAX_ID_CHARS],
        expected_tokens=expected_tokens(service, body),
    )


def header(request: Request, name: str) -> str:
    """Return a header's value, empty if it is missing."""
    value = request.get_first_header(name.lower().encode())
    return "" if value is None else value.decode("latin-1")


def checked_id(request: Request, name: str) -> str:
    """Return an id that a caller gave, checked for length."""
    value = header(request, name)
    if len(value) > MAX_ID_CHARS or not value.isprintable():
        raise RequestError(
            ErrorCode.BAD_REQUEST, f"{name} must be at most {MAX_ID_CHARS} printable characters"
        )
    return value


def deadline_s(request: Request, service: ServiceSpec) -> float:
    """Return the seconds that a request may take."""
    text = header(request, DEADLINE_HEADER)
    if not text:
        return service.deadline_s
    if not text.isdigit() or int(text) == 0:
        raise RequestError(
            ErrorCode.BAD_REQUEST, f"{DEADLINE_HEADER} must be a positive number of milliseconds"
        )
    return min(service.deadline_s, int(text) / 1000)


def is_idempotent(service: ServiceSpec, method: str, path: str) -> bool:
    """Return whether the manifest lets a request be repeated."""
    if not service.idempotent:
        return False
    for rule in service.non_idempotent_paths:
        rule_method, _, rule_path = rule.rpartition(" ")
        if rule_method and rule_method.strip().upper() != method:
            continue
        if path.startswith(rule_path):
            return False
    return True


def forwarded_headers(request: Request, authorization: bool) -> list[tuple[str, str]]:
    """Return the headers that go to the target.

    The caller's token is for this system, so it is passed on only if no token is checked here.
    """
    pairs = []
    for name, value in request.headers:
        lower = name.decode("latin-1").lower()
        if lower in OWN_HEADERS and not (lower == "authorization" and authorization):
            continue
        pairs.append((name.decode("latin-1"), value.decode("latin-1")))
    return pairs


def expected_tokens(service: ServiceSpec, body: bytes) -> int:
    """Return ``max_tokens`` of a completion request, 0 if there is none."""
    if service.kind is not ServiceKind.MODEL or not body:
        return 0
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return 0
    tokens = value.get("max_tokens") if isinstance(value, dict) else None
    return tokens if isinstance(tokens, int) and tokens > 0 else 0


def whole_response(outcome: Outcome, request: CallerRequest) -> Response:
    """Return the response for an answer that was not streamed."""
    if outcome.verdict is not Verdict.ANSWERED:
        error = RequestError(
            outcome.code or ErrorCode.INTERNAL,
            outcome.evidence,
            STATUS_OF_CODE.get(outcome.code, DEFAULT_STATUS),
            outcome.verdict,
            outcome.retry_after_s or None,
        )
        error.request_id = request.request_id
        raise error
    response = Response(outcome.status)
    add_headers(response, outcome.headers, request)
    content_type = first(outcome.headers, "content-type") or "application/octet-stream"
    response.content = Content(content_type.encode("latin-1"), outcome.body)
    return response


def streamed_response(task, stream: CallerStream, request: CallerRequest) -> Response:
    """Return the response that passes a streamed answer on."""

    async def chunks():
        try:
            while True:
                chunk = await stream.next_chunk()
                if chunk is None:
                    break
                yield chunk
            outcome = task.result()
            if outcome.verdict is not Verdict.ANSWERED:
                raise AnswerCutOff(f"{request.request_id}: {outcome.evidence}")
        finally:
            task.cancel()

    response = Response(stream.status)
    add_headers(response, stream.headers, request)
    content_type = first(stream.headers, "content-type") or "application/octet-stream"
    response.content = StreamedContent(content_type.encode("latin-1"), chunks)
    return response


def add_headers(response: Response, pairs, request: CallerRequest) -> None:
    """Add the target's headers and the request id."""
    for name, value in pairs:
        if name.lower() == "content-type":
            continue
        response.add_header(name.encode("latin-1"), value.encode("latin-1"))
    response.add_header(REQUEST_ID_HEADER.encode(), request.request_id.encode())
    response.add_header(VERDICT_HEADER.encode(), Verdict.ANSWERED.encode())


def first(pairs, name: str) -> str:
    """Return the first header of a name, empty if there is none."""
    for key, value in pairs:
        if key.lower() == name:
            return value
    return ""
