"""Callers and trainers that check every response."""

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
# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
SUBMIT_ATTEMPTS = 40
SUBMIT_PAUSE_S = 0.25


@attrs.define
class Lot:
    """A lot as its trainer knows it.

    Attributes
    ----------
    accepted : bool
        Whether a submission got the status 202.
    always_rejected : bool
        Whether each response so far promised that the lot does not run.
    listed : list of dict
        Results by position, as first read.
    """

    name: str
    document: dict
    accepted: bool = False
    always_rejected: bool = True
    ended: bool = False
    listed: list[dict] = attrs.field(factory=list)


class Workload:
    """Sends requests and lots while faults are injected.

    Attributes
    ----------
    violations : list of str
        Guarantees that were violated, with the seconds since the start.
    statuses : dict of str to int
        Number of responses by kind of request and status.
    orders : dict of str to int or None
        Status of each unsafe request by attempt id, None without a response.
    version : int
        Latest announced version of the model.
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

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(f"{self.deployment.elapsed_s():6.2f} {text}")

    def gateway(self) -> str:
        """Return the address of a randomly selected gateway."""
        return self.random.choice(self.deployment.programs).caller_address

    async def run(self, seconds: float) -> None:
        """Start requests, lots and changes periodically for some seconds."""
        loops = [
            self.call_periodically(REQUEST_INTERVAL_S, self.send_request),
            self.call_periodically(LOT_INTERVAL_S, self.start_lot),
            self.call_periodically(VERSION_INTERVAL_S, self.announce_version),
            self.call_periodically(CONFIGURATION_INTERVAL_S, self.change_configuration),
        ]
        tasks = [asyncio.create_task(loop) for loop in loops]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    async def call_periodically(self, interval_s: float, function) -> None:
        """Start a coroutine function periodically, without waiting for its end."""
        while True:
            task = asyncio.create_task(function())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(interval_s)

    async def call(self, address, method, path, body=b"", attempt="", **fields):
        """Call a gateway; return None without a complete response."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self.world.call(address, method, path, body, attempt, **fields)
        except (ConnectFailed, ResponseIncomplete, TimeoutError):
            return None

    def count(self, kind: str, response) -> int | None:
        """Count a response and return its status."""
        status = None if response is None else response[0]
        key = f"{kind} {status}"
        self.statuses[key] = self.statuses.get(key, 0) + 1
        return status

    # Requests

    async def send_request(self) -> None:
        """Send a safe or an unsafe request."""
        self.number += 1
        attempt = f"r{self.number}"
        kind = self.random.choice(["lookup", "lookup", "order"])
        response = await self.call(
            self.gateway(), "POST", f"/{kind}/{attempt}", b"x", attempt, X_Deadline_Ms="1500"
        )
        status = self.count(kind, response)
        if kind == "order":
            self.orders[attempt] = status
        if status == 200 and not response[2].endswith(f"answers {attempt}".encode()):
            self.record_violation(
                f"{attempt} got the response of another request: {response[2][:60]!r}"
            )
        if status in (400, 404, 413, 431):
            self.record_violation(f"{attempt} was rejected with {status}")

    # Trainers

    async def announce_version(self) -> None:
        """Announce the next version of the model."""
        self.version += 1
        self.world.store.put("versions", MODEL, {"model": MODEL, "version": self.version})

    async def change_configuration(self) -> None:
        """Write a configuration with another timeout."""
        self.configuration_version += 1
        config = configuration(self.configuration_version)
        config["routes"][0]["timeoutMs"] = self.random.randint(1500, 3000)
        self.world.store.put("config", "main", config)

    async def start_lot(self) -> None:
        """Submit a lot until it is accepted, then read it at random gateways to its end."""
        name = f"lot{len(self.lots)}"
        items = [item(f"{name}i{n}", f"{name}g{n // 2}") for n in range(6)]
        lot = Lot(name, submission(items, min_version=max(self.version - 1, 0)))
        self.lots.append(lot)
        await self.submit(lot)
        while lot.accepted and len(lot.listed) < len(items):
            await self.read(lot, self.gateway())
            await asyncio.sleep(self.random.uniform(0.1, 0.4))

    async def submit(self, lot: Lot) -> None:
        """Submit a lot until it is accepted or denied as invalid."""
        for _ in range(SUBMIT_ATTEMPTS):
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    status = await self.world.submit(self.gateway(), lot.name, lot.document)
            except (ConnectFailed, ResponseIncomplete, TimeoutError):
                status = None
            self.count("lot", None if status is None else (status,))
            if status == 202:
                lot.accepted = True
                return
            if status not in NOT_RUN_STATUSES:
                lot.always_rejected = False
            if status == 400:
                self.record_violation(f"{lot.name} was rejected as invalid")
                return
            await asyncio.sleep(SUBMIT_PAUSE_S)

    async def read(self, lot: Lot, address: str, after: int | None = None) -> bool:
        """Read a lot from a position and check its results; return whether the status was 200."""
        after = self.random.randint(0, len(lot.listed)) if after is None else after
        known = len(lot.listed)
        response = await self.call(address, "GET", f"/api/lots/{lot.name}?after={after}")
        status = self.count("read", response)
        if status in (404, 410):
            self.record_violation(f"{lot.name} was accepted, but a read got {status}")
        if status != 200:
            return False
        self.check_page(lot, after, known, response[2])
        return True

    def check_page(self, lot: Lot, after: int, known: int, body: bytes) -> None:
        """Check that positions keep their results and that each item is listed once."""
        page = json.loads(body)
        if page["total"] != len(lot.document["items"]):
            self.record_violation(f"{lot.name}: total {page['total']}")
        for offset, result in enumerate(page["results"]):
            position = after + offset
            if position < len(lot.listed):
                if lot.listed[position] != result:
                    self.record_violation(f"{lot.name}: position {position} has changed")
                continue
            if any(result["id"] == other["id"] for other in lot.listed):
                self.record_violation(f"{lot.name}: {result['id']} is listed twice")
            lot.listed.append(result)
            self.check_result(lot, result)

    def check_result(self, lot: Lot, result: dict) -> None:
        """Check a result against what the engines generate."""
        if result["state"] != "completed":
            return
        expected = [f"{result['id']}-{number}" for number in range(1, EVENTS + 1)]
        if result["text"].split("\n") != expected:
            self.record_violation(f"{lot.name}: text of {result['id']}: {result['text']!r}")
        if any(version < lot.document["minVersion"] for version in result["versions"]):
            self.record_violation(f"{lot.name}: versions of {result['id']}: {result['versions']}")
        if result["score"] != f"stamp-s{result['id']}":
            self.record_violation(f"{lot.name}: score of {result['id']}: {result['score']}")
