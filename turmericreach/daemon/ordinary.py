"""Ordinary requests: from the HTTP endpoint to a target and back."""

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
from turmericreach.attempts import CallerRequest, CallerStream, RequestRunner
from turmericreach.daemon.request_paths import (
    checked_id,
    header,
    header_text,
    is_idempotent,
    request_id_of,
    target_path,
)
from turmericreach.httpserver import BodyBudget, on_request_end, read_body
from turmericreach.manifest import ServiceKind, ServiceSpec
from turmericreach.verdicts import ErrorCode, Outcome, RequestError, TurmericreachError, Verdict

__all__ = ["AnswerCutOff", "OrdinaryRequests"]

MAX_SITE_CHARS = 200
MAX_DEADLINE_DIGITS = 15
MAX_EXPECTED_TOKENS = 1 << 20
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
# Set by this system alone; a target must not speak for it.
ANSWER_HEADERS = frozenset(name.lower() for name in (REQUEST_ID_HEADER, VERDICT_HEADER))
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

    Attributes
    ----------
    bodies : BodyBudget
        Bound on the bodies of all requests, including those that are not ordinary.
    """

    def __init__(self, runner: RequestRunner, service_of, limits):
        self.runner = runner
        self.service_of = service_of
        self.limits = limits
        self.bodies = BodyBudget()

    async def handle(self, request: Request, service_name: str, authorization: bool) -> Response:
        """Run one request; raises `RequestError` for input that is refused."""
        service = self.service_of(service_name)
        if service is None:
            raise RequestError(
                ErrorCode.UNKNOWN_SERVICE, f"service {service_name[:80]} is not declared", 404
            )
        if request.scope["http_version"] == "1.0":
            # Streamed answers are sent in chunks, which such a caller would take for the body.
            raise RequestError(ErrorCode.BAD_REQUEST, "HTTP/1.1 is needed", 505)
        body = await read_body(
            request, self.limits.max_body_bytes, self.limits.slow_sender_timeout_s, self.bodies
        )
        caller_request = build_request(request, service, body, authorization)
        stream = CallerStream()
        task = asyncio.ensure_future(self.runner.run(caller_request, stream))
        task.add_done_callback(lambda _: stream.end())
        on_request_end(request.scope, task.cancel)
        await stream.started.wait()
        if stream.begun:
            return streamed_response(task, stream, caller_request)
        return whole_response(task.result(), caller_request)


def build_request(request: Request, service: ServiceSpec, body: bytes, authorization: bool):
    """Return the `CallerRequest` of an HTTP request."""
    method = request.method.upper()
    path = target_path(request)
    now = asyncio.get_running_loop().time()
    idempotent = not asks_once(request) and is_idempotent(service, method, path)
    checked_id(request, REQUEST_ID_HEADER)
    return CallerRequest(
        request_id=request_id_of(request),
        service=service.name,
        deadline=now + deadline_s(request, service),
        idempotent=idempotent,
        key=checked_id(request, IDEMPOTENCY_KEY_HEADER),
        method=method,
        path=path,
        headers=forwarded_headers(request, authorization),
        body=body,
        site=header(request, SITE_HEADER)[:MAX_SITE_CHARS],
        expected_tokens=expected_tokens(service, body),
    )


def asks_once(request: Request) -> bool:
    """Return whether the caller wants its request to run at most once.

    Raises
    ------
    RequestError
        For another value than true or false; ignoring it could repeat an order.
    """
    values = {value.lower() for value in request.headers.get(IDEMPOTENT_HEADER.lower().encode())}
    if not values <= {b"true", b"false"}:
        raise RequestError(ErrorCode.BAD_REQUEST, f"{IDEMPOTENT_HEADER} must be true or false")
    return b"false" in values


def deadline_s(request: Request, service: ServiceSpec) -> float:
    """Return the seconds that a request may take."""
    text = header(request, DEADLINE_HEADER)
    if not text:
        return service.deadline_s
    digits = text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
    if not digits or int(text) == 0:
        raise RequestError(
            ErrorCode.BAD_REQUEST, f"{DEADLINE_HEADER} must be a positive number of milliseconds"
        )
    return min(service.deadline_s, int(text) / 1000)


def forwarded_headers(request: Request, authorization: bool) -> list[tuple[str, str]]:
    """Return the headers that go to the target.

    The caller's token is for this system, so it is passed on only if no token is checked here.
    """
    pairs = []
    for name, value in request.headers:
        lower = name.decode("latin-1").lower()
        if lower in OWN_HEADERS and not (lower == "authorization" and authorization):
            continue
        pairs.append((name.decode("latin-1"), header_text(value)))
    return pairs


def expected_tokens(service: ServiceSpec, body: bytes) -> int:
    """Return ``max_tokens`` of a completion request, 0 if there is none."""
    if service.kind is not ServiceKind.MODEL or not body:
        return 0
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return 0
    tokens = value.get("max_tokens") if isinstance(value, dict) else None
    if not isinstance(tokens, int) or isinstance(tokens, bool):
        return 0
    return min(max(tokens, 0), MAX_EXPECTED_TOKENS)


def whole_response(outcome: Outcome, request: CallerRequest) -> Response:
    """Return the response for an answer that was not streamed."""
    if outcome.verdict is not Verdict.ANSWERED:
        raise RequestError(
            outcome.code or ErrorCode.INTERNAL,
            outcome.evidence,
            STATUS_OF_CODE.get(outcome.code, DEFAULT_STATUS),
            outcome.verdict,
            outcome.retry_after_s or None,
        )
    response = Response(outcome.status)
    add_headers(response, outcome.headers, request)
    content_type = first(outcome.headers, "content-type") or "application/octet-stream"
    response.content = Content(content_type.encode(), outcome.body)
    if request.method == "HEAD":
        response.content = head_content(content_type, first(outcome.headers, "content-length"))
    return response


def head_content(content_type: str, length: str) -> StreamedContent:
    """Return content that declares the length of a body which a HEAD answer leaves out."""

    async def nothing():
        yield b""

    known = length.isascii() and length.isdigit()
    return StreamedContent(content_type.encode(), nothing, int(length) if known else -1)


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
    response.content = StreamedContent(content_type.encode(), chunks)
    return response


def add_headers(response: Response, pairs, request: CallerRequest) -> None:
    """Add the target's headers and the request id."""
    for name, value in pairs:
        if name.lower() in ("content-type", "content-length") or name.lower() in ANSWER_HEADERS:
            continue
        response.add_header(name.encode(), value.encode())
    response.add_header(REQUEST_ID_HEADER.encode(), request.request_id.encode())
    response.add_header(VERDICT_HEADER.encode(), Verdict.ANSWERED.encode())


def first(pairs, name: str) -> str:
    """Return the first header of a name, empty if there is none."""
    for key, value in pairs:
        if key.lower() == name:
            return value
    return ""
