"""Costs of the in-memory parts: routing, lots, weights and configuration."""

import random
import time
import tracemalloc
import zlib

from turmericreach.lots import (
    Cursor,
    EngineState,
    EngineView,
    GroupSpec,
    LotCoordinator,
    LotSpec,
    RolloutResult,
)
from turmericreach.manifest import decode_manifest, encode_manifest
from turmericreach.manifest.schema import (
    DataCentre,
    Manifest,
    ModelSpec,
    Policy,
    ServiceKind,
    ServiceSpec,
    TargetSpec,
)
from turmericreach.routing import ChoiceRequest, LoadReport, RoutingTable
from turmericreach.verdicts import Segment
from turmericreach.weights import RolloutPlanner, TargetProgress, WantedVersion

__all__ = ["measure_configuration", "measure_lot", "measure_routing", "measure_weights"]

CHOICES = 2000
SAMPLES_PER_GROUP = 8
LOT_ROUNDS = 200
RESULTS_PER_ROUND = 4
LOT_SLOTS = 64
DOWNLOAD_DURATION_S = 1.0
PLAN_INTERVAL_S = 0.5
STATUS_LAG_S = (0.5, 2.5)
MAX_SPREAD_S = 600.0


def make_manifest(targets):
    """Return a manifest with a number of engines in six data centres."""
    return Manifest(
        schema=1,
        deployment="capacity",
        data_centres=[DataCentre(f"dc-{number}", f"region-{number % 2}") for number in range(6)],
        services=[ServiceSpec("model", ServiceKind.MODEL, "m")],
        targets=[
            TargetSpec(
                f"engine-{number}",
                "model",
                f"dc-{number % 6}",
                f"http://10.0.{number // 200}.{number % 200}:8000",
                f"10.0.{number // 200}.{number % 200}:7000",
                8,
                100.0,
            )
            for number in range(targets)
        ],
        models=[ModelSpec("m")],
    )


def measure_routing(targets):
    """Return the CPU time of a target selection and of a report, and the table's memory."""
    manifest = make_manifest(targets)
    tracemalloc.start()
    table = RoutingTable("dc-0", "region-0", rng=random.Random(1))
    table.configure(manifest.services, manifest.targets, manifest.data_centres)
    began = time.process_time()
    for spec in manifest.targets:
        table.apply_report(LoadReport(spec.name, "live", 1, 3, 0, 8, 0.0), 0.0)
    report_s = (time.process_time() - began) / targets
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.process_time()
    for number in range(CHOICES):
        table.choose(ChoiceRequest("model", expected_tokens=100), number / 1000)
    choice_s = (time.process_time() - began) / CHOICES
    return {
        "targets": targets,
        "choice_us": 1e6 * choice_s,
        "report_us": 1e6 * report_s,
        "table_kb": memory / 1e3,
    }


def measure_lot(samples):
    """Return the lot coordinator's CPU time per sample and its memory for a lot size."""
    spec = LotSpec(
        name="lot",
        trainer="t",
        service="model",
        model="m",
        groups=[GroupSpec(f"prompt {number}") for number in range(samples // SAMPLES_PER_GROUP)],
        samples_per_group=SAMPLES_PER_GROUP,
        staleness_bound=4,
    )
    tracemalloc.start()
    lot = LotCoordinator(spec, Policy(), Cursor(spec.size), random.Random(1))
    empty, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    now, finished, running = 0.0, 0, []
    lot_cpu = 0.0
    for _ in range(LOT_ROUNDS):
        now += 0.1
        began = time.process_time()
        view = EngineView([EngineState("e", 1, LOT_SLOTS - len(running), 100.0)])
        running += lot.next_tasks(now, 1, LOT_SLOTS - len(running), view)
        for task in running[:RESULTS_PER_ROUND]:
            result = RolloutResult("text" * 100, 100, [Segment(1, 100)], engine="e")
            lot.on_result(task.task_id, result, now)
        finished += min(RESULTS_PER_ROUND, len(running))
        del running[:RESULTS_PER_ROUND]
        lot_cpu += time.process_time() - began
    began = time.process_time()
    pulled = lot.pull(Cursor(spec.size), 1, 256, now)
    pull_s = time.process_time() - began
    return {
        "samples": samples,
        "cpu_us_a_sample": 1e6 * lot_cpu / finished,
        "pull_ms": 1e3 * pull_s,
        "pulled": len(pulled.samples),
        "empty_lot_kb": empty / 1e3,
    }


def measure_configuration(targets):
    """Return the size of a manifest and the CPU time to decode and apply it."""
    manifest = make_manifest(targets)
    data = encode_manifest(manifest)
    began = time.process_time()
    decoded = decode_manifest(data)
    decode_s = time.process_time() - began
    table = RoutingTable("dc-0", "region-0")
    began = time.process_time()
    table.configure(decoded.services, decoded.targets, decoded.data_centres)
    configure_s = time.process_time() - began
    return {
        "targets": targets,
        "manifest_kb": len(data) / 1e3,
        "compressed_kb": len(zlib.compress(data, 1)) / 1e3,
        "decode_ms": 1e3 * decode_s,
        "configure_ms": 1e3 * configure_s,
    }


def measure_weights(targets, concurrency, seed=1):
    """Return the simulated seconds until all targets have prepared a weight version.

    A download takes one second. The target's status reaches the planner 0.5 to 2.5 s later, since
    it passes through reports once a second and digests between data centres.
    """
    rng = random.Random(seed)
    model = ModelSpec("m", prepare_concurrency=concurrency, prepared_share=1.0)
    planner = RolloutPlanner(model)
    planner.raise_wanted(WantedVersion("m", 2), 0.0)
    known_at = {}
    now, cpu_s, steps = 0.0, 0.0, 0
    while now < MAX_SPREAD_S:
        rows = [
            TargetProgress(name, 2 if known_at.get(name, now + 1) <= now else 1, 1)
            for name in (f"engine-{number}" for number in range(targets))
        ]
        began = time.process_time()
        plan = planner.plan(rows, now)
        cpu_s += time.process_time() - began
        steps += 1
        if plan.activate is not None and all(row.prepared == 2 for row in rows):
            break
        for grant in plan.grants:
            if grant.target not in known_at:
                known_at[grant.target] = now + DOWNLOAD_DURATION_S + rng.uniform(*STATUS_LAG_S)
        now += PLAN_INTERVAL_S
    return {
        "targets": targets,
        "concurrency": concurrency,
        "seconds_until_all_hold_it": now,
        "plan_ms": 1e3 * cpu_s / steps,
        "finished": now < MAX_SPREAD_S,
    }
