"""Use of every declared event and metric, and the metrics that daemons send to statsd."""

import asyncio
import re
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest

import turmericreach
from tests.builders.objectstore import MemoryObjectStore
from turmericreach.daemon.lot_observer import LotObserver
from turmericreach.daemon.member_watch import MemberWatch
from turmericreach.daemon.observations import ObservedBudget, ObservedRunner
from turmericreach.daemon.observed_store import ObservedStore
from turmericreach.membership import MemberRecord, MemberTable
from turmericreach.objectstore import RateLimited
from turmericreach.routing import RetryCause, RetryCounts
from turmericreach.telemetry import Metrics, events, metric_catalogue, node_events
from turmericreach.verdicts import Outcome, Segment, Verdict

PACKAGE = Path(turmericreach.__file__).parent
DECLARATIONS = {"events.py", "node_events.py", "metric_catalogue.py"}


def source():
    """Return the source of the package except the modules of declarations."""
    paths = [path for path in PACKAGE.rglob("*.py") if path.name not in DECLARATIONS]
    return "\n".join(path.read_text() for path in paths)


@pytest.mark.parametrize(
    ("module", "alias", "kind"),
    [
        (events, "events", "Event"),
        (node_events, "events", "Event"),
        (metric_catalogue, "metrics", "Metric"),
    ],
)
def test_every_declaration_is_used(module, alias, kind):
    """Guards against events and metrics in the catalogue that no code sends."""
    declared = {name for name, value in vars(module).items() if type(value).__name__ == kind}
    # The alias may have a prefix, such as node_events beside events.
    used = set(re.findall(rf"\b(?:\w+_)?{alias}\.([A-Z_]+)\b", source()))
    assert declared
    assert sorted(declared - used) == []


class Statsd:
    """A UDP socket that receives statsd metrics."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(5)

    @property
    def address(self):
        return f"127.0.0.1:{self.socket.getsockname()[1]}"

    def read(self, count):
        """Receive `count` metrics and return them without their prefix."""
        lines = [self.socket.recv(2000).decode() for _ in range(count)]
        return [line.removeprefix("turmericreach.g1.") for line in lines]


@pytest.fixture
def statsd():
    server = Statsd()
    yield server
    server.socket.close()


@pytest.fixture
def sink(statsd):
    metrics = Metrics(statsd.address, "g1")
    yield metrics
    metrics.close()


async def test_platform_calls(statsd, sink):
    """Guards against calls to the object API that are not counted."""
    store = ObservedStore(MemoryObjectStore(), sink)
    await store.put("k", "n", b"v", if_absent=True)
    first, second = statsd.read(2)
    assert first == "platform_calls.put.ok:1|c"
    assert re.fullmatch(r"platform_time\.put:[\d.]+\|ms", second)
    store.store.faults.rate_limited = True
    with pytest.raises(RateLimited):
        await store.get("k", "n")
    assert statsd.read(1) == ["platform_calls.get.RateLimited:1|c"]


async def test_requests_and_retries(statsd, sink):
    """Guards against requests counted without a status and retries counted without a cause."""

    class Runner:
        async def run(self, request):
            if request.service == "slow":
                await asyncio.sleep(60)
            return Outcome(Verdict.ANSWERED, status=200)

    runner = ObservedRunner(Runner(), sink)
    await runner.run(SimpleNamespace(service="portal"))
    lines = statsd.read(2)
    assert lines[0] == "requests.portal.200:1|c"
    assert lines[1].startswith("request_time.portal:")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0):
            await runner.run(SimpleNamespace(service="slow"))
    assert statsd.read(2)[0] == "requests.slow.cancelled:1|c"
    assert ObservedBudget(sink, 0.0).try_acquire(RetryCause.NOT_SENT, RetryCounts(), 0.0)
    assert statsd.read(1) == ["retries.not_sent:1|c"]


def make_node(sink, **more):
    own = MemberRecord(
        name="g1", role="gateway", data_centre="turku", region="fi", address="127.0.0.1:1"
    )
    return SimpleNamespace(
        metrics=sink,
        name="g1",
        members=MemberTable(own, 0.0),
        config=SimpleNamespace(generation=7),
        wanted=SimpleNamespace(newest={"m": SimpleNamespace(version=3)}),
        settings=SimpleNamespace(data_centre="turku"),
        now=lambda: 0.0,
        **more,
    )


def test_gauges_of_every_daemon(statsd, sink):
    """Guards against gauges of the generation and the members that are declared but never sent."""
    watch = MemberWatch(make_node(sink), lambda: False)
    watch.step(0.0)
    assert statsd.read(3) == ["members.live:1|g", "generation:7|g", "wanted_version.m:3|g"]


def test_lot_metrics(statsd, sink):
    """Guards against missing metrics of staleness, discarded samples and trainer idle time."""
    observer = LotObserver(make_node(sink))
    progress = SimpleNamespace(discarded={"stale": 2}, tokens_thrown_away=50)
    runner = SimpleNamespace(
        spec=SimpleNamespace(name="lot-1", trainer="fittings"),
        coordinator=SimpleNamespace(progress=lambda: progress),
    )
    sample = SimpleNamespace(segments=[Segment(5, 10), Segment(4, 3)])
    result = SimpleNamespace(samples=[sample], trainer_version=6, done=True)
    observer.on_pull(runner, result, 0.25)
    observer.count_discarded({"lot-1": runner})
    observer.count_discarded({"lot-1": runner})
    assert statsd.read(5) == [
        "trainer_idle.fittings:250.000000|ms",
        "samples.fittings:1|c",
        "staleness.fittings:2|g",
        "samples_discarded.stale:2|c",
        "tokens_discarded.fittings:50|c",
    ]
