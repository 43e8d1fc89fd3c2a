"""An object store in memory with switchable faults, and an HTTP application around it."""

import asyncio
import base64
import json
from urllib.parse import unquote

import attrs
import uvicorn
from blacksheep import Application, Content, Request, Response
from blacksheep.server.routing import Router

from turmericreach.objectstore import (
    MAX_VALUE_BYTES,
    Conflict,
    EventType,
    HostRecord,
    Listing,
    RateLimited,
    ResultUnknown,
    StoredObject,
    Unavailable,
    ValueTooLarge,
    WatchEvent,
    WatchExpired,
    WatchResult,
)


@attrs.define
class Faults:
    """Faults in force.

    Attributes
    ----------
    down, rate_limited : bool
        Whether each call is rejected as unavailable or rate-limited.
    hang : bool
        Whether calls never return.
    delay_s : float
        Additional delay of each call.
    lose_answers, lose_requests : int
        Number of next writes whose result is unknown and that do, or do not, take effect.
    late_writes : int
        Number of next writes whose result is unknown and that take effect later.
    """

    down: bool = False
    hang: bool = False
    delay_s: float = 0.0
    rate_limited: bool = False
    lose_answers: int = 0
    lose_requests: int = 0
    late_writes: int = 0


class MemoryObjectStore:
    """An `ObjectStore` in memory.

    Writes under `late_writes` take effect only when `apply_late_writes` is called.
    """

    def __init__(self, kept_events=1000):
        self.faults = Faults()
        self.objects = {}
        self.revision = 0
        self.events = []
        self.kept_events = kept_events
        self.host_records: list[HostRecord] = []
        self.changed = asyncio.Event()
        self.pending_writes = []
        self.calls = 0

    async def apply_faults(self):
        self.calls += 1
        if self.faults.hang:
            await asyncio.Event().wait()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise Unavailable("down")
        if self.faults.rate_limited:
            raise RateLimited(0.5)

    def record(self, type_, kind, name, version, value):
        self.events.append((kind, WatchEvent(type_, name, version, self.revision, value)))
        del self.events[: -self.kept_events]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def get(self, kind, name):
        await self.apply_faults()
        stored = self.objects.get((kind, name))
        return stored and attrs.evolve(stored, revision=self.revision)

    async def list(self, kind):
        await self.apply_faults()
        return Listing(self.revision, [o for o in self.objects.values() if o.kind == kind])

    async def put(self, kind, name, value, if_version=None, if_absent=False):
        await self.apply_faults()
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f"{len(value)} bytes")
        return self.write(lambda: self.apply_put(kind, name, value, if_version, if_absent))

    async def delete(self, kind, name, if_version=None):
        await self.apply_faults()
        return self.write(lambda: self.apply_delete(kind, name, if_version))

    def write(self, apply):
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            raise ResultUnknown("request lost")
        if self.faults.late_writes:
            self.faults.late_writes -= 1
            self.pending_writes.append(apply)
            raise ResultUnknown("request delayed")
        result = apply()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise ResultUnknown("response lost")
        return result

    def apply_late_writes(self):
        pending, self.pending_writes = self.pending_writes, []
        for apply in pending:
            try:
                apply()
            except Conflict:
                continue

    def apply_put(self, kind, name, value, if_version, if_absent):
        current = self.objects.get((kind, name))
        if if_absent and current is not None:
            raise Conflict("exists")
        if if_version is not None and (current is None or current.version != if_version):
            raise Conflict("other version")
        self.revision += 1
        # Using the revision as the version keeps a name created again from repeating a version.
        stored = StoredObject(kind, name, value, self.revision, self.revision)
        self.objects[kind, name] = stored
        self.record(EventType.PUT, kind, name, stored.version, value)
        return stored

    def apply_delete(self, kind, name, if_version):
        current = self.objects.get((kind, name))
        if current is None:
            return False
        if if_version is not None and current.version != if_version:
            raise Conflict("other version")
        del self.objects[kind, name]
        self.revision += 1
        self.record(EventType.DELETE, kind, name, current.version, b"")
        return True

    async def watch(self, kind, since, timeout_s):
        await self.apply_faults()
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    if self.revision - len(self.events) > since:
                        raise WatchExpired("too old")
                    found = [e for k, e in self.events if k == kind and e.revision > since]
                    if found:
                        return WatchResult(self.revision, found)
                    await self.changed.wait()
        except TimeoutError:
            return WatchResult(self.revision, [])

    async def hosts(self):
        await self.apply_faults()
        return list(self.host_records)


