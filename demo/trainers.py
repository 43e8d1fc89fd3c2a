"""Trainers of the demo: they run lots and simulate learning while weights are published."""

import asyncio

import aiohttp
import attrs

from demo.deployments import Deployment, Trainer
from turmericreach.client import ApiConnection, TrainerClient
from turmericreach.lots import GroupSpec, LotSpec, Sample

__all__ = ["Delivery", "Publisher", "TrainerRun"]

LEARNING_DURATION_S = 0.3
MAX_SAMPLES = 64


@attrs.define
class Delivery:
    """A sample as delivered to a trainer.

    Attributes
    ----------
    sample : Sample
    trainer_version : int
        Weight version of the trainer when it requested the sample.
    """

    sample: Sample
    trainer_version: int


@attrs.define
class TrainerRun:
    """One trainer over the whole run.

    Attributes
    ----------
    idle_s : float
        Seconds in which the trainer waited for samples.
    busy_s : float
        Seconds in which the trainer learned.
    deliveries : list of Delivery
        Samples in order of delivery.
    expected : set of str
        Ids of the samples of all lots begun.
    steps : int
        Lots completed.
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

    async def run(self, urls: list[str], ends_at: float) -> None:
        """Run lots until an instant of the event loop's clock; a lot in progress is completed."""
        loop = asyncio.get_running_loop()
        async with ApiConnection(urls) as connection:
            client = TrainerClient(connection)
            while loop.time() < ends_at:
                await self.run_step(client, loop)

    async def run_step(self, client: TrainerClient, loop) -> None:
        """Run one lot until it is complete, then simulate learning from it."""
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
        await asyncio.sleep(LEARNING_DURATION_S)
        self.busy_s += LEARNING_DURATION_S

    def lot_spec(self) -> LotSpec:
        """Return the specification of the next lot."""
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
    """Uploads new weights to the weight store and announces their versions.

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
            await self.upload_weights(session, self.version)
            while True:
                await asyncio.sleep(interval_s)
                await self.upload_weights(session, self.version + 1)
                await client.announce(self.model, self.version + 1)
                self.version += 1

    async def upload_weights(self, session: aiohttp.ClientSession, version: int) -> None:
        """Upload the weights of a version to the weight store."""
        url = f"{self.weights_url}/weights/{self.model}/{version}"
        async with session.put(url, data=b"weights") as response:
            response.raise_for_status()
