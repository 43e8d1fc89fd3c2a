"""Invalid input at the public endpoint gets an error with a stable code, in bounded time."""

import asyncio

import attrs
import msgspec
import pytest

from tests.builders.endpoints import LIMITS, error_of, open_endpoint, parse
from tests.builders.lots import make_spec
from turmericreach.lots import Cursor, encode_lot

LOT = make_spec(scoring_service="", trainer="fitting")
DEEP_NESTING = b"[" * 5000
BIG = 10**400


def lot(**changes):
    """Return the JSON of a lot with changed fields; a value of None removes the field."""
    fields = msgspec.json.decode(encode_lot(LOT)) | changes
    return encode({name: value for name, value in fields.items() if value is not None})


def encode(value):
    """Return JSON in which "BIG" and "NAN" become numbers that msgspec cannot encode."""
    return msgspec.json.encode(value).replace(b'"BIG"', str(BIG).encode()).replace(b'"NAN"', b"NaN")


def pull(**changes):
    """Return the JSON body of a pull with changed fields."""
    return encode({"cursor": Cursor(LOT.size).encode(), "trainer_version": 1} | changes)


LOTS = "/v1/lots"
PULL = "/v1/lots/eyes-1/pull"
ACK = "/v1/lots/eyes-1/ack"
VERSION = "/v1/models/assistant/version"
SERVICE = "/services/portal/x"
# Name of the case: method, path, body, expected status, expected code (None: any code).
CASES = {
    "lot too large": ("POST", LOTS, b"x" * 50_001, 413, "body_too_large"),
    "lot is not JSON": ("POST", LOTS, b"{", 400, "bad_request"),
    "lot is empty": ("POST", LOTS, b"", 400, "bad_request"),
    "lot is not an object": ("POST", LOTS, b"[]", 400, "bad_request"),
    "lot is not UTF-8": ("POST", LOTS, lot().replace(b"prompt 0", b"\xff\xfe"), 400, "bad_request"),
    "lot is deeply nested": (
        "POST",
        LOTS,
        lot()[:-1] + b',"x":' + DEEP_NESTING,
        400,
        "bad_request",
    ),
    "lot of a wrong type": ("POST", LOTS, lot(groups=3), 400, "bad_request"),
    "lot with an unknown field": ("POST", LOTS, lot(extra=1), 400, "bad_request"),
    "lot without a bound": ("POST", LOTS, lot(staleness_bound=None), 400, "bad_request"),
    "lot with a negative bound": ("POST", LOTS, lot(staleness_bound=-1), 400, "bad_request"),
    "lot with a huge bound": ("POST", LOTS, lot(staleness_bound="BIG"), 400, "bad_request"),
    "lot with a fraction": ("POST", LOTS, lot(staleness_bound=0.5), 400, "bad_request"),
    "lot with NaN": ("POST", LOTS, lot(temperature="NAN"), 400, "bad_request"),
    "lot with a huge float": ("POST", LOTS, lot(deadline_s="BIG"), 400, "bad_request"),
    "lot with a bad name": ("POST", LOTS, lot(name="a/b"), 400, "bad_request"),
    "lot with a long name": ("POST", LOTS, lot(name="a" * 64), 400, "bad_request"),
    "lot without groups": ("POST", LOTS, lot(groups=[]), 400, "bad_request"),
    "lot of an unknown service": ("POST", LOTS, lot(service="other"), 404, "unknown_service"),
    "lot of an unknown model": ("POST", LOTS, lot(model="other"), 404, "unknown_service"),
    "lot of an unknown trainer": ("POST", LOTS, lot(trainer="other"), 400, "bad_request"),
    "pull from an unknown lot": ("POST", "/v1/lots/other/pull", pull(), 404, "unknown_lot"),
    "pull from a lot with a bad name": ("POST", "/v1/lots/%2e%2e/pull", pull(), 404, "unknown_lot"),
    "pull from a lot with a long name": (
        "POST",
        f"/v1/lots/{'a' * 4000}/pull",
        pull(),
        404,
        "unknown_lot",
    ),
    "pull that is not JSON": ("POST", PULL, b"{", 400, "bad_request"),
    "pull that is not UTF-8": ("POST", PULL, pull(cursor="").replace(b'""', b'"\xff"'), 400, None),
    "pull that is deeply nested": ("POST", PULL, b'{"cursor":' + DEEP_NESTING, 400, "bad_request"),
    "pull with a long cursor": ("POST", PULL, pull(cursor="AAAA"), 400, "bad_request"),
    "pull with a short cursor": ("POST", PULL, pull(cursor=""), 400, "bad_request"),
    "pull with a cursor beyond the lot": ("POST", PULL, pull(cursor="8A=="), 400, "bad_request"),
    "pull with a cursor that is not base64": ("POST", PULL, pull(cursor="ä*"), 400, "bad_request"),
    "pull with a cursor of a wrong type": ("POST", PULL, pull(cursor=1), 400, "bad_request"),
    "pull with a negative version": ("POST", PULL, pull(trainer_version=-1), 400, "bad_request"),
    "pull with a huge version": ("POST", PULL, pull(trainer_version="BIG"), 400, "bad_request"),
    "pull with a version over 53 bits": (
        "POST",
        PULL,
        pull(trainer_version=2**63),
        400,
        "bad_request",
    ),
    "pull of no samples": ("POST", PULL, pull(max_samples=0), 400, "bad_request"),
    "pull with a negative wait": ("POST", PULL, pull(wait_s=-1), 400, "bad_request"),
    "pull with a long wait": ("POST", PULL, pull(wait_s=1e9), 400, "bad_request"),
    "pull with NaN": ("POST", PULL, pull(wait_s="NAN"), 400, "bad_request"),
    "pull with a huge wait": ("POST", PULL, pull(wait_s="BIG"), 400, "bad_request"),
    "pull too large": ("POST", PULL, b" " * 10_001, 413, "body_too_large"),
    "ack without a cursor": ("POST", ACK, b"{}", 400, "bad_request"),
    "ack of an unknown lot": ("POST", "/v1/lots/other/ack", b'{"cursor":""}', 404, "unknown_lot"),
    "cancel of an unknown lot": ("POST", "/v1/lots/other/cancel", b"", 404, "unknown_lot"),
    "status of an unknown lot": ("GET", "/v1/lots/other", b"", 404, "unknown_lot"),
    "version of an unknown model": (
        "PUT",
        "/v1/models/other/version",
        b'{"version":1}',
        404,
        "unknown_version",
    ),
    "version zero": ("PUT", VERSION, b'{"version":0}', 400, "bad_request"),
    "version negative": ("PUT", VERSION, b'{"version":-1}', 400, "bad_request"),
    "version huge": ("PUT", VERSION, b'{"version":%d}' % 2**64, 400, "bad_request"),
    "version of a wrong type": ("PUT", VERSION, b'{"version":"1"}', 400, "bad_request"),
    "version missing": ("PUT", VERSION, b"{}", 400, "bad_request"),
    "version body too large": ("PUT", VERSION, b" " * 5000, 413, "body_too_large"),
    "drain of an unknown target": (
        "POST",
        "/v1/targets/other/drain",
        b"{}",
        404,
        "unknown_target",
    ),
    "drain of a wrong type": ("POST", "/v1/targets/o/drain", b'{"drain":1}', 400, "bad_request"),
    "unknown service": ("GET", "/services/other/x", b"", 404, "unknown_service"),
    "service body too large": ("POST", SERVICE, b"x" * 10_001, 413, "body_too_large"),
    "unknown path": ("GET", "/v2/lots", b"", 404, "bad_request"),
    "root": ("GET", "/", b"", 404, "bad_request"),
    "unknown method": ("DELETE", LOTS, b"", 405, "bad_request"),
    "options": ("OPTIONS", "/v1/status", b"", 405, "bad_request"),
    "method that no route accepts": ("PROPFIND", SERVICE, b"", 405, "bad_request"),
    "fault in a handler": ("GET", "/v1/targets", b"", 500, "internal"),
    "target that is down": ("GET", SERVICE, b"", 502, "target_unreachable"),
}