class ObjectServer:
    """Serves a `MemoryObjectStore` over HTTP on a free port of 127.0.0.1."""

    def __init__(self, store):
        self.store = store
        app = Application(router=Router(), show_error_details=False)

        async def handle(request: Request):
            return await self.handle(request)

        for method in ("GET", "PUT", "DELETE"):
            app.router.add(method, "/*", handle)
        config = uvicorn.Config(app, "127.0.0.1", 0, lifespan="off", log_level="error")
        self.server = uvicorn.Server(config)
        self.arrivals = 0

    async def __aenter__(self):
        config = self.server.config
        await config.app.start()
        self.task = asyncio.create_task(self.server._serve())
        async with asyncio.timeout(5):
            while not self.server.started:  # noqa: ASYNC110 - uvicorn offers no event
                await asyncio.sleep(0.01)
        port = self.server.servers[0].sockets[0].getsockname()[1]
        self.url = f"http://{config.host}:{port}"
        return self

    async def __aexit__(self, *exc):
        self.server.should_exit = True
        self.server.force_exit = True
        await self.task

    async def handle(self, request):
        self.arrivals += 1
        status, headers, body = await self.respond(request)
        all_headers = [*headers, (b"Turmericreach-Revision", str(self.store.revision).encode())]
        return Response(status, all_headers, Content(b"application/json", body))

    async def respond(self, request):
        try:
            return await self.dispatch(request)
        except Conflict:
            return 412, [], b""
        except ValueTooLarge:
            return 413, [], b""
        except RateLimited as error:
            return 429, [(b"Retry-After", f"{error.retry_after_s:g}".encode())], b""
        except Unavailable:
            return 503, [], b""
        except WatchExpired:
            return 410, [], b""
        except ResultUnknown:
            return 502, [], b""

    async def dispatch(self, request):
        raw = request.scope["raw_path"].decode().partition("?")[0]
        parts = [unquote(part) for part in raw.strip("/").split("/")]
        store = self.store
        if parts[0] == "hosts":
            hosts = [attrs.asdict(record) for record in await store.hosts()]
            return 200, [], json.dumps({"hosts": hosts}).encode()
        if parts[0] == "watch":
            since, timeout_s = (float(request.query[key][0]) for key in ("since", "timeout_s"))
            result = await store.watch(parts[1], int(since), timeout_s)
            return 200, [], dump(result.revision, "events", result.events)
        if len(parts) == 2:
            listing = await store.list(parts[1])
            return 200, [], dump(listing.revision, "items", listing.items)
        return await self.dispatch_object(request, parts[1], parts[2])

    async def dispatch_object(self, request, kind, name):
        match = request.get_first_header(b"If-Match")
        if_version = int(match.strip(b'"')) if match else None
        if request.method == "DELETE":
            return (204 if await self.store.delete(kind, name, if_version) else 404), [], b""
        if request.method == "PUT":
            if_absent = request.get_first_header(b"If-None-Match") == b"*"
            body = await request.read() or b""
            stored = await self.store.put(kind, name, body, if_version, if_absent)
            return 200, [(b"ETag", b'"%d"' % stored.version)], b""
        stored = await self.store.get(kind, name)
        if stored is None:
            return 404, [], b""
        return 200, [(b"ETag", b'"%d"' % stored.version)], stored.value


def dump(revision, key, values):
    """Encode the body of a listing or of a watch response."""
    entries = []
    for value in values:
        entry = attrs.asdict(value)
        entry.pop("kind", None)
        entry["value"] = base64.b64encode(value.value).decode()
        entries.append(entry)
    return json.dumps({"revision": revision, key: entries}).encode()
