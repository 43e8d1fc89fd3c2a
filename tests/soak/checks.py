"""What must hold once the faults are over."""

import asyncio
import base64

from tests.builders.fleet_world import MODEL, eventually
from tests.soak.deployment import Deployment
from tests.soak.workload import PROMISES, Workload

__all__ = ["check_end"]

RECOVER_S = 12.0


async def check_end(deployment: Deployment, workload: Workload) -> None:
    """Check lots, orders and versions; broken promises are added to the workload's."""
    await wait_for_recovery(deployment, workload)
    await check_lots(deployment, workload)
    check_orders(deployment, workload)
    check_fences(deployment, workload)
    await check_versions(deployment, workload)


async def wait_for_recovery(deployment: Deployment, workload: Workload) -> None:
    """Wait until all gateways are ready again."""
    for program in deployment.programs:
        try:
            await eventually(program.is_ready, RECOVER_S)
        except TimeoutError:
            workload.broken(f"{program.host} is not ready {RECOVER_S} s after the last fault")


async def check_lots(deployment: Deployment, workload: Workload) -> None:
    """Check that each accepted lot is whole, the same at all gateways, and has its bodies."""
    ends_at = asyncio.get_running_loop().time() + RECOVER_S
    for lot in workload.lots:
        if not lot.accepted:
            continue
        total = len(lot.document["items"])
        while len(lot.listed) < total and asyncio.get_running_loop().time() < ends_at:
            await workload.read(lot, workload.gateway(), len(lot.listed))
            await asyncio.sleep(0.05)
        if len(lot.listed) < total:
            workload.broken(f"{lot.name}: {len(lot.listed)} of {total} items are listed")
            continue
        for program in deployment.programs:
            if not await workload.read(lot, program.front, 0):
                workload.broken(f"{lot.name} cannot be read at {program.host}")
        await check_body(workload, lot)


async def check_body(workload: Workload, lot) -> None:
    """Check the body of one item."""
    wanted = lot.document["items"][0]
    answer = await workload.call(
        workload.gateway(), "GET", f"/api/items/{lot.name}?id={wanted['id']}"
    )
    if answer is None or answer[2] != base64.b64decode(wanted["body"]):
        status = None if answer is None else answer[0]
        workload.broken(f"{lot.name}: body of {wanted['id']} answered {status}")


def check_orders(deployment: Deployment, workload: Workload) -> None:
    """Check that unsafe requests ran once at most, and not at all after a promise."""
    runs: dict[str, int] = {}
    item_runs: set[str] = set()
    for target in deployment.all_targets():
        for attempt, _, _ in target.runs:
            runs[attempt] = runs.get(attempt, 0) + 1
            item_runs.add(attempt)
    for attempt, status in workload.orders.items():
        if runs.get(attempt, 0) > 1:
            workload.broken(f"{attempt} ran {runs[attempt]} times")
        if status in PROMISES and runs.get(attempt, 0):
            workload.broken(f"{attempt} ran and was answered {status}")
    for lot in workload.lots:
        if lot.accepted or not lot.refused_each_time:
            continue
        if any(item["id"] in item_runs for item in lot.document["items"]):
            workload.broken(f"{lot.name} was refused each time and ran")


def check_fences(deployment: Deployment, workload: Workload) -> None:
    """Check that no two holders used one fencing number, and that versions only rose."""
    holders: dict[int, str] = {}
    for target in deployment.all_targets():
        versions = [order["version"] for order in target.orders]
        if versions != sorted(versions):
            workload.broken(f"{target.id} was ordered to {versions}")
        for order in target.orders:
            holder = holders.setdefault(order["fence"], order["holder"])
            if holder != order["holder"]:
                workload.broken(f"{holder} and {order['holder']} used {order['fence']}")


async def check_versions(deployment: Deployment, workload: Workload) -> None:
    """Check that all engines reach the newest version."""

    def current():
        engines = [target for target in deployment.world.targets.values() if target.models]
        return all(target.models[MODEL] == workload.version for target in engines)

    try:
        await eventually(current, RECOVER_S)
    except TimeoutError:
        versions = {name: target.models for name, target in deployment.world.targets.items()}
        workload.broken(f"engines have {versions}, named is {workload.version}")
