"""A small deployment of real processes over loopback."""

import asyncio
import contextlib
import signal

import msgspec

from demo.deployments import Deployment, ModelService, PlainService, Trainer
from demo.layout import make_layout
from demo.processes import ProcessGroup
from turmericreach.client import ApiConnection, TrainerClient
from turmericreach.httpclient import open_session
from turmericreach.lots import Cursor, GroupSpec, LotSpec
from turmericreach.lots.scheduling import sampling_seed
from turmericreach.manifest import apply_manifest, load_manifest
from turmericreach.objectstore import HttpObjectStore
from turmericreach_standins.engine import versions_of_text

SMALL = Deployment(
    name="small",
    region="r",
    data_centres=["a", "b"],
    link_delay_s=0.0,
    model_service=ModelService("palette", "palette", [300.0, 300.0]),
    plain_service=PlainService("ordering", 2, ["POST /orders"]),
    trainers=[Trainer("palettes", "short", 60, 1)],
    weighting=0.5,
    time_zone="Asia/Muscat",
)
START_S = 20.0
MAX_CANDIDATES = 60
ORDER_DEADLINE_MS = 2000


class RunningDeployment:
    """The processes of a deployment and calls to them."""

    def __init__(self, layout):
        self.layout = layout
        self.group = ProcessGroup(layout)
        self.daemons = {daemon.name: daemon for daemon in layout.daemons}
        self.targets = {target.name: target for target in layout.targets}
        self.session = open_session(reuse=False)

    async def start(self, **platform_faults):
        await self.group.start_platform()
        self.layout.write_settings()
        await self.group.start_daemons()
        if platform_faults:
            await self.set_faults("objects", **platform_faults)
        manifest = load_manifest(self.layout.write_manifest().read_text(), "manifest.yaml")
        store = HttpObjectStore(f"http://127.0.0.1:{self.layout.objects_port}", "", 2.0)
        self.revision = await apply_manifest(store, manifest, 0, "test")
        await store.close()
        await self.wait_until(self.all_live)

    async def all_live(self):
        for url in self.layout.urls:
            _, targets = await self.call("GET", f"{url}/v1/targets")
            if len(targets) < len(self.targets) or any(t["state"] != "live" for t in targets):
                return False
        return True

    async def wait_until(self, check, seconds=START_S):
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(OSError, ValueError):
                    if await check():
                        return
                await asyncio.sleep(0.1)

    async def call(self, method, url, body=None, headers=None):
        """Return status and decoded body; raise `OSError` without a complete response."""
        try:
            async with asyncio.timeout(15.0):
                async with self.session.request(
                    method, url, data=body, headers=headers
                ) as response:
                    return response.status, msgspec.json.decode(await response.read() or b"{}")
        except Exception as error:
            if isinstance(error, msgspec.DecodeError):
                raise ValueError(str(error)) from error
            raise OSError(f"{method} {url}: {error!r}") from error

    def port_of(self, name):
        return self.layout.objects_port if name == "objects" else self.targets[name].port

    async def set_faults(self, name, **faults):
        url = f"http://127.0.0.1:{self.port_of(name)}/standin/faults"
        await self.call("POST", url, msgspec.json.encode(faults))

    async def executions(self):
        """Return the executions by request id that the targets of the plain service counted."""
        counts = {}
        for target in self.targets.values():
            if target.service != "ordering":
                continue
            url = f"http://127.0.0.1:{target.port}/standin/record"
            _, record = await self.call("GET", url)
            for request_id, count in record["executions"].items():
                counts[request_id] = counts.get(request_id, 0) + count
        return counts

    def signal(self, name, number):
        self.group.running[name].send_signal(number)

    async def restart(self, name):
        if name in self.daemons:
            await self.group.start_daemon(self.daemons[name])
        else:
            await self.group.start_target(self.targets[name])

    async def announce(self, version, model="palette"):
        """Upload a weight version to the weight store and announce it."""
        weights = f"http://127.0.0.1:{self.layout.weights_port}/weights/{model}/{version}"
        await self.call("PUT", weights, b"weights")
        async with ApiConnection(self.layout.urls) as connection:
            await TrainerClient(connection).announce(model, version)

    async def order(self, gateway, number, key="", deadline_ms=ORDER_DEADLINE_MS):
        """Place an order; return its verdict, or None if no complete response arrived."""
        headers = {
            "Turmericreach-Request-Id": f"order-{number}",
            "Turmericreach-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["Idempotency-Key"] = key
        url = f"{self.layout.urls[gateway]}/services/ordering/orders"
        try:
            status, reply = await self.call("POST", url, b"{}", headers)
        except OSError:
            return None
        return "answered" if status == 200 else reply["error"]["verdict"]


@contextlib.asynccontextmanager
async def running(folder, **platform_faults):
    """Start a small deployment and kill its processes at the end."""
    deployment = RunningDeployment(make_layout(SMALL, folder))
    try:
        await deployment.start(**platform_faults)
        yield deployment
    finally:
        await deployment.session.close()
        for process in deployment.group.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()


def small_lot(name="lot-1", groups=12, **changes):
    values = {
        "name": name,
        "trainer": "palettes",
        "service": "palette",
        "model": "palette",
        "groups": [GroupSpec(f"cue notes {name} {number}") for number in range(groups)],
        "samples_per_group": 4,
        "staleness_bound": 1,
        "max_tokens": 100,
        "deadline_s": 20.0,
    }
    return LotSpec(**(values | changes))


class TrainerRecord:
    """A trainer that checks and keeps each sample that it receives.

    Attributes
    ----------
    samples : list of Sample
        The received samples in the order of arrival.
    version : int
        Version that the trainer states with the next pull.
    arrived : asyncio.Condition
        Notified after each pull.
    pulling : asyncio.Event
        Cleared while the trainer must not pull.
    """

    def __init__(self, urls, spec):
        self.urls = urls
        self.spec = spec
        self.samples = []
        self.version = 0
        self.cursor = Cursor(spec.size)
        self.arrived = asyncio.Condition()
        self.pulling = asyncio.Event()
        self.pulling.set()

    async def run(self):
        async with ApiConnection(self.urls) as connection:
            client = TrainerClient(connection)
            run = await client.run(self.spec, self.version)
            while not run.done:
                await self.pulling.wait()
                run.trainer_version = self.version
                for sample in await run.pull(8, 2.0):
                    self.check(sample, run.trainer_version)
                    self.samples.append(sample)
                async with self.arrived:
                    self.arrived.notify_all()

    def check(self, sample, trainer_version):
        """Check a sample's staleness and that its segments state the versions that generated it."""
        label = [item.version for item in sample.segments for _ in range(item.tokens)]
        assert label == self.generated_versions(sample)
        assert trainer_version - min(label) <= self.spec.staleness_bound

    def generated_versions(self, sample):
        ordinal = self.spec.ordinal(sample.group, sample.index)
        prompt = self.spec.groups[sample.group].prompt
        for candidate in range(MAX_CANDIDATES):
            with contextlib.suppress(ValueError):
                seed = sampling_seed(self.spec, ordinal, candidate)
                return versions_of_text(sample.text, prompt, seed)
        raise AssertionError(f"{sample.id} was generated by no candidate")

    async def wait_for(self, count):
        async with self.arrived, asyncio.timeout(30.0):
            await self.arrived.wait_for(lambda: len(self.samples) >= count)

    def assert_exactly_once(self):
        ids = sorted(sample.id for sample in self.samples)
        assert ids == sorted(self.spec.sample_id(number) for number in range(self.spec.size))
