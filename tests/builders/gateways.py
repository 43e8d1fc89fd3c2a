"""A gateway that follows a script of responses, on a real socket."""

import asyncio
import contextlib

import msgspec

from tests.builders.loopback import LOOPBACK
from turmericreach.api import DeclareResponse, PullResponse
from turmericreach.lots import Cursor, Sample
from turmericreach.verdicts import Segment

__all__ = ["DROP", "TRUNCATE", "ScriptedGateway", "error", "sample"]

# Incomplete responses: `DROP` closes the connection without one, `TRUNCATE` before the last byte
# of the body.
DROP = object()
TRUNCATE = object()


def sample(spec, ordinal, version=1):
    """Build a finished sample of a lot."""
    group, index = divmod(ordinal, spec.samples_per_group)
    return Sample(spec.sample_id(ordinal), group, index, "t", 1, [Segment(version, 1)])


def error(status, code="", headers="", verdict="not_run", retry_after_s=None):
    """Build an error response; without a code its body is not JSON, as from a load balancer."""
    body = {"code": code, "message": "m", "verdict": verdict, "retry_after_s": retry_after_s}
    return status, headers, msgspec.json.encode({"error": body}) if code else b"no JSON"


class ScriptedGateway:
    """Serves one lot; each call gets the next response of the script for its last path segment.

    Attributes
    ----------
    script : dict of str to list
        Responses by the last segment of the path: a callable that takes the body, a triple of
        status, headers and body, `DROP` or `TRUNCATE`. Without one, the lot is served correctly.
    known : bool
        Whether the lot was declared.
    ready : list of int
        Ordinals of the samples that a pull can return.
    """

    def __init__(self, spec, port=0):
        self.spec = spec
        self.port = port
        self.script = {}
        self.calls = []
        self.times = []
        self.known = False
        self.ready = list(range(spec.size))

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://{LOOPBACK}:{self.port}"
        return self

    async def __aexit__(self, *exc):
        self.server.close()

    async def serve(self, reader, writer):
        """Respond to one request and close the connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = 0
            for line in head.lower().split("\r\n"):
                if line.startswith("content-length:"):
                    length = int(line.partition(":")[2])
            body = await reader.readexactly(length)
            name = head.split()[1].rpartition("/")[2]
            self.calls.append(name)
            self.times.append(asyncio.get_running_loop().time())
            response = await self.next_response(name, body)
            if response is not DROP:
                writer.write(encode_response(response))
                await writer.drain()
        writer.close()

    async def next_response(self, name, body):
        """Return the next response to a call."""
        script = self.script.get(name)
        if not script:
            return self.default_response(name, body)
        response = script.pop(0)
        if callable(response):
            return await response(body)
        if response is TRUNCATE:
            status, headers, content = self.default_response(name, body)
            return status, headers + "X-Truncated: 1\r\n", content
        return response

    def default_response(self, name, body):
        """Return the response of a gateway without faults."""
        if name == "lots":
            self.known = True
            empty = Cursor(self.spec.size).encode()
            return ok(DeclareResponse(self.spec.name, self.spec.size, True, empty))
        if not self.known:
            return error(404, "unknown_lot")
        if name != "pull":
            return ok({})
        return self.pull(msgspec.json.decode(body))

    def pull(self, request, version=None):
        """Return every ready sample that is not in the cursor."""
        cursor = Cursor.decode(request["cursor"], self.spec.size)
        samples = [sample(self.spec, n) for n in self.ready if not cursor.contains(n)]
        stated = request["trainer_version"] if version is None else version
        return ok(PullResponse(samples[: request["max_samples"]], 0, False, stated))


def ok(value):
    """Build a response with a JSON body."""
    return 200, "", msgspec.json.encode(value)


def encode_response(response):
    """Return the bytes of a response; a truncated one lacks its last byte."""
    status, headers, body = response
    head = f"HTTP/1.1 {status} S\r\n{headers}Connection: close\r\nContent-Length: {len(body)}"
    sent_bytes = len(body) - 1 if "X-Truncated" in headers else len(body)
    return head.encode() + b"\r\n\r\n" + body[:sent_bytes]