@pytest.fixture
async def endpoint():
    async with open_endpoint() as opened:
        assert (await opened.request("POST", LOTS, lot()))[0] == 200
        yield opened


async def test_bad_requests(endpoint):
    """Guards against a wrong status, code or error format, and against the loss of the lot."""
    wrong = {}
    for name, (method, path, body, status, code) in CASES.items():
        response = await endpoint.request(method, path, body)
        try:
            error = error_of(response)
        except Exception as failure:  # noqa: BLE001 - all malformed errors are collected
            wrong[name] = (failure, response)
            continue
        verdict = "may_have_run" if status == 500 else "not_run"
        expected = (status, code or error["code"], verdict)
        if (response[0], error["code"], error["verdict"]) != expected:
            wrong[name] = (response[0], error)
    assert list(wrong) == [], wrong
    assert (await endpoint.request("GET", "/v1/lots/eyes-1"))[0] == 200
    assert (await endpoint.request("POST", PULL, pull()))[0] == 200
    assert not endpoint.gateway.runner.running
    assert not endpoint.gateway.lots.lot_locks
    assert endpoint.gateway.ordinary.body_budget.held == 0


HEADERS = {
    "long request id": "Turmericreach-Request-Id: " + "x" * 201,
    "request id with a control character": "Turmericreach-Request-Id: a\x7fb",
    "request id that is not ASCII": "Turmericreach-Request-Id: ä",
    "long key": "Idempotency-Key: " + "x" * 201,
    "empty key": "Idempotency-Key:",
    "two keys": "Idempotency-Key: a\r\nIdempotency-Key: b",
    "deadline of zero": "Turmericreach-Deadline-Ms: 0",
    "negative deadline": "Turmericreach-Deadline-Ms: -1",
    "deadline with a digit outside ASCII": "Turmericreach-Deadline-Ms: \xb2",
    "huge deadline": "Turmericreach-Deadline-Ms: " + "9" * 5000,
    "deadline that is not a number": "Turmericreach-Deadline-Ms: nan",
    "idempotent with an unknown value": "Turmericreach-Idempotent: no",
}


