"""Ordinary requests: conversion between HTTP and attempts at targets."""

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
    header_text,
    header_value,
    is_idempotent,
    request_id_of,
    target_path,
    validated_id,
)
from turmericreach.httpserver import BodyBudget, on_request_end, read_body
from turmericreach.manifest import ServiceKind, ServiceSpec
from turmericreach.verdicts import ErrorCode, Outcome, RequestError, TurmericreachError, Verdict

__all__ = ["OrdinaryRequests", "ResponseInterrupted"]

MAX_SITE_CHARS = 200
MAX_DEADLINE_DIGITS = 15
MAX_EXPECTED_TOKENS = 1 << 20
# Request headers for this system, which are not forwarded to the target.
CONSUMED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_HEADER,
        IDEMPOTENT_HEADER,
        REQUEST_ID_HEADER,
        SITE_HEADER,
        "Authorization",
    )
)
# Response headers that only this system sets; those of a target are not forwarded.
RESERVED_RESPONSE_HEADERS = frozenset(name.lower() for name in (REQUEST_ID_HEADER, VERDICT_HEADER))
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


class ResponseInterrupted(TurmericreachError):
    """A streamed response was interrupted.

    The connection is closed, so that the caller does not take the response for complete.
    """


class OrdinaryRequests:
    """Serves ``/services/{service}/{path}``.

    Parameters
    ----------
    runner : RequestRunner
        Sends requests to targets.
    service_of : callable
        Takes the name of a service and returns its `ServiceSpec`, or None if there is none.
    limits : LimitSettings
        Limits on the size and reading time of request bodies.

    Attributes
    ----------
    body_budget : BodyBudget
        Limit on the total size of the bodies of all requests of this process, including those
        that are not ordinary.
    """

    def __init__(self, runner: RequestRunner, service_of, limits):
        self.runner = runner
        self.service_of = service_of
        self.limits = limits
        self.body_budget = BodyBudget()

    async def handle(
        self, request: Request, service_name: str, forward_authorization: bool
    ) -> Response:
        """Run one request and return the response of its target.

        Parameters
        ----------
        request : Request
        service_name : str
            Service part of the path.
        forward_authorization : bool
            Whether to forward the ``Authorization`` header to the target.

        Raises
        ------
        RequestError
            If the request is rejected or no response arrived.
        """
        service = self.service_of(service_name)
        if service is None:
            raise RequestError(
                ErrorCode.UNKNOWN_SERVICE, f"service {service_name[:80]} is not declared", 404
            )
        if request.scope["http_version"] == "1.0":
            # Streamed responses use chunked encoding, whose framing an HTTP/1.0 caller would take
            # for content of the body.
            raise RequestError(ErrorCode.BAD_REQUEST, "HTTP/1.1 or later is required", 505)
        body = await read_body(
            request, self.limits.max_body_bytes, self.limits.slow_sender_timeout_s, self.body_budget
        )
        caller_request = build_request(request, service, body, forward_authorization)
        stream = CallerStream()
        task = asyncio.ensure_future(self.runner.run(caller_request, stream))
        task.add_done_callback(lambda _: stream.end())
        on_request_end(request.scope, task.cancel)
        await stream.started.wait()
        if stream.begun:
            return streamed_response(task, stream, caller_request)
        return buffered_response(task.result(), caller_request)


def build_request(request: Request, service: ServiceSpec, body: bytes, forward_authorization: bool):
    """Convert an HTTP request to a `CallerRequest`.

    Raises
    ------
    RequestError
        If a header of this system has an invalid value.
    """
    method = request.method.upper()
    path = target_path(request)
    now = asyncio.get_running_loop().time()
    idempotent = not forbids_retries(request) and is_idempotent(service, method, path)
    validated_id(request, REQUEST_ID_HEADER)
    return CallerRequest(
        request_id=request_id_of(request),
        service=service.name,
        deadline=now + request_timeout_s(request, service),
        idempotent=idempotent,
        key=validated_id(request, IDEMPOTENCY_KEY_HEADER),
        method=method,
        path=path,
        headers=forwarded_headers(request, forward_authorization),
        body=body,
        site=header_value(request, SITE_HEADER)[:MAX_SITE_CHARS],
        expected_tokens=expected_tokens(service, body),
    )


