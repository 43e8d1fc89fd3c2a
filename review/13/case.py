"""A batch job is accepted, then its route moves to another service and the old worker leaves."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as stand  # noqa: E402

MODEL = "fitting"
TIME_LIMIT_S = 12.0
IDLE_S = 5.0


def config(version, service):
    """Return a configuration of the operator that routes the batch jobs to a service."""
    routes = [
        stand.route("roll", "/roll/", "rollout", service, dueMs=7500, queueTtlS=40),
        stand.route("score", "/score/", "safe", "portal", timeoutMs=1500, maxAttempts=4),
    ]
    return stand.configuration(version, routes, ["models-a", "models-b"], [MODEL])


async def play(scene, trouble):
    """Play the case and return its exit code."""
    record = scene.record
    await scene.store.start()
    scene.store.put("config", "main", config(1, "models-a"))
    record.add("operator: configuration 1, route roll to models-a")
    await scene.add_worker("p1", "portal")
    await scene.add_worker("p2", "portal")
    options = {"models": {MODEL: 1}, "events": 20, "event_s": 0.1, "slots": 8}
    old = await scene.add_worker("a1", "models-a", **options)
    new = [await scene.add_worker(name, "models-b", **options) for name in ("b1", "b2")]
    at_worker, finished = {}, {}
    for worker in (old, *new):
        worker.on_run = lambda worker, item: (
            at_worker.__setitem__(item, None),
            record.add(f"worker {worker.id}: runs {item}"),
        )
        worker.on_end = lambda worker, item, whole: (
            at_worker.__setitem__(item, time.monotonic()),
            finished.__setitem__(item, whole or finished.get(item, False)),
            record.add(f"worker {worker.id}: {'finished' if whole else 'dropped'} {item}"),
        )
    for number in range(3):
        await scene.add_gateway(f"front-{number + 1}", f"127.0.0.{11 + number}", wait=False)
    for gateway in scene.gateways.values():
        await gateway.wait_ready()
    await asyncio.sleep(4.0)

    gateways = list(scene.gateways.values())
    lot = "1a00"
    trainer = stand.Trainer(
        record, lot, stand.lot_document(lot, MODEL, 6, 4), gateways[0], gateways[1:]
    )
    if not await trainer.submit():
        return 2
    limit = trainer.submitted_at + TIME_LIMIT_S

    async def operator():
        await asyncio.sleep(1.0)
        scene.store.put("config", "main", config(2, "models-b"))
        record.add("operator: configuration 2, route roll to models-b (acknowledged)")
        await asyncio.sleep(2.0)
        await old.leave()

    async def other_trainer():
        """Submit a batch job under configuration 2, which shows that models-b serves."""
        await asyncio.sleep(6.0)
        second = stand.Trainer(
            record, "1b00", stand.lot_document("1b00", MODEL, 1, 4), gateways[1], gateways
        )
        await second.submit()
        await second.read_until(time.monotonic() + 8.0)

    tasks = [asyncio.ensure_future(operator())] if trouble else []
    tasks.append(asyncio.ensure_future(other_trainer()))
    await trainer.read_until(limit)
    now = time.monotonic()
    results = {result["id"]: result for result in trainer.listed}
    busy = {worker.id: len(worker.running) for worker in new}
    record.add(f"time limit of the step: {len(results)} of 24 listed; at work at models-b: {busy}")
    lost = []
    for item in trainer.document["items"]:
        name = item["id"]
        if name in results or finished.get(name):
            continue
        if name in at_worker and at_worker[name] is None:
            continue
        since = at_worker.get(name) or trainer.accepted_at
        if now - since >= IDLE_S:
            lost.append(f"{name} ({now - since:.1f} s)")
    await asyncio.gather(*tasks, return_exceptions=True)
    half = sum(worker.slots for worker in new) / 2
    begun = len(at_worker) > 0
    broken = bool(lost) and begun and sum(busy.values()) < half
    if broken:
        record.add(
            f"LOST broken: {len(lost)} items of lot {lot} were at no worker for 5 s and more when "
            f"the step ran out of time: {', '.join(lost)}"
        )
        # What becomes of them later is recorded only.
        await trainer.read_until(time.monotonic() + 10.0)
        record.add(f"10 s later: {len(trainer.listed)} of 24 listed")
    else:
        record.add("the rule held")
    return 1 if broken else 0


stand.main(FOLDER, play)