@pytest.mark.parametrize("case", HEADERS)
async def test_bad_headers(endpoint, case):
    """Guards against an invalid header that is ignored or causes an internal error."""
    response = await endpoint.request("POST", SERVICE, b"{}", [HEADERS[case]])
    error = error_of(response)
    assert (response[0], error["code"], error["verdict"]) == (400, "bad_request", "not_run")
    assert endpoint.gateway.runner.requests == []


async def test_caller_id_is_on_errors(endpoint):
    """Guards against an error that its caller cannot match to its request."""
    for path in ("/services/other", "/nowhere", "/v1/targets", "/v1/lots/other"):
        response = await endpoint.request("GET", path, headers=["Turmericreach-Request-Id: r-7"])
        assert error_of(response)["request_id"] == "r-7"


HEAD = b"POST /services/portal/x HTTP/1.1\r\nHost: endpoint\r\n"
RAW = {
    # Name of the case: bytes sent, (expected status, expected code).
    "chunked body too large": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + (b"400\r\n" + b"x" * 1024 + b"\r\n") * 20,
        (413, "body_too_large"),
    ),
    "declared body too large": (
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        (413, "body_too_large"),
    ),
    "declared too large, with Expect": (
        HEAD + b"Expect: 100-continue\r\nContent-Length: 20000\r\n\r\n",
        (413, "body_too_large"),
    ),
    "two lengths": (
        HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        (400, "bad_request"),
    ),
    "length and chunks": (
        HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        (400, "bad_request"),
    ),
    "negative length": (HEAD + b"Content-Length: -1\r\n\r\n", (400, "bad_request")),
    "bad chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", (400, "bad_request")),
    "half a request line": (b"GET /heal", (408, "timeout")),
    "half a head": (HEAD, (408, "timeout")),
    "slow body": (HEAD + b"Content-Length: 10\r\n\r\nx", (408, "timeout")),
    "not HTTP": (b"\x16\x03\x01\x02\x00\r\n\r\n", (400, "bad_request")),
    "path that is not ASCII": (
        "GET /services/portal/ä HTTP/1.1\r\nHost: d\r\n\r\n".encode(),
        (400, "bad_request"),
    ),
    "long path": (b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: d\r\n\r\n", (414, "bad_request")),
    "large header": (
        HEAD + b"X-A: " + b"a" * 70_000 + b"\r\nContent-Length: 0\r\n\r\n",
        (431, "bad_request"),
    ),
    "old protocol": (
        HEAD.replace(b"1.1", b"1.0") + b"Content-Length: 0\r\n\r\n",
        (505, "bad_request"),
    ),
    "unknown protocol": (HEAD.replace(b"1.1", b"3.7") + b"\r\n", (400, "bad_request")),
    "tunnel": (b"CONNECT d:443 HTTP/1.1\r\nHost: d\r\n\r\n", (400, "bad_request")),
    "star": (b"OPTIONS * HTTP/1.1\r\nHost: d\r\n\r\n", (404, "bad_request")),
    "upgrade": (
        b"GET /x HTTP/1.1\r\nHost: d\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
        (404, "bad_request"),
    ),
    "no path": (b"GET http://d HTTP/1.1\r\nHost: d\r\n\r\n", (400, "bad_request")),
    "NUL in a header": (HEAD + b"X-A: a\0b\r\n\r\n", (400, "bad_request")),
    "NUL in a path": (b"GET /services/portal/\0 HTTP/1.1\r\n\r\n", (400, "bad_request")),
    "unterminated header": (HEAD + b"X-A: " + b"a" * 1_000_000, (431, "bad_request")),
    "many headers": (HEAD + b"X-A: a\r\n" * 30_000 + b"\r\n", (431, "bad_request")),
}


