"""Two gateways of three are stopped at once, and the balancer goes on to use all of the zone.

The check is that no request that a stopping gateway has passed on to a worker ends with a closed
channel.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1]), str(FOLDER.parent)]

from standins_2 import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    TROUBLE,
    Client,
    GatewayProcess,
    Store,
    Worker,
    configuration,
    eventually,
    run_case,
)

GATEWAYS = 3
STOPPED_AT_ONCE = 2
GRACE_S = 8.0
# Requests a second of all consumers of the zone, and the work of each at its worker.
REQUESTS_PER_S = 24.0
WORK_S = 1.0
TIME_LIMIT_S = 5.0
# Cut requests that were sent up to this long after SIGTERM may be excused.
EXCUSED_S = 3.0
POLL_S = 1.0
MISSES = 2


class Orders(Worker):
    """A worker that takes orders, which may not run twice."""

    def __init__(self, store, record, name):
        super().__init__(store, record, name, "orders", 200)
        self.runs: dict[str, str] = {}

    async def run(self, request, responder, attempt) -> None:
        """Run an order."""
        self.runs[attempt] = self.id
        await asyncio.sleep(WORK_S)
        responder.send(200, self.fields(attempt), b"done")


class Balancer:
    """The platform's balancer for the consumers of one zone."""

    def __init__(self, client, gateways):
        self.client = client
        self.gateways = gateways
        self.misses = dict.fromkeys(gateways, 0)

    async def poll(self) -> None:
        """Ask each gateway once a second whether it is ready."""
        while True:
            for gateway in self.gateways:
                ready = await self.client.is_ready(gateway)
                self.misses[gateway] = 0 if ready else self.misses[gateway] + 1
            await asyncio.sleep(POLL_S)

    def choose(self, consumer: int):
        """Return the gateway of a new channel of a consumer."""
        usable = [gateway for gateway in self.gateways if self.misses[gateway] < MISSES]
        if 2 * len(usable) < len(self.gateways):
            usable = self.gateways
        return usable[consumer % len(usable)]


class Traffic:
    """Consumers that send orders, each on a new channel.

    Attributes
    ----------
    sent : list of tuple
        Attempt, gateway, time of sending, time of the end and status of each order; the status is
        0 if the channel ended without a whole answer.
    """

    def __init__(self, record, client, balancer):
        self.record = record
        self.client = client
        self.balancer = balancer
        self.sent: list[tuple] = []
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send orders until cancelled."""
        source = random.Random(10)
        number = 0
        while True:
            await asyncio.sleep(source.expovariate(REQUESTS_PER_S))
            number += 1
            task = asyncio.create_task(self.send(f"order-{number}", source.randrange(1000)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send(self, attempt: str, consumer: int) -> None:
        """Send one order."""
        gateway = self.balancer.choose(consumer)
        began = time.monotonic()
        status, _, _ = await self.client.call(
            gateway.caller_address,
            "POST",
            "/order/1",
            b"order",
            attempt,
            TIME_LIMIT_S + 1.0,
            X_Deadline_Ms=str(int(TIME_LIMIT_S * 1000)),
        )
        self.sent.append((attempt, gateway, began, time.monotonic(), status))


async def case(record, folder, processes) -> int:
    """Run the case."""
    config = configuration([])
    route = {"name": "order", "host": HOST, "pathPrefix": "/order/", "kind": "unsafe"}
    limits = {"timeoutMs": 10000, "goalMs": 2000, "priority": 1, "maxAttempts": 2}
    config["routes"].append({**route, **limits, "service": "orders"})
    config["services"].append({"name": "orders", "healthPath": "/health", "maxConns": 400})
    store = Store(record)
    store.put("config", "main", config)
    workers = [Orders(store, record, f"orders-{number}") for number in range(2)]
    for worker in workers:
        await worker.start()
    gateways = []
    for number in range(GATEWAYS):
        node = f"front-a-{number + 1}"
        address = await store.address_for(node)
        gateways.append(GatewayProcess(address, node, f"127.0.10.{number + 1}", folder))
    processes += gateways
    for gateway in gateways:
        gateway.start()
    client = Client(record)
    for gateway in gateways:
        if not await eventually(lambda gateway=gateway: client.is_ready(gateway), 15.0):
            return NOT_RUN
    balancer = Balancer(client, gateways)
    traffic = Traffic(record, client, balancer)
    tasks = [asyncio.create_task(balancer.poll()), asyncio.create_task(traffic.run())]
    await asyncio.sleep(5.0)
    stopped = gateways[:STOPPED_AT_ONCE] if TROUBLE else []
    stopped_at = time.monotonic()
    ends = []
    for gateway in stopped:
        record.add(f"{gateway.node} gets SIGTERM")
        gateway.signal(signal.SIGTERM)
        ends.append(asyncio.create_task(end(gateway, stopped_at, record)))
    await asyncio.sleep(GRACE_S + 3.0)
    tasks[1].cancel()
    await asyncio.gather(*traffic.tasks, *ends)
    tasks[0].cancel()
    runs = {attempt: name for worker in workers for attempt, name in worker.runs.items()}
    cut = 0
    statuses: dict[int, int] = {}
    for attempt, gateway, began, ended, status in traffic.sent:
        statuses[status] = statuses.get(status, 0) + 1
        if status:
            continue
        after_s = began - stopped_at
        text = f"{attempt} of {gateway.node}, sent {after_s:.2f} s after SIGTERM, ended after "
        text += f"{ended - began:.2f} s without an answer; ran at {runs.get(attempt, 'no worker')}"
        record.add(text)
        in_window = EXCUSED_S < after_s <= GRACE_S + 1.0
        if attempt in runs and in_window and ended - began < TIME_LIMIT_S:
            cut += 1
    record.add(f"answers by status (0: none): {statuses}")
    record.add(f"{cut} orders that were passed on to a worker were cut")
    if not TROUBLE and set(statuses) != {200}:
        return NOT_RUN
    return BROKEN if cut else HELD


async def end(gateway, stopped_at: float, record) -> None:
    """Wait until a gateway has ended, kill it after its grace period, and start it again."""
    try:
        async with asyncio.timeout(stopped_at + GRACE_S - time.monotonic()):
            await gateway.wait_end()
    except TimeoutError:
        record.add(f"{gateway.node} gets SIGKILL")
        await gateway.end()
    record.add(f"{gateway.node} ended {time.monotonic() - stopped_at:.2f} s after SIGTERM")
    await asyncio.sleep(0.5)
    gateway.start()


if __name__ == "__main__":
    run_case(case, FOLDER)
