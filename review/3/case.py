"""A stream without end makes a gateway exceed its memory; the platform kills it."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    TROUBLE,
    Channel,
    Deployment,
    Engine,
    Gateway,
    Message,
    Trainer,
    Worker,
    engine_service,
    new_id,
    plain_service,
    rollout_route,
    route,
    run_case,
)

GATEWAYS = 3
ENGINES = 3
JOBS = 5
GROUPS = 13
CONSUMERS_PER_GATEWAY = 8
ORDER_WORK_S = 0.19
EVENT_S = 0.003
# Dose of `garble` in the site file: share 0.35, x 0.02, for_s 5.5.
ENDLESS_SHARE = 0.02
ENDLESS_S = 5.5
# The longest items of the site have 99 events of 58 tokens.
MAX_OUTPUT_TOKENS = 5800
EVENT_BYTES = 60_000
EVENTS_AT_ONCE = 5
# Below the link of a gateway, which has 1,000 Mbit/s.
BYTES_PER_S = 100_000_000
PLAY_S = 25.0
MEMORY_CHECK_S = 0.05
RESTART_S = 0.5
ALLOWED = 3


class EndlessEngine(Engine):
    """Never ends a share of its streams; it sends until the caller closes, or its trouble ends."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.endless_until = 0.0
        self.answers = 0
        self.endless: list[str] = []

    async def run(self, request: Message, reader, writer) -> bool:
        """Send the events of a request, or events without end."""
        if self.record.now() >= self.endless_until:
            return await super().run(request, reader, writer)
        self.answers += 1
        if len(self.endless) + 1 > ENDLESS_SHARE * self.answers:
            return await super().run(request, reader, writer)
        attempt = request.fields["x-attempt-id"]
        self.endless.append(attempt)
        self.record.add(f"{self.name} sends events without end to {attempt}, {self.answers}th")
        writer.write(self.stream_head(request))
        began, sent, number = time.monotonic(), 0, 0
        while not writer.transport.is_closing() and self.record.now() < self.endless_until:
            for _ in range(EVENTS_AT_ONCE):
                number += 1
                data = b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                sent += len(data)
            await writer.drain()
            await asyncio.sleep(max(began + sent / BYTES_PER_S - time.monotonic(), 0.0))
        self.record.add(f"{self.name}: the response to {attempt} is given up after {sent} bytes")
        return False


def resident_bytes(gateway: Gateway) -> int:
    """Return the memory that a gateway uses."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{gateway.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record, store = deployment.record, deployment.store
    desks = [Worker(f"i-desk{number}", "order-desk", store, record) for number in range(3)]
    for desk in desks:
        desk.work_s, desk.slots = ORDER_WORK_S, 24
    engines = [
        EndlessEngine(f"i-llm{number}", "palette-llm", store, record) for number in range(ENGINES)
    ]
    for engine in engines:
        engine.event_s = EVENT_S
    for worker in (*desks, *engines):
        await worker.listen()
        worker.enlist()
        deployment.workers.append(worker)
    orders = route("orders", "safe", "order-desk", maxAttempts=1)
    stock = route("stock", "safe", "order-desk")
    deployment.configure(
        1,
        [rollout_route("rollout", "palette-llm"), orders, stock],
        [engine_service("palette-llm"), plain_service("order-desk")],
    )
    await deployment.start_gateways(GATEWAYS)
    await asyncio.sleep(3.0)
    began = record.now()
    lost: dict[str, list[str]] = {gateway.name: [] for gateway in deployment.gateways}
    kills: list[str] = []
    peak: dict[str, int] = {}

    async def limit_memory(gateway: Gateway) -> None:
        """Kill a gateway that uses more than its memory, and start it again, as the platform."""
        limit = gateway.settings["limits"]["memoryMb"] << 20
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            used = resident_bytes(gateway)
            peak[gateway.name] = max(peak.get(gateway.name, 0), used)
            if used > limit:
                record.add(f"{gateway.name} uses {used >> 20} MB and is killed")
                kills.append(gateway.name)
                gateway.process.kill()
                await gateway.process.wait()
                await asyncio.sleep(RESTART_S)
                await gateway.start()

    async def consume(gateway: Gateway) -> None:
        """Send requests on a channel that is kept."""
        channel, served = None, 0
        while record.now() < began + PLAY_S:
            attempt = new_id()
            fields = {"Host": "desk.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"}
            try:
                if channel is None:
                    channel, served = await Channel.open(gateway.front), 0
            except OSError:
                await asyncio.sleep(0.2)
                continue
            answer = await channel.request("GET", "/orders/a", fields)
            if answer is not None:
                served += 1
                continue
            channel.close()
            channel = None
            passed_on = any(run == attempt for desk in desks for _, run, _ in desk.runs)
            if served and passed_on:
                record.add(f"{gateway.name} closed the channel of {attempt} without an answer")
                lost[gateway.name].append(attempt)

    tasks = [asyncio.create_task(limit_memory(gateway)) for gateway in deployment.gateways]
    consumers = [
        asyncio.create_task(consume(gateway))
        for gateway in deployment.gateways
        for _ in range(CONSUMERS_PER_GATEWAY)
    ]
    await asyncio.sleep(1.0)
    if TROUBLE:
        engines[0].endless_until = record.now() + ENDLESS_S
    trainers = []
    for number in range(JOBS):
        trainer = Trainer(deployment.gateways[number % GATEWAYS], record, GROUPS, "/stock/score")
        for item in trainer.body["items"]:
            item["headers"]["X-Token-Counts"] = f"1016,{MAX_OUTPUT_TOKENS}"
            item["tokens"] = 1016 + MAX_OUTPUT_TOKENS
        trainers.append(trainer)
    await asyncio.gather(*(trainer.submit("/rollout/new") for trainer in trainers))
    await asyncio.gather(*(trainer.read_until(began + PLAY_S) for trainer in trainers))
    await asyncio.gather(*consumers)
    for task in tasks:
        task.cancel()
    for name, used in sorted(peak.items()):
        record.add(f"{name}: at most {used >> 20} MB")
    for engine in engines:
        record.add(f"{engine.name}: {len(engine.endless)} of {engine.answers} without end")
    if TROUBLE and not engines[0].endless:
        raise RuntimeError("no response without end was due")
    breaches = []
    for name, attempts in lost.items():
        if len(attempts) > ALLOWED:
            breaches.append(
                f"LOST: {name} passed {len(attempts)} requests from kept channels on to sound"
                f" workers and closed the channels without an answer; it was killed over its"
                f" memory: {name in kills}"
            )
    return breaches


run_case(str(Path(__file__).resolve().parent), case)