@pytest.mark.parametrize("case", RAW)
async def test_raw_bytes(endpoint, case):
    """Guards against input that occupies a connection, memory or a handler without limit."""
    sent, expected = RAW[case]
    reader, writer = await endpoint.connect()
    writer.write(sent)
    async with asyncio.timeout(3 * LIMITS.slow_sender_timeout_s):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(parse(head)[1]["content-length"])
        response = parse(head + await reader.readexactly(length))
    writer.close()
    error = error_of(response)
    assert (response[0], error["code"], error["verdict"]) == (*expected, "not_run")
    assert endpoint.gateway.runner.requests == []
    assert (await endpoint.request("HEAD", "/healthz"))[0] == 200


async def test_slow_sender_is_closed(endpoint):
    """Guards against a caller that holds a connection by sending single bytes slowly."""
    reader, writer = await endpoint.connect()
    writer.write(HEAD + b"Content-Length: 1000\r\n\r\n")
    closed = asyncio.create_task(reader.read())
    async with asyncio.timeout(10 * LIMITS.slow_sender_timeout_s):
        while not closed.done():
            writer.write(b"x")
            await asyncio.sleep(0.1)
    writer.close()


async def test_expect_100_continue(endpoint):
    """Guards against a caller that never gets the permission to send its body."""
    reader, writer = await endpoint.connect()
    writer.write(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    async with asyncio.timeout(2):
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"{}")
        await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert endpoint.gateway.runner.requests[0].body == b"{}"


async def test_connection_limit():
    """Guards against an unlimited number of connections, and a rejection without a reason."""
    async with open_endpoint(limits=attrs.evolve(LIMITS, max_connections=3)) as endpoint:
        held = [await endpoint.connect() for _ in range(3)]
        await asyncio.sleep(0.05)
        reader, writer = await endpoint.connect()
        async with asyncio.timeout(1):
            response = parse(await reader.read())
        writer.close()
        error = error_of(response)
        assert (response[0], error["code"], response[1]["retry-after"]) == (503, "overloaded", "1")
        for _, writer in held:
            writer.close()
        await asyncio.sleep(0.05)
        assert (await endpoint.request("GET", "/healthz"))[0] == 200


async def test_bodies_of_all_callers_are_bounded_together(endpoint):
    """Guards against bodies that exceed the memory only in sum over all callers."""
    endpoint.gateway.ordinary.body_budget.max_bytes = 8000
    held = []
    for _ in range(2):
        reader, writer = await endpoint.connect()
        writer.write(HEAD + b"Content-Length: 4001\r\n\r\n" + b"x" * 4000)
        held.append((reader, writer))
        await asyncio.sleep(0.05)
    response = await endpoint.request("POST", SERVICE, b"{}")
    error = error_of(response)
    assert (response[0], error["code"], error["verdict"]) == (503, "overloaded", "not_run")
    for _, writer in held:
        writer.close()
    await asyncio.sleep(0.1)
    assert endpoint.gateway.ordinary.body_budget.held == 0
    assert (await endpoint.request("POST", "/v1/lots", lot()))[0] == 200
