"""Four trainers share four model workers, and the one of the last model is lost for good."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as stand  # noqa: E402

MODELS = ("alpha", "beta", "gamma", "delta")
# The model that is still trained at the end.
LAST = "delta"
ENGINES = ("e1", "e2", "e3", "e4")
TIME_LIMIT_S = 12.0
IDLE_S = 5.0


def config(version):
    """Return a configuration of the operator."""
    routes = [
        stand.route("roll", "/roll/", "rollout", "models", dueMs=7500, queueTtlS=40),
        stand.route("score", "/score/", "safe", "portal", timeoutMs=1500, maxAttempts=4),
    ]
    return stand.configuration(version, routes, ["models"], MODELS)


async def play(scene, trouble):
    """Play the case and return its exit code."""
    record = scene.record
    await scene.store.start()
    scene.store.put("config", "main", config(1))
    await scene.add_worker("p1", "portal")
    await scene.add_worker("p2", "portal")
    at_worker, finished, runs_at = {}, {}, {}
    named_at = began_at = 0.0

    def on_run(worker, item):
        nonlocal began_at
        began_at = time.monotonic()
        at_worker[item] = None
        runs_at.setdefault(item, []).append(worker.id)
        record.add(f"worker {worker.id}: runs {item}")

    def on_end(worker, item, whole):
        at_worker[item] = time.monotonic()
        finished[item] = whole or finished.get(item, False)
        record.add(f"worker {worker.id}: {'finished' if whole else 'dropped'} {item}")

    for name in ENGINES:
        worker = await scene.add_worker(
            name, "models", models=dict.fromkeys(MODELS, 1), events=20, event_s=0.1, slots=8
        )
        worker.on_run, worker.on_end = on_run, on_end
    for number in range(3):
        await scene.add_gateway(f"front-{number + 1}", f"127.0.0.{41 + number}", wait=False)
    for gateway in scene.gateways.values():
        await gateway.wait_ready()
    await asyncio.sleep(4.0)
    gateways = list(scene.gateways.values())

    def name_version(model, version):
        nonlocal named_at
        named_at = time.monotonic()
        scene.store.put("versions", model, {"model": model, "version": version})
        record.add(f"trainer of {model}: names version {version}")

    async def train(model, steps, door):
        """Step k is asked once version k is named, and allows k - 1 and newer."""
        for step in range(steps):
            lot = f"{MODELS.index(model) + 10:x}{step}00"
            document = stand.lot_document(lot, model, 4, 2, min_version=max(step - 1, 1), step=step)
            trainer = stand.Trainer(record, lot, document, door, gateways)
            if not await trainer.submit():
                raise RuntimeError("a batch job was not accepted")
            await trainer.read_until(time.monotonic() + TIME_LIMIT_S)
            await trainer.end()
            await asyncio.sleep(0.5)
            if step + 1 >= 2:
                name_version(model, step + 1)

    await asyncio.gather(
        *(train(model, 4, gateways[number % 3]) for number, model in enumerate(MODELS))
    )
    record.add(f"the training runs are over, but for that of {LAST}")
    await asyncio.sleep(3.0)

    lot = "d400"
    document = stand.lot_document(lot, LAST, 6, 4, min_version=3, step=4)
    trainer = stand.Trainer(record, lot, document, gateways[1], gateways)
    if not await trainer.submit():
        return 2
    limit = trainer.submitted_at + TIME_LIMIT_S
    items = [item["id"] for item in document["items"]]
    lost_worker = None
    settled_at = 0.0
    if trouble:
        await asyncio.sleep(1.0)
        at_work = {
            name: sum(item in scene.workers[name].running for item in items) for name in ENGINES
        }
        record.add(f"at work on {lot}: {at_work}")
        lost_worker = max(at_work, key=at_work.get)
        if sum(bool(count) for count in at_work.values()) != 1:
            record.add("not one worker alone runs the items of the batch job; the case needs that")
            return 2
        scene.workers[lost_worker].server.stop()
        record.add(f"worker {lost_worker}: lost for good")

        async def expire():
            nonlocal settled_at
            # Its entry goes after three status report intervals of silence.
            await asyncio.sleep(3.6)
            scene.store.remove("servers", lost_worker)
            settled_at = time.monotonic()
            record.add(f"store: entry of {lost_worker} is removed")

        expiry = asyncio.ensure_future(expire())
    await trainer.read_until(limit)
    now = time.monotonic()
    results = {result["id"] for result in trainer.listed}
    left = [name for name in ENGINES if name != lost_worker]
    busy = sum(len(scene.workers[name].running) for name in left)
    record.add(
        f"time limit of the step: {len(results)} of {len(items)} listed, {busy} at work at {left}, "
        f"last version named {now - named_at:.1f} s ago, last item began {now - began_at:.1f} s ago"
    )
    lost = []
    for name in items:
        if name in results or finished.get(name):
            continue
        if name in at_worker and at_worker[name] is None:
            continue
        # The time until the entry of the lost worker is gone is left out.
        since = max(at_worker.get(name) or trainer.accepted_at, settled_at)
        if now - since >= IDLE_S:
            lost.append(f"{name} ({now - since:.1f} s)")
    begun = any(name in at_worker for name in items)
    excused = busy >= 4 * len(left) or now - named_at < 6.0 or now - began_at < 3.0
    broken = bool(lost) and begun and not excused
    if trouble:
        await expiry
    if not broken:
        record.add("the rule held")
        return 0
    record.add(
        f"LOST broken: {len(lost)} items of lot {lot} were at no worker for 5 s and more when the "
        f"step ran out of time: {', '.join(lost)}"
    )
    # What becomes of them later is recorded only.
    await trainer.read_until(time.monotonic() + 20.0)
    record.add(f"20 s later: {len(trainer.listed)} of {len(items)} listed")
    return 1


stand.main(FOLDER, play, limit_s=115.0)