def forbids_retries(request: Request) -> bool:
    """Return whether the caller requires that its request runs at most once.

    Raises
    ------
    RequestError
        For a value other than true or false; ignoring it could run an order twice.
    """
    values = {value.lower() for value in request.headers.get(IDEMPOTENT_HEADER.lower().encode())}
    if not values <= {b"true", b"false"}:
        raise RequestError(ErrorCode.BAD_REQUEST, f"{IDEMPOTENT_HEADER} must be true or false")
    return b"false" in values


def request_timeout_s(request: Request, service: ServiceSpec) -> float:
    """Return the time in seconds that a request may take, at most the service's limit.

    Raises
    ------
    RequestError
        If the deadline header is not a positive number of milliseconds.
    """
    text = header_value(request, DEADLINE_HEADER)
    if not text:
        return service.deadline_s
    digits = text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
    if not digits or int(text) == 0:
        raise RequestError(
            ErrorCode.BAD_REQUEST, f"{DEADLINE_HEADER} must be a positive number of milliseconds"
        )
    return min(service.deadline_s, int(text) / 1000)


def forwarded_headers(request: Request, forward_authorization: bool) -> list[tuple[str, str]]:
    """Return the headers to forward to the target.

    The caller's token is meant for this system, so it is forwarded only if this system checks no
    tokens.
    """
    pairs = []
    for name, value in request.headers:
        lower = name.decode("latin-1").lower()
        if lower in CONSUMED_HEADERS and not (lower == "authorization" and forward_authorization):
            continue
        pairs.append((name.decode("latin-1"), header_text(value)))
    return pairs


def expected_tokens(service: ServiceSpec, body: bytes) -> int:
    """Return ``max_tokens`` of a completion request, 0 if it is missing or invalid."""
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


def buffered_response(outcome: Outcome, request: CallerRequest) -> Response:
    """Build the response from an outcome that was not streamed.

    Raises
    ------
    RequestError
        If the outcome holds no response of a target.
    """
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
    content_type = first_header(outcome.headers, "content-type") or "application/octet-stream"
    response.content = Content(content_type.encode(), outcome.body)
    if request.method == "HEAD":
        response.content = head_content(
            content_type, first_header(outcome.headers, "content-length")
        )
    return response


def head_content(content_type: str, length: str) -> StreamedContent:
    """Return content without bytes that declares the length of the body omitted after HEAD."""

    async def no_chunks():
        yield b""

    is_number = length.isascii() and length.isdigit()
    return StreamedContent(content_type.encode(), no_chunks, int(length) if is_number else -1)


def streamed_response(task, stream: CallerStream, request: CallerRequest) -> Response:
    """Build the response that forwards a streamed response as it arrives."""

    async def chunks():
        try:
            while True:
                chunk = await stream.next_chunk()
                if chunk is None:
                    break
                yield chunk
            outcome = task.result()
            if outcome.verdict is not Verdict.ANSWERED:
                raise ResponseInterrupted(f"{request.request_id}: {outcome.evidence}")
        finally:
            task.cancel()

    response = Response(stream.status)
    add_headers(response, stream.headers, request)
    content_type = first_header(stream.headers, "content-type") or "application/octet-stream"
    response.content = StreamedContent(content_type.encode(), chunks)
    return response


def add_headers(response: Response, pairs, request: CallerRequest) -> None:
    """Add the target's headers, the request id and the verdict."""
    for name, value in pairs:
        if (
            name.lower() in ("content-type", "content-length")
            or name.lower() in RESERVED_RESPONSE_HEADERS
        ):
            continue
        response.add_header(name.encode(), value.encode())
    response.add_header(REQUEST_ID_HEADER.encode(), request.request_id.encode())
    response.add_header(VERDICT_HEADER.encode(), Verdict.ANSWERED.encode())


def first_header(pairs, name: str) -> str:
    """Return the value of the first header with a lower-case name, empty if there is none."""
    for key, value in pairs:
        if key.lower() == name:
            return value
    return ""
