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
from turmericreach_standins.objects.store import HistoryGone, NotFound, PreconditionFailed, Store

__all__ = ["ObjectsSettings", "create_objects"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 300.0
FAULTS = ("down", "slow_ms", "lost_answers", "hang", "watch_gap")
RECORDED_WRITES = 100_000


@attrs.define
class ObjectsSettings:
    """Options of the object API stand-in.

    Parameters
    ----------
    writes_per_s : float
        Rate limit of writes; 0 means none.
    reads_per_s : float
        Rate limit of reads and of new watches; 0 means none.
    host_lag_s : float
        Seconds until a change of the host list is visible.
    history : int
        Events that are kept for watches.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    host_lag_s: float = 1.0
    history: int = 10_000


class ObjectsApi:
    """Handlers of the object API."""

    def __init__(self, settings):
        self.store = Store(settings.history)
        self.hosts = HostList(settings.host_lag_s)
        self.reads = TokenBucket(settings.reads_per_s)
        self.writes = TokenBucket(settings.writes_per_s)
        self.faults = Faults(FAULTS)
        self.faults.listeners.append(self.on_faults)
        self.calls = Counter(reads=0, writes=0, watches=0, refused=0)
        self.executed = []
        self.waiting = set()
        self.stopping = False

    def on_faults(self, changes):
        """Apply `watch_gap` at once, and let waiting watches see the new faults."""
        if changes.get("watch_gap"):
            self.store.drop_history()
            self.faults.values.pop("watch_gap")
        self.wake()

    def wake(self):
        """Wake all waiting watches."""
        for waiter in self.waiting:
            waiter.set()

    def stop(self):
        """End the waiting watches."""
        self.stopping = True
        self.wake()

    def check_up(self):
        """Refuse the call while the API is down."""
        if self.faults.get("down"):
            raise RequestError(503, "down", "the object API is down")

    async def admit(self, call, bucket):
        """Count a call, then apply the faults and the rate limit to it."""
        self.calls[call] += 1
        self.check_up()
        while self.faults.get("hang"):
            await self.faults.wait_change()
        wait_s = bucket.wait_s(asyncio.get_running_loop().time())
        if wait_s:
            self.calls["refused"] += 1
            raise RequestError(429, "rate_limited", "too many calls", wait_s)
        if self.faults.get("slow_ms"):
            await asyncio.sleep(self.faults.get("slow_ms") / 1000)

    def answer(self, body, status=200, version=None):
        """Return a JSON answer with the revision and, if given, the ETag."""
        return json_response(body, status, self.headers(version))

    def headers(self, version=None):
        """Return the headers of the revision and, if given, of the ETag."""
        headers = [(b"turmericreach-revision", str(self.store.revision).encode())]
        if version is not None:
            headers.append((b"etag", f'"{version}"'.encode()))
        return headers

    def finish_write(self, request, response):
        """Record a write that took effect; lose its answer if that fault is on."""
        if len(self.executed) < RECORDED_WRITES:
            entry = {"method": request.method, "path": request.url.path.decode()}
            self.executed.append({**entry, "revision": self.store.revision})
        self.wake()
        if self.faults.take("lost_answers"):
            exchange_of(request).drop()
        return response

    async def get_object(self, request):
        """Answer ``GET /objects/{kind}/{name}``."""
        await self.admit("reads", self.reads)
        found = found_or_404(self.store.get, *key_of(request))
        content = Content(b"application/octet-stream", found.value)
        return Response(200, self.headers(found.version), content)

    async def list_objects(self, request):
        """Answer ``GET /objects/{kind}``."""
        await self.admit("reads", self.reads)
        items = [shown(item) for item in self.store.list(request.route_values["kind"])]
        return self.answer({"revision": self.store.revision, "items": items})

    async def put_object(self, request):
        """Answer ``PUT /objects/{kind}/{name}``."""
        await self.admit("writes", self.writes)
        value = await request.read() or b""
        if len(value) > MAX_VALUE_BYTES:
            raise RequestError(413, "too_large", f"values hold at most {MAX_VALUE_BYTES} bytes")
        kind, name = key_of(request)
        if_match, only_new = conditions_of(request)
        try:
            stored = self.store.put(kind, name, value, if_match, only_new)
        except PreconditionFailed as error:
            raise RequestError(412, "precondition_failed", str(error)) from error
        body = {"version": stored.version, "revision": stored.revision}
        status = 201 if stored.version == 1 else 200
        return self.finish_write(request, self.answer(body, status, stored.version))

    async def delete_object(self, request):
        """Answer ``DELETE /objects/{kind}/{name}``."""
        await self.admit("writes", self.writes)
        kind, name = key_of(request)
        if_match, _ = conditions_of(request)
        try:
            event = found_or_404(self.store.delete, kind, name, if_match)
        except PreconditionFailed as error:
            raise RequestError(412, "precondition_failed", str(error)) from error
        return self.finish_write(request, self.answer({"revision": event.revision}))

    async def watch(self, request):
        """Answer ``GET /watch/{kind}?since=R&timeout_s=T``."""
        await self.admit("watches", self.reads)
        kind = request.route_values["kind"]
        since = query_number(request, "since", self.store.revision)
        timeout_s = min(query_number(request, "timeout_s", 30.0, float), MAX_WATCH_S)
        events = await self.wait_events(kind, since, timeout_s)
        body = {"revision": self.store.revision, "events": [shown(event) for event in events]}
        return self.answer(body)

    async def wait_events(self, kind, since, timeout_s):
        """Return the events after `since`, or none when the time is over."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        waiter = asyncio.Event()
        self.waiting.add(waiter)
        try:
            while True:
                waiter.clear()
                self.check_up()
                events = events_or_410(self.store, kind, since)
                remaining_s = deadline - loop.time()
                if events or remaining_s <= 0 or self.stopping:
                    return events
                try:
                    await asyncio.wait_for(waiter.wait(), remaining_s)
                except TimeoutError:
                    continue
        finally:
            self.waiting.discard(waiter)

    async def get_hosts(self, _request):
        """Answer ``GET /hosts``."""
        await self.admit("reads", self.reads)
        hosts = self.hosts.visible(asyncio.get_running_loop().time())
        return self.answer({"hosts": [attrs.asdict(host) for host in hosts]})

    async def put_host(self, request):
        """Answer ``PUT /hosts/{name}``."""
        body = await read_json(request)
        state = body.get("state", "live")
        if state not in ("live", "leaving"):
            raise RequestError(400, "bad_host", "state must be live or leaving")
        fields = (body.get("address"), body.get("data_centre"))
        if not all(isinstance(field, str) for field in fields):
            raise RequestError(400, "bad_host", "address and data_centre must be texts")
        host = Host(request.route_values["name"], *fields, state)
        self.hosts.put(asyncio.get_running_loop().time(), host)
        return self.answer(attrs.asdict(host))

    async def delete_host(self, request):
        """Answer ``DELETE /hosts/{name}``."""
        name = request.route_values["name"]
        if not self.hosts.remove(asyncio.get_running_loop().time(), name):
            raise RequestError(404, "not_found", f"no host {name}")
        return self.answer({})

    async def get_calls(self, _request):
        """Answer ``GET /standin/calls``."""
        counts = {**self.calls, "waiting_watches": len(self.waiting)}
        counts["total"] = self.calls["reads"] + self.calls["writes"] + self.calls["watches"]
        return json_response(counts)


def key_of(request):
    values = request.route_values
    return values["kind"], values["name"]


def conditions_of(request):
    """Return the version of ``If-Match`` and whether ``If-None-Match: *`` is set."""
    only_new = request.get_first_header(b"if-none-match")
    if only_new not in (None, b"*"):
        raise RequestError(400, "bad_condition", "If-None-Match takes only *")
    if_match = request.get_first_header(b"if-match")
    if if_match is None or if_match == b"*":
        return ("*" if if_match else None), only_new is not None
    digits = if_match.strip().strip(b'"')
    if not digits.isdigit():
        raise RequestError(400, "bad_condition", "If-Match takes a quoted decimal version or *")
    return int(digits), only_new is not None


def found_or_404(call, *arguments):
    try:
        return call(*arguments)
    except NotFound as error:
        raise RequestError(404, "not_found", str(error)) from error


def events_or_410(store, kind, since):
    try:
        return store.events_since(kind, since)
    except HistoryGone as error:
        raise RequestError(410, "history_gone", str(error)) from error


def shown(entry):
    """Return the JSON form of an object or an event."""
    names = ("type", "name", "version", "revision")
    body = {name: getattr(entry, name) for name in names if hasattr(entry, name)}
    value = entry.value
    body["value"] = None if value is None else base64.b64encode(value).decode()
    return body


def create_objects(settings=None):
    """Return the object API stand-in."""
    api = ObjectsApi(settings or ObjectsSettings())
    application = new_application(api.faults, lambda: {"writes": api.executed})
    add_route(application, "GET", "/objects/{kind}", api.list_objects)
    add_route(application, "GET", "/objects/{kind}/{path:name}", api.get_object)
    add_route(application, "PUT", "/objects/{kind}/{path:name}", api.put_object)
    add_route(application, "DELETE", "/objects/{kind}/{path:name}", api.delete_object)
    add_route(application, "GET", "/watch/{kind}", api.watch)
    add_route(application, "GET", "/hosts", api.get_hosts)
    add_route(application, "PUT", "/hosts/{name}", api.put_host)
    add_route(application, "DELETE", "/hosts/{name}", api.delete_host)
    add_route(application, "GET", "/standin/calls", api.get_calls)
    # A write goes on when its client leaves: the write may then take effect unseen.
    stand_in = StandIn(application, cancels=lambda scope: scope["method"] == "GET")
    stand_in.on_stop.append(api.stop)
    return stand_in
