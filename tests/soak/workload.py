"""Callers and trainers that check every answer they get."""

import asyncio
import json
import random

import attrs

from tests.builders.fleet_world import MODEL, configuration, item, submission
from tests.soak.deployment import EVENTS, Deployment
from turmericreach.http1 import ConnectFailed, ResponseIncomplete

__all__ = ["Workload"]

REQUEST_INTERVAL_S = 0.04
LOT_INTERVAL_S = 1.0
VERSION_INTERVAL_S = 2.5
CONFIGURATION_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 4.0
# Each of these promises that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
TRIES = 40
TRY_PAUSE_S = 0.25


@attrs.define
class Lot:
    """A lot as its trainer knows it.

    Attributes
    ----------
    accepted : bool
        Whether it was answered 202 once.
    refused_each_time : bool
        Whether each answer so far promised that it does not run.
    listed : list of dict
        Results by position, as first read.
    """

    name: str
    document: dict
    accepted: bool = False
    refused_each_time: bool = True
    ended: bool = False
    listed: list[dict] = attrs.field(factory=list)


class Workload:
    """Sends requests and lots while faults go on.

    Attributes
    ----------
    violations : list of str
        Promises that were seen broken.
    statuses : dict of str to int
        Answers by kind of request and status.
    """

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.world = deployment.world
        self.random = random.Random(seed)
        self.violations: list[str] = []
        self.statuses: dict[str, int] = {}
        self.orders: dict[str, int | None] = {}
        self.lots: list[Lot] = []
        self.tasks: set[asyncio.Task] = set()
        self.version = 1
        self.configuration_version = 1
        self.number = 0

    def broken(self, text: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{self.deployment.elapsed_s():6.2f} {text}")

    def gateway(self) -> str:
        """Return the address of a gateway."""
        return self.random.choice(self.deployment.programs).front

    async def run(self, seconds: float) -> None:
        """Send for a time and wait for the last answers."""
        loops = [
            self.every(REQUEST_INTERVAL_S, self.send_request),
            self.every(LOT_INTERVAL_S, self.start_lot),
            self.every(VERSION_INTERVAL_S, self.name_version),
            self.every(CONFIGURATION_INTERVAL_S, self.change_configuration),
        ]
        tasks = [asyncio.create_task(loop) for loop in loops]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    async def every(self, interval_s: float, function) -> None:
        """Call a function again and again, without waiting for its end."""
        while True:
            task = asyncio.create_task(function())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(interval_s)

    async def call(self, address, method, path, body=b"", attempt="", **fields):
        """Call a gateway; None for no answer."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self.world.call(address, method, path, body, attempt, **fields)
        except (ConnectFailed, ResponseIncomplete, TimeoutError):
            return None

    def count(self, kind: str, answer) -> int | None:
        """Count an answer and return its status."""
        status = None if answer is None else answer[0]
        key = f"{kind} {status}"
        self.statuses[key] = self.statuses.get(key, 0) + 1
        return status

    # Requests

    async def send_request(self) -> None:
        """Send a safe or an unsafe request."""
        self.number += 1
        attempt = f"r{self.number}"
        kind = self.random.choice(["lookup", "lookup", "order"])
        answer = await self.call(
            self.gateway(), "POST", f"/{kind}/{attempt}", b"x", attempt, X_Deadline_Ms="1500"
        )
        status = self.count(kind, answer)
        if kind == "order":
            self.orders[attempt] = status
        if status == 200 and not answer[2].endswith(f"answers {attempt}".encode()):
            self.broken(f"{attempt} got the answer of another request: {answer[2][:60]!r}")
        if status in (400, 404, 413, 431):
            self.broken(f"{attempt} was denied with {status}")

    # Trainers

    async def name_version(self) -> None:
        """Name the next version of the model."""
        self.version += 1
        self.world.store.put("versions", MODEL, {"model": MODEL, "version": self.version})

    async def change_configuration(self) -> None:
        """Write a configuration with another time-out."""
        self.configuration_version += 1
        config = configuration(self.configuration_version)
        config["routes"][0]["timeoutMs"] = self.random.randint(1500, 3000)
        self.world.store.put("config", "main", config)

    async def start_lot(self) -> None:
        """Submit a lot until it is accepted, then read it here and there."""
        name = f"lot{len(self.lots)}"
        items = [item(f"{name}i{n}", f"{name}g{n // 2}") for n in range(6)]
        lot = Lot(name, submission(items, min_version=max(self.version - 1, 0)))
        self.lots.append(lot)
        await self.submit(lot)
        while lot.accepted and len(lot.listed) < len(items):
            await self.read(lot, self.gateway())
            await asyncio.sleep(self.random.uniform(0.1, 0.4))

    async def submit(self, lot: Lot) -> None:
        """Submit a lot, again after each failure."""
        for _ in range(TRIES):
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    status = await self.world.submit(self.gateway(), lot.name, lot.document)
            except (ConnectFailed, ResponseIncomplete, TimeoutError):
                status = None
            self.count("lot", None if status is None else (status,))
            if status == 202:
                lot.accepted = True
                return
            if status not in PROMISES:
                lot.refused_each_time = False
            if status == 400:
                self.broken(f"{lot.name} was denied")
                return
            await asyncio.sleep(TRY_PAUSE_S)

    async def read(self, lot: Lot, address: str, after: int | None = None) -> bool:
        """Read a lot from a position and check what is listed; return whether it was answered."""
        after = self.random.randint(0, len(lot.listed)) if after is None else after
        known = len(lot.listed)
        answer = await self.call(address, "GET", f"/api/lots/{lot.name}?after={after}")
        status = self.count("read", answer)
        if status in (404, 410):
            self.broken(f"{lot.name} is accepted and was answered {status}")
        if status != 200:
            return False
        self.check_page(lot, after, known, answer[2])
        return True

    def check_page(self, lot: Lot, after: int, known: int, body: bytes) -> None:
        """Check that positions keep their results and items stand once."""
        page = json.loads(body)
        if page["total"] != len(lot.document["items"]):
            self.broken(f"{lot.name}: total {page['total']}")
        for offset, result in enumerate(page["results"]):
            position = after + offset
            if position < len(lot.listed):
                if lot.listed[position] != result:
                    self.broken(f"{lot.name}: position {position} has changed")
                continue
            if any(result["id"] == other["id"] for other in lot.listed):
                self.broken(f"{lot.name}: {result['id']} stands twice")
            lot.listed.append(result)
            self.check_result(lot, result)

    def check_result(self, lot: Lot, result: dict) -> None:
        """Check a result against what the engines generate."""
        if result["state"] != "completed":
            return
        expected = [f"{result['id']}-{number}" for number in range(1, EVENTS + 1)]
        if result["text"].split("\n") != expected:
            self.broken(f"{lot.name}: text of {result['id']}: {result['text']!r}")
        if any(version < lot.document["minVersion"] for version in result["versions"]):
            self.broken(f"{lot.name}: versions of {result['id']}: {result['versions']}")
        if result["score"] != f"stamp-s{result['id']}":
            self.broken(f"{lot.name}: score of {result['id']}: {result['score']}")
