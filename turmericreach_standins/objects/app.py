"""HTTP interface of the object API stand-in."""

import asyncio
import base64
from collections import Counter

import attrs
from blacksheep import Content, Response

from turmericreach_standins.common import (
    Faults,
    RequestError,
    StandIn,
    TokenBucket,
    add_route,
    exchange_of,
    json_response,
    new_application,
    query_number,
    read_json,
)
from turmericreach_standins.objects.hosts import Host, HostList
from turmericreach_standins.objects.store import HistoryExpired, NotFound, PreconditionFailed, Store

__all__ = ["ObjectsSettings", "create_objects"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 300.0
FAULTS = ("down", "slow_ms", "lost_answers", "hang", "watch_gap")
MAX_RECORDED_WRITES = 100_000


@attrs.define
class ObjectsSettings:
    """Options of the object API stand-in.

    Parameters
    ----------
    writes_per_s : float
        Writes admitted a second; 0 means no limit.
    reads_per_s : float
        Reads and new watches admitted a second; 0 means no limit.
    host_lag_s : float
        Seconds until readers see a change of the host list.
    history : int
        Number of events that are kept for watches.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    host_lag_s: float = 1.0
    history: int = 10_000


class ObjectsApi:
    """Handlers of the object API.

    Attributes
    ----------
    calls : Counter
        Calls by kind, and calls rejected by the rate limit.
    applied_writes : list of dict
        Method, path and revision of each write that took effect, for the record.
    waiters : set of asyncio.Event
        One for each waiting watch; setting it makes the watch look for events again.
    stopping : bool
        Whether watches return at once because the server stops.
    """

    def __init__(self, settings):
        self.store = Store(settings.history)
        self.hosts = HostList(settings.host_lag_s)
        self.reads = TokenBucket(settings.reads_per_s)
        self.writes = TokenBucket(settings.writes_per_s)
        self.faults = Faults(FAULTS)
        self.faults.listeners.append(self.on_faults)
        self.calls = Counter(reads=0, writes=0, watches=0, refused=0)
        self.applied_writes = []
        self.waiters = set()
        self.stopping = False

    def on_faults(self, changes):
        """Discard the history if ``watch_gap`` is set, and let watches see the new faults."""
        if changes.get("watch_gap"):
            self.store.discard_history()
            self.faults.values.pop("watch_gap")
        self.wake_watches()

    def wake_watches(self):
        """Let all waiting watches look for events again."""
        for waiter in self.waiters:
            waiter.set()

    def stop(self):
        """Let all waiting watches return."""
        self.stopping = True
        self.wake_watches()

    def check_available(self):
        """Reject the call if the fault ``down`` is set."""
        if self.faults.get("down"):
            raise RequestError(503, "down", "the object API is down")

    async def admit_call(self, call, bucket):
        """Count a call, then apply the faults and a rate limit to it.

        Raises
        ------
        RequestError
            503 if the API is down, 429 if the rate limit is reached.
        """
        self.calls[call] += 1
        self.check_available()
        while self.faults.get("hang"):
            await self.faults.wait_change()
        wait_s = bucket.try_acquire(asyncio.get_running_loop().time())
        if wait_s:
            self.calls["refused"] += 1
            raise RequestError(429, "rate_limited", "too many calls", wait_s)
        if self.faults.get("slow_ms"):
            await asyncio.sleep(self.faults.get("slow_ms") / 1000)

    def respond(self, body, status=200, version=None):
        """Return a JSON response with the revision and, if a version is given, its ETag."""
        return json_response(body, status, self.headers(version))

    def headers(self, version=None):
        """Return the headers with the revision and, if a version is given, its ETag."""
        headers = [(b"turmericreach-revision", str(self.store.revision).encode())]
        if version is not None:
            headers.append((b"etag", f'"{version}"'.encode()))
        return headers

    def finish_write(self, request, response):
        """Record a write that took effect; drop its response if the fault is set."""
        if len(self.applied_writes) < MAX_RECORDED_WRITES:
            entry = {"method": request.method, "path": request.url.path.decode()}
            self.applied_writes.append({**entry, "revision": self.store.revision})
        self.wake_watches()
        if self.faults.consume("lost_answers"):
            exchange_of(request).drop()
        return response

    async def get_object(self, request):
        """Handle ``GET /objects/{kind}/{name}``."""
        await self.admit_call("reads", self.reads)
        found = found_or_404(self.store.get, *key_of(request))
        content = Content(b"application/octet-stream", found.value)
        return Response(200, self.headers(found.version), content)

    async def list_objects(self, request):
        """Handle ``GET /objects/{kind}``."""
        await self.admit_call("reads", self.reads)
        items = [entry_body(item) for item in self.store.list(request.route_values["kind"])]
        return self.respond({"revision": self.store.revision, "items": items})

    async def put_object(self, request):
        """Handle ``PUT /objects/{kind}/{name}``."""
        await self.admit_call("writes", self.writes)
        value = await request.read() or b""
        if len(value) > MAX_VALUE_BYTES:
            raise RequestError(413, "too_large", f"values hold at most {MAX_VALUE_BYTES} bytes")
        kind, name = key_of(request)
        if_match, create_only = conditions_of(request)
        try:
            stored = self.store.put(kind, name, value, if_match, create_only)
        except PreconditionFailed as error:
            raise RequestError(412, "precondition_failed", str(error)) from error
        body = {"version": stored.version, "revision": stored.revision}
        status = 201 if stored.version == 1 else 200
        return self.finish_write(request, self.respond(body, status, stored.version))

    async def delete_object(self, request):
        """Handle ``DELETE /objects/{kind}/{name}``."""
        await self.admit_call("writes", self.writes)
        kind, name = key_of(request)
        if_match, _ = conditions_of(request)
        try:
            event = found_or_404(self.store.delete, kind, name, if_match)
        except PreconditionFailed as error:
            raise RequestError(412, "precondition_failed", str(error)) from error
        return self.finish_write(request, self.respond({"revision": event.revision}))

    async def watch(self, request):
        """Handle ``GET /watch/{kind}?since=R&timeout_s=T``."""
        await self.admit_call("watches", self.reads)
        kind = request.route_values["kind"]
        since = query_number(request, "since", self.store.revision)
        timeout_s = min(query_number(request, "timeout_s", 30.0, float), MAX_WATCH_S)
        events = await self.wait_events(kind, since, timeout_s)
        body = {"revision": self.store.revision, "events": [entry_body(event) for event in events]}
        return self.respond(body)

    async def wait_events(self, kind, since, timeout_s):
        """Return the events after the revision `since`, waiting up to `timeout_s` for the first."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        waiter = asyncio.Event()
        self.waiters.add(waiter)
        try:
            while True:
                waiter.clear()
                self.check_available()
                events = events_or_410(self.store, kind, since)
                remaining_s = deadline - loop.time()
                if events or remaining_s <= 0 or self.stopping:
                    return events
                try:
                    await asyncio.wait_for(waiter.wait(), remaining_s)
                except TimeoutError:
                    continue
        finally:
            self.waiters.discard(waiter)

    async def get_hosts(self, _request):
        """Handle ``GET /hosts``."""
        await self.admit_call("reads", self.reads)
        hosts = self.hosts.visible(asyncio.get_running_loop().time())
        return self.respond({"hosts": [attrs.asdict(host) for host in hosts]})

    async def put_host(self, request):
        """Handle ``PUT /hosts/{name}``."""
        body = await read_json(request)
        state = body.get("state", "live")
        if state not in ("live", "leaving"):
            raise RequestError(400, "bad_host", "state must be live or leaving")
        fields = (body.get("address"), body.get("data_centre"))
        if not all(isinstance(field, str) for field in fields):
            raise RequestError(400, "bad_host", "address and data_centre must be strings")
        host = Host(request.route_values["name"], *fields, state)
        self.hosts.put(asyncio.get_running_loop().time(), host)
        return self.respond(attrs.asdict(host))

    async def delete_host(self, request):
        """Handle ``DELETE /hosts/{name}``."""
        name = request.route_values["name"]
        if not self.hosts.remove(asyncio.get_running_loop().time(), name):
            raise RequestError(404, "not_found", f"no host {name}")
        return self.respond({})

    async def get_calls(self, _request):
        """Handle ``GET /standin/calls``."""
        counts = {**self.calls, "waiting_watches": len(self.waiters)}
        counts["total"] = self.calls["reads"] + self.calls["writes"] + self.calls["watches"]
        return json_response(counts)


def key_of(request):
    """Return the kind and the name in the path of a request."""
    values = request.route_values
    return values["kind"], values["name"]


def conditions_of(request):
    """Return the version of ``If-Match`` and whether ``If-None-Match: *`` is set.

    The version is "*" for any version, and None without ``If-Match``.

    Raises
    ------
    RequestError
        400 if a condition is not supported.
    """
    if_none_match = request.get_first_header(b"if-none-match")
    if if_none_match not in (None, b"*"):
        raise RequestError(400, "bad_condition", "If-None-Match must be *")
    if_match = request.get_first_header(b"if-match")
    if if_match is None or if_match == b"*":
        return ("*" if if_match else None), if_none_match is not None
    digits = if_match.strip().strip(b'"')
    if not digits.isdigit():
        raise RequestError(400, "bad_condition", "If-Match must be a quoted decimal version or *")
    return int(digits), if_none_match is not None


def found_or_404(call, *arguments):
    """Return the result of a call; raise a `RequestError` (404) if the object is missing."""
    try:
        return call(*arguments)
    except NotFound as error:
        raise RequestError(404, "not_found", str(error)) from error


def events_or_410(store, kind, since):
    """Return the events after `since`; raise a `RequestError` (410) if they are not kept."""
    try:
        return store.events_since(kind, since)
    except HistoryExpired as error:
        raise RequestError(410, "history_gone", str(error)) from error


def entry_body(entry):
    """Return an object or an event as a JSON body."""
    names = ("type", "name", "version", "revision")
    body = {name: getattr(entry, name) for name in names if hasattr(entry, name)}
    value = entry.value
    body["value"] = None if value is None else base64.b64encode(value).decode()
    return body


def create_objects(settings=None):
    """Return the object API stand-in."""
    api = ObjectsApi(settings or ObjectsSettings())
    application = new_application(api.faults, lambda: {"writes": api.applied_writes})
    add_route(application, "GET", "/objects/{kind}", api.list_objects)
    add_route(application, "GET", "/objects/{kind}/{path:name}", api.get_object)
    add_route(application, "PUT", "/objects/{kind}/{path:name}", api.put_object)
    add_route(application, "DELETE", "/objects/{kind}/{path:name}", api.delete_object)
    add_route(application, "GET", "/watch/{kind}", api.watch)
    add_route(application, "GET", "/hosts", api.get_hosts)
    add_route(application, "PUT", "/hosts/{name}", api.put_host)
    add_route(application, "DELETE", "/hosts/{name}", api.delete_host)
    add_route(application, "GET", "/standin/calls", api.get_calls)
    # A write is not cancelled when its client disconnects, so it may take effect without the
    # client learning of it.
    stand_in = StandIn(application, cancels=lambda scope: scope["method"] == "GET")
    stand_in.on_stop.append(api.stop)
    return stand_in
