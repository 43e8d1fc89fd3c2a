"""A gateway that answers as a test tells it to, on a real socket."""

import asyncio
import contextlib

import msgspec

from tests.builders.loopback import LOOPBACK
from turmericreach.api import DeclareAnswer, PullAnswer
from turmericreach.lots import Cursor, Sample
from turmericreach.verdicts import Segment

__all__ = ["DROP", "TRUNCATE", "ScriptedGateway", "error", "sample"]

# Answers that are no answers: the connection closes before, or in the middle of, the body.
DROP = object()
TRUNCATE = object()


def sample(spec, ordinal, version=1):
    """Build a finished sample of a lot."""
    group, index = divmod(ordinal, spec.samples_per_group)
    return Sample(spec.sample_id(ordinal), group, index, "t", 1, [Segment(version, 1)])


def error(status, code="", headers="", verdict="not_run", retry_after_s=None):
    """Build an error answer; without a code it has no JSON body, as from a balancer."""
    body = {"code": code, "message": "m", "verdict": verdict, "retry_after_s": retry_after_s}
    return status, headers, msgspec.json.encode({"error": body}) if code else b"no JSON"


class ScriptedGateway:
    """Serves one lot; each call takes the next answer of the script of its last path part.

    Attributes
    ----------
    script : dict of str to list
        Answers by the last part of the path: a callable that takes the body, a triple of status,
        headers and body, `DROP` or `TRUNCATE`. Without one, the lot is served properly.
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
        """Answer one request and close the connection."""
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
            answer = await self.answer(name, body)
            if answer is not DROP:
                writer.write(whole(answer))
                await writer.drain()
        writer.close()

    async def answer(self, name, body):
        """Return the next answer."""
        script = self.script.get(name)
        if not script:
            return self.proper(name, body)
        answer = script.pop(0)
        if callable(answer):
            return await answer(body)
        if answer is TRUNCATE:
            status, headers, content = self.proper(name, body)
            return status, headers + "X-Truncated: 1\r\n", content
        return answer

    def proper(self, name, body):
        """Return what a sound gateway answers."""
        if name == "lots":
            self.known = True
            empty = Cursor(self.spec.size).encode()
            return ok(DeclareAnswer(self.spec.name, self.spec.size, True, empty))
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
        return ok(PullAnswer(samples[: request["max_samples"]], 0, False, stated))


def ok(value):
    """Build an answer with a JSON body."""
    return 200, "", msgspec.json.encode(value)


def whole(answer):
    """Return the bytes of an answer; a truncated one lacks its last byte."""
    status, headers, body = answer
    head = f"HTTP/1.1 {status} S\r\n{headers}Connection: close\r\nContent-Length: {len(body)}"
    cut = len(body) - 1 if "X-Truncated" in headers else len(body)
    return head.encode() + b"\r\n\r\n" + body[:cut]
