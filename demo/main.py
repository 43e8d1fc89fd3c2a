"""The program ``python -m demo``."""

import asyncio
import shutil
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from demo.callers import CallerRun
from demo.checks import check_orders, check_samples, read_executions
from demo.deployments import DEPLOYMENTS
from demo.faults import FaultPlan, parse_fault
from demo.layout import IP, Layout, make_layout
from demo.processes import ProcessGroup
from demo.prompts import read_prompts
from demo.report import print_report
from demo.trainers import Publisher, TrainerRun

__all__ = ["app"]

FOLDER = Path("demo/run")
GROUPS = 8
SAMPLES_PER_GROUP = 4
CALLERS = 3
VERSIONS_PER_RUN = 5
FINISH_TIMEOUT_S = 90.0
APPLY_TIMEOUT_S = 30.0
MAX_SHOWN_VIOLATIONS = 20

app = cyclopts.App(name="demo", help="Run a whole deployment of real processes on this machine.")


@app.default
def main(
    *,
    deployment: Annotated[str, Parameter(help="silmalasi or qurum.")] = "silmalasi",
    seconds: Annotated[float, Parameter(help="Time in which new lots are begun.")] = 60.0,
    fault: Annotated[
        list[str] | None,
        Parameter(help="KIND:NAME@SECONDS; kinds are kill, stop, freeze, outage."),
    ] = None,
) -> int:
    """Run lots for two trainers beside ordinary requests and check the guarantees."""
    if deployment not in DEPLOYMENTS:
        print(f"demo: unknown deployment {deployment}, expected one of {sorted(DEPLOYMENTS)}")
        return 2
    shutil.rmtree(FOLDER, ignore_errors=True)
    layout = make_layout(DEPLOYMENTS[deployment], FOLDER)
    plan = FaultPlan([parse_fault(text) for text in fault or []])
    return asyncio.run(run(layout, seconds, plan))


async def run(layout: Layout, seconds: float, plan: FaultPlan) -> int:
    """Run the whole demo: start all processes, apply load, check, stop; return the exit code."""
    layout.write_settings()
    group = ProcessGroup(layout)
    violations = []
    codes = {}
    try:
        await group.start_platform()
        await group.start_daemons()
        await apply_manifest(layout)
        violations = await run_load(layout, group, seconds, plan)
    finally:
        codes = await group.stop_all()
    violations += [f"{name} ended with code {code}" for name, code in codes.items() if code != 0]
    for text in violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"FAULT: {text}")
    print(
        "demo failed"
        if violations
        else "demo passed: no sample lost, doubled, mislabelled or stale"
    )
    return 1 if violations else 0


async def apply_manifest(layout: Layout) -> None:
    """Apply the generated manifest with the command line tool, as a delivery pipeline does."""
    path = layout.write_manifest()
    arguments = ["manifest", "apply", str(path), "--generation", "0", "--wait"]
    arguments += ["--platform", f"http://{IP}:{layout.objects_port}"]
    for url in layout.urls:
        arguments += ["--gateway", url]
    async with asyncio.timeout(APPLY_TIMEOUT_S):
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "turmericreach.cli", *arguments
        )
        code = await process.wait()
    if code != 0:
        raise SystemExit(f"demo: manifest apply ended with code {code}")


async def run_load(
    layout: Layout, group: ProcessGroup, seconds: float, plan: FaultPlan
) -> list[str]:
    """Run trainers, callers and fault injection; return the violations."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    ends = started + seconds
    deployment = layout.deployment
    publisher = Publisher(deployment.model_service.model, f"http://{IP}:{layout.weights_port}")
    prompts = read_prompts()
    trainers = []
    for number, trainer in enumerate(deployment.trainers):
        chosen = [prompts[(number * GROUPS + item) % len(prompts)] for item in range(GROUPS)]
        trainers.append(TrainerRun(trainer, deployment, publisher, chosen, SAMPLES_PER_GROUP))
    callers = [CallerRun(deployment, layout.urls, seed) for seed in range(CALLERS)]
    background = [
        asyncio.ensure_future(publisher.run(layout.urls, seconds / VERSIONS_PER_RUN)),
        asyncio.ensure_future(plan.run(group, started)),
    ]
    violations = []
    try:
        async with asyncio.timeout(seconds + FINISH_TIMEOUT_S):
            await asyncio.gather(
                *(item.run(layout.urls, ends) for item in trainers),
                *(item.run(ends) for item in callers),
            )
    except TimeoutError:
        violations.append(f"lots were not complete {FINISH_TIMEOUT_S:.0f} s after the end")
    finally:
        for task in background:
            task.cancel()
        results = await asyncio.gather(*background, return_exceptions=True)
    violations += [repr(item) for item in results if isinstance(item, Exception)]
    records = [record for caller in callers for record in caller.records]
    print_report(trainers, records, loop.time() - started)
    violations += check_samples(trainers)
    violations += check_orders(records, await read_executions(layout))
    return violations
