"""A gateway that the store turns away passes a lot on to another one; both others are killed.

One of them has stored the lot. The check is that a lot whose every attempt was answered 503 (or
429, 408, 421) does not run.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1]), str(FOLDER.parent)]

from standins_2 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Client,
    Engine,
    GatewayProcess,
    Scorer,
    Store,
    configuration,
    eventually,
    item,
    run_case,
    submission,
)

MODEL = "model-a"
LOT = "lot-1"
ITEMS = 8
EVENTS = 20
# The site file turns machines away for 9 s.
TURNED_AWAY_S = 9.0
# Time for which a killed machine is down: the default of `for_s`.
DOWN_S = 5.0
# Time limit of a trainer, and its retries.
TIME_LIMIT_S = 12.0
RETRIES = 1
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Ingress:
    """Sends each new channel to a gateway in rotation, by the ready check."""

    def __init__(self, client, gateways):
        self.client = client
        self.gateways = gateways
        self.misses = dict.fromkeys((gateway.node for gateway in gateways), 0)

    async def poll(self) -> None:
        """Ask each gateway once a second whether it is ready."""
        while True:
            for gateway in self.gateways:
                ready = await self.client.is_ready(gateway)
                self.misses[gateway.node] = 0 if ready else self.misses[gateway.node] + 1
            await asyncio.sleep(1.0)

    def choose(self):
        """Return the gateway of the trainer's zone, which has one, or another one in rotation."""
        for gateway in self.gateways:
            if self.misses[gateway.node] < 2:
                return gateway
        return self.gateways[0]


async def case(record, folder, processes) -> int:
    """Run the case."""
    names = [f"item-{number}" for number in range(ITEMS)]
    texts = {name: [f"{name} {number}" for number in range(EVENTS)] for name in names}
    store = Store(record)
    store.put("config", "main", configuration([MODEL]))
    await Engine(store, record, "engine-0", 8, 0.02, texts, {MODEL: 1}).start()
    await Scorer(store, record, "scorer-0").start()
    gateways = []
    zones = dict.fromkeys("abc", "r")
    for number, zone in enumerate(zones):
        node = f"front-{zone}-1"
        address = await store.address_for(node)
        ip = f"127.0.9.{number + 1}"
        gateways.append(GatewayProcess(address, node, ip, folder, zone=zone, zones=zones))
    processes += gateways
    for gateway in gateways:
        gateway.start()
    client = Client(record)
    for gateway in gateways:
        if not await eventually(lambda gateway=gateway: client.is_ready(gateway), 15.0):
            return NOT_RUN
    first, *others = gateways
    await asyncio.sleep(4.0)
    ingress = Ingress(client, gateways)
    polling = asyncio.create_task(ingress.poll())
    returning: list[asyncio.Task] = []

    async def bring_back() -> None:
        for gateway in others:
            await gateway.wait_end()
        await asyncio.sleep(DOWN_S)
        for gateway in others:
            gateway.start()
            record.add(f"{gateway.node} was started again")

    def on_write(gateway: str, request) -> bool:
        """Kill the process that has just stored the lot, and another one at the same moment."""
        if request.method != "POST" or LOT.encode() not in request.body or returning:
            return True
        record.add(f"the store has created the lot for {gateway}; two gateways are killed")
        for killed in others:
            killed.signal(signal.SIGKILL)
        returning.append(asyncio.create_task(bring_back()))
        return False

    if TROUBLE:
        store.on_write = on_write
        store.turned_away.add(first.node)
        record.add(f"the store turns {first.node} away")
        asyncio.get_running_loop().call_later(
            TURNED_AWAY_S, lambda: store.turned_away.discard(first.node)
        )
        # Another consumer reads a lot that does not exist.
        await client.call(first.caller_address, "GET", "/api/lots/lot-0", timeout_s=0.4)
        await asyncio.sleep(0.2)
    body = submission(MODEL, [item(name, MODEL, "g0", 640, 640) for name in names])
    began = time.monotonic()
    statuses = []
    for attempt in range(1 + RETRIES):
        gateway = ingress.choose()
        left_s = TIME_LIMIT_S - (time.monotonic() - began)
        record.add(f"attempt {attempt + 1}: {LOT} is sent to {gateway.node}")
        status, headers, _ = await client.call(
            gateway.caller_address, "POST", f"/rollout/{LOT}", body, LOT, left_s
        )
        statuses.append(status)
        record.add(f"attempt {attempt + 1} was answered {status or 'not at all'}")
        left_s = TIME_LIMIT_S - (time.monotonic() - began)
        if status == 202 or left_s <= 0:
            break
        retry_s = 0.0 if headers is None else float(headers.get("retry-after", "0"))
        await asyncio.sleep(min(retry_s, left_s / 3))
    await asyncio.sleep(12.0)
    polling.cancel()
    runs = [line for line in (FOLDER / "record.txt").read_text().splitlines() if " runs " in line]
    record.add(f"the attempts were answered {statuses}; engines ran items {len(runs)} times")
    if TROUBLE and not returning:
        return NOT_RUN
    if not TROUBLE and (statuses != [202] or not runs):
        return NOT_RUN
    refused = all(status in NOT_RUN_STATUSES for status in statuses)
    return BROKEN if refused and runs else HELD


if __name__ == "__main__":
    run_case(case, FOLDER)
