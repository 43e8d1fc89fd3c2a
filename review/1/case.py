"""A worker's extra late response makes a gateway run an order that may not run twice again."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    TROUBLE,
    Channel,
    Deployment,
    Message,
    Worker,
    new_id,
    plain_service,
    response,
    route,
    run_case,
)

SEED = 7
GATEWAYS = 5
WORKERS = 3
# Largest dose of `garble` with "extra late" in the site file: share 0.6, x 0.03, for_s 5.
FAULTY_WORKERS = 1
FAULTY_SHARE = 0.03
FAULTY_S = 5.0
# The workers differ in speed; the fastest one is chosen first.
WORK_S = (0.02, 0.05, 0.05)
# The workers also serve other callers, who take all their places for a moment again and again.
ROUND_S = 0.1
OCCUPIED_S = 0.02


class FaultyWorker(Worker):
    """Sends an extra copy of some responses, just before the next response on the channel."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.random = random.Random(f"{SEED} {self.name}")
        self.faulty = False
        self.answers = 0
        self.extras = 0
        self.late: dict = {}

    async def handle(self, request: Message, reader, writer) -> bool:
        """Send a pending extra response, then serve the request."""
        late = self.late.pop(writer, None)
        if late is not None:
            self.record.add(f"{self.name} sends the extra response of {late[0]}")
            writer.write(late[1])
        return await super().handle(request, reader, writer)

    async def answer(self, request: Message, writer, status: int, extra: dict, body) -> None:
        """Send a response, and prepare an extra copy of some."""
        await super().answer(request, writer, status, extra, body)
        if not self.faulty:
            return
        self.answers += 1
        within_dose = self.extras + 1 <= FAULTY_SHARE * self.answers
        if within_dose and self.random.random() < 2 * FAULTY_SHARE:
            self.extras += 1
            copy = response(status, {**self.fields(request), **extra}, body)
            self.late[writer] = request.fields.get("x-attempt-id"), copy


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record = deployment.record
    for number in range(WORKERS):
        worker = FaultyWorker(f"i-desk{number}", "order-desk", deployment.store, record)
        worker.work_s = WORK_S[number]
        await worker.listen()
        worker.enlist()
        deployment.workers.append(worker)
    deployment.configure(
        1, [route("orders", "unsafe", "order-desk")], [plain_service("order-desk")]
    )
    await deployment.start_gateways(GATEWAYS)
    await asyncio.sleep(1.0)

    answers: dict[str, int | None] = {}
    channels: dict[str, Channel] = {}

    async def order(gateway) -> None:
        attempt = new_id()
        fields = {"Host": "desk.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"}
        record.add(f"sent to {gateway.name}: POST /orders/new {attempt}")
        if gateway.name not in channels:
            channels[gateway.name] = await Channel.open(gateway.front)
        answer = await channels[gateway.name].request("POST", "/orders/new", fields, b"gel")
        if answer is None or answer.fields.get("connection") == "close":
            channels.pop(gateway.name).close()
        answers[attempt] = None if answer is None else answer.status
        record.add(f"answered by {gateway.name}: {answers[attempt]} {attempt}")

    for worker in deployment.workers[:FAULTY_WORKERS]:
        worker.faulty = TROUBLE
    until = time.monotonic() + FAULTY_S
    while time.monotonic() < until:
        for worker in deployment.workers:
            worker.occupied_until = time.monotonic() + OCCUPIED_S
        pause = asyncio.create_task(asyncio.sleep(ROUND_S))
        await asyncio.gather(*(order(gateway) for gateway in deployment.gateways))
        await pause
    for worker in deployment.workers:
        worker.faulty = False
    await asyncio.sleep(0.5)

    breaches = []
    for attempt, status in answers.items():
        runs = [
            worker.name
            for worker in deployment.workers
            for _, run, _ in worker.runs
            if run == attempt
        ]
        if len(runs) > 1:
            breaches.append(f"TWICE: {attempt} ran at {', '.join(runs)}; answered {status}")
        if runs and status in (429, 503, 408, 421):
            breaches.append(f"REFUSED: {attempt} was answered {status} and ran at {runs[0]}")
    for worker in deployment.workers[:FAULTY_WORKERS]:
        record.add(f"{worker.name}: {worker.extras} extra responses to {worker.answers}")
    record.add(f"{len(answers)} orders")
    return breaches


run_case(str(Path(__file__).resolve().parent), case)
