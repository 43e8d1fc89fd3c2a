"""Trainers of the demo: they run lots, learn for a moment and publish new weights."""

import asyncio

import aiohttp
import attrs

from demo.deployments import Deployment, Trainer
from turmericreach.client import ApiConnection, TrainerClient
from turmericreach.lots import GroupSpec, LotSpec, Sample

__all__ = ["Delivery", "Publisher", "TrainerRun"]

LEARN_S = 0.3
MAX_SAMPLES = 64


@attrs.define
class Delivery:
    """A sample as a trainer got it.

    Attributes
    ----------
    trainer_version : int
        Version of the trainer when it asked for the sample.
    """

    sample: Sample
    trainer_version: int


@attrs.define
class TrainerRun:
    """One trainer over the whole run.

    Attributes
    ----------
    idle_s : float
        Time in which the trainer had nothing to learn from.
    busy_s : float
        Time in which it learned.
    """

    trainer: Trainer
    deployment: Deployment
    publisher: "Publisher"
    prompts: list[str]
    samples_per_group: int
    deliveries: list[Delivery] = attrs.field(factory=list)
    expected: set[str] = attrs.field(factory=set)
    idle_s: float = 0.0
    busy_s: float = 0.0
    steps: int = 0

    async def run(self, urls: list[str], ends: float) -> None:
        """Run lots until the time is over; a lot that was begun is finished."""
        loop = asyncio.get_running_loop()
        async with ApiConnection(urls) as connection:
            client = TrainerClient(connection)
            while loop.time() < ends:
                await self.step(client, loop)

    async def step(self, client: TrainerClient, loop) -> None:
        """Collect one lot and learn from it."""
        spec = self.lot_spec()
        for ordinal in range(spec.size):
            self.expected.add(spec.sample_id(ordinal))
        started = loop.time()
        run = await client.run(spec, self.publisher.version)
        while not run.done:
            run.trainer_version = self.publisher.version
            for sample in await run.pull(MAX_SAMPLES, wait_s=2.0):
                self.deliveries.append(Delivery(sample, run.trainer_version))
        await run.acknowledge()
        self.idle_s += loop.time() - started
        self.steps += 1
        await asyncio.sleep(LEARN_S)
        self.busy_s += LEARN_S

    def lot_spec(self) -> LotSpec:
        """Return the next lot."""
        service = self.deployment.model_service
        return LotSpec(
            name=f"{self.trainer.name}-{self.steps}",
            trainer=self.trainer.name,
            service=service.name,
            model=service.model,
            groups=[GroupSpec(prompt) for prompt in self.prompts],
            samples_per_group=self.samples_per_group,
            staleness_bound=self.trainer.staleness_bound,
            max_tokens=self.trainer.max_tokens,
            kind=self.trainer.kind,
            scoring_service="scoring",
            scoring_path="/score",
            deadline_s=60.0,
            seed=self.steps,
        )


@attrs.define
class Publisher:
    """Puts new weights into the store and announces them.

    Attributes
    ----------
    version : int
        Newest announced version.
    """

    model: str
    weights_url: str
    version: int = 1
    spread_s: list[float] = attrs.field(factory=list)

    async def run(self, urls: list[str], interval_s: float) -> None:
        """Publish a version every `interval_s` seconds."""
        async with ApiConnection(urls) as connection, aiohttp.ClientSession() as session:
            client = TrainerClient(connection)
            await self.put(session, self.version)
            while True:
                await asyncio.sleep(interval_s)
                await self.put(session, self.version + 1)
                await client.announce(self.model, self.version + 1)
                self.version += 1

    async def put(self, session: aiohttp.ClientSession, version: int) -> None:
        """Put the weights of a version into the store."""
        url = f"{self.weights_url}/weights/{self.model}/{version}"
        async with session.put(url, data=b"weights") as response:
            response.raise_for_status()
