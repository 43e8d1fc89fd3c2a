"""One spoiled byte in the head of a response leaves an item of a batch job unserved for ever."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    TROUBLE,
    Deployment,
    Engine,
    Message,
    Trainer,
    Worker,
    engine_service,
    plain_service,
    rollout_route,
    route,
    run_case,
)

GATEWAYS = 3
ENGINES = 3
JOBS = 5
GROUPS = 13
# Dose of `garble` in the site file: share 0.35, x 0.02, for_s 5.5.
SPOILED_SHARE = 0.02
SPOILED_S = 3.5
# Steady state is counted from this long after the last spoiled response (`contactMs`).
CONTACT_S = 3.0
TIME_LIMIT_S = 12.0
AT_NO_WORKER_S = 5.0


class SpoilingEngine(Engine):
    """Spoils one byte of the head of a share of its responses, and breaks these off."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.spoils_until = 0.0
        self.answers = 0
        self.spoiled: list[str] = []
        self.spoiled_at = 0.0

    async def run(self, request: Message, reader, writer) -> bool:
        """Send the events of a request, or a spoiled head and no more."""
        if self.record.now() >= self.spoils_until:
            return await super().run(request, reader, writer)
        self.answers += 1
        if len(self.spoiled) + 1 > SPOILED_SHARE * self.answers:
            return await super().run(request, reader, writer)
        attempt = request.fields["x-attempt-id"]
        self.spoiled.append(attempt)
        self.spoiled_at = self.record.now()
        self.record.add(f"{self.name} spoils its response to {attempt}, number {self.answers}")
        head = self.stream_head(request)
        # One bit of one byte: the version "2" turns into 0xB2.
        place = head.index(b"X-Weight-Versions: ") + len(b"X-Weight-Versions: ")
        writer.write(head[:place] + bytes([head[place] | 0x80]) + head[place + 1 :])
        await writer.drain()
        await asyncio.sleep(0.02)
        return False


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record, store = deployment.record, deployment.store
    desk = Worker("i-desk0", "order-desk", store, record, slots=24)
    engines = [
        SpoilingEngine(f"i-llm{number}", "palette-llm", store, record) for number in range(ENGINES)
    ]
    # A trainer has named version 2 before, and the engines have it.
    store.put("versions", "m0", spec={"model": "m0", "version": 2})
    for worker in (desk, *engines):
        worker.version = 2
        await worker.listen()
        worker.enlist()
        deployment.workers.append(worker)
    deployment.configure(
        1,
        [rollout_route("rollout", "palette-llm"), route("stock", "safe", "order-desk")],
        [engine_service("palette-llm"), plain_service("order-desk")],
    )
    await deployment.start_gateways(GATEWAYS)
    await asyncio.sleep(2.0)

    began = record.now()
    if TROUBLE:
        engines[0].spoils_until = began + SPOILED_S
    trainers = [
        Trainer(deployment.gateways[number % GATEWAYS], record, GROUPS, "/stock/score")
        for number in range(JOBS)
    ]
    statuses = await asyncio.gather(*(trainer.submit("/rollout/new") for trainer in trainers))
    if any(status != 202 for status in statuses):
        raise RuntimeError(f"batch jobs were answered {statuses}")
    limit = began + TIME_LIMIT_S
    taken: list[tuple[float, int]] = []

    async def watch_places() -> None:
        """Record how many places of the engines are taken."""
        while True:
            taken.append((record.now(), sum(engine.active for engine in engines)))
            await asyncio.sleep(0.1)

    watching = asyncio.create_task(watch_places())
    await asyncio.gather(*(trainer.read_until(limit) for trainer in trainers))
    watching.cancel()
    record.add("the trainers' time limit" if record.now() >= limit else "all results are read")

    if TROUBLE and not engines[0].spoiled:
        raise RuntimeError("no spoiled response was due")
    # The excuses of the rule: steady state, workers under half full, others of the step had begun.
    # No version is named during the case, and there is one model.
    steady_from = max(engines[0].spoiled_at, began) + CONTACT_S
    places = sum(engine.slots for engine in engines)
    most = max((count for at, count in taken if at >= steady_from), default=0)
    record.add(f"in steady state at most {most} of {places} places of the engines were taken")
    begun = {attempt for engine in engines for _, attempt, _ in engine.runs}
    breaches = []
    for trainer in trainers:
        for item in trainer.items:
            if item in trainer.results or any(item in engine.finished for engine in engines):
                continue
            runs = [at for engine in engines for at, attempt, _ in engine.runs if attempt == item]
            last = max(runs, default=began)
            idle_s = limit - max(last, steady_from)
            others = any(other in begun for other in trainer.items if other != item)
            if idle_s > AT_NO_WORKER_S and others and most < places / 2:
                breaches.append(
                    f"LOST: the step {trainer.lot} ran out of time; its item {item}, which no"
                    f" worker has finished or failed, had been at no worker for {idle_s:.1f} s of"
                    f" steady state ({limit - last:.1f} s in all)"
                )
    await asyncio.gather(*(trainer.end() for trainer in trainers))
    for engine in engines:
        record.add(f"{engine.name}: {len(engine.spoiled)} of {engine.answers} responses spoiled")
    return breaches


run_case(str(Path(__file__).resolve().parent), case)
