"""Checks of the guarantees after the last fault."""

import asyncio
import base64

from tests.builders.fleet_world import MODEL, eventually
from tests.soak.deployment import Deployment
from tests.soak.workload import NOT_RUN_STATUSES, Workload

__all__ = ["check_end"]

RECOVER_S = 12.0


async def check_end(deployment: Deployment, workload: Workload) -> None:
    """Check lots, orders, fencing tokens and versions; record violations in the workload."""
    await wait_for_recovery(deployment, workload)
    await check_lots(deployment, workload)
    check_orders(deployment, workload)
    check_fencing_tokens(deployment, workload)
    await check_versions(deployment, workload)


async def wait_for_recovery(deployment: Deployment, workload: Workload) -> None:
    """Wait until all gateways are ready again."""
    for program in deployment.programs:
        try:
            await eventually(program.is_ready, RECOVER_S)
        except TimeoutError:
            workload.record_violation(
                f"{program.host} is not ready {RECOVER_S} s after the last fault"
            )


async def check_lots(deployment: Deployment, workload: Workload) -> None:
    """Check that each accepted lot is complete, equal at all gateways, and keeps its bodies."""
    ends_at = asyncio.get_running_loop().time() + RECOVER_S
    for lot in workload.lots:
        if not lot.accepted:
            continue
        total = len(lot.document["items"])
        while len(lot.listed) < total and asyncio.get_running_loop().time() < ends_at:
            await workload.read(lot, workload.gateway(), len(lot.listed))
            await asyncio.sleep(0.05)
        if len(lot.listed) < total:
            workload.record_violation(f"{lot.name}: {len(lot.listed)} of {total} items are listed")
            continue
        for program in deployment.programs:
            if not await workload.read(lot, program.caller_address, 0):
                workload.record_violation(f"{lot.name} cannot be read at {program.host}")
        await check_body(workload, lot)


async def check_body(workload: Workload, lot) -> None:
    """Check that the body of a lot's first item can be read."""
    wanted = lot.document["items"][0]
    response = await workload.call(
        workload.gateway(), "GET", f"/api/items/{lot.name}?id={wanted['id']}"
    )
    if response is None or response[2] != base64.b64decode(wanted["body"]):
        status = None if response is None else response[0]
        workload.record_violation(f"{lot.name}: body of {wanted['id']}: status {status}")


def check_orders(deployment: Deployment, workload: Workload) -> None:
    """Check that unsafe requests ran at most once, and never if the status promised so."""
    runs: dict[str, int] = {}
    item_runs: set[str] = set()
    for target in deployment.all_targets():
        for attempt, _, _ in target.runs:
            runs[attempt] = runs.get(attempt, 0) + 1
            item_runs.add(attempt)
    for attempt, status in workload.orders.items():
        if runs.get(attempt, 0) > 1:
            workload.record_violation(f"{attempt} ran {runs[attempt]} times")
        if status in NOT_RUN_STATUSES and runs.get(attempt, 0):
            workload.record_violation(f"{attempt} ran although its status was {status}")
    for lot in workload.lots:
        if lot.accepted or not lot.always_rejected:
            continue
        if any(item["id"] in item_runs for item in lot.document["items"]):
            workload.record_violation(f"{lot.name} was rejected each time and ran")


def check_fencing_tokens(deployment: Deployment, workload: Workload) -> None:
    """Check that no two holders used the same fencing token, and that versions only rose."""
    holders: dict[int, str] = {}
    for target in deployment.all_targets():
        versions = [order["version"] for order in target.orders]
        if versions != sorted(versions):
            workload.record_violation(f"{target.id} was ordered to {versions}")
        for order in target.orders:
            holder = holders.setdefault(order["fence"], order["holder"])
            if holder != order["holder"]:
                workload.record_violation(
                    f"{holder} and {order['holder']} used fencing token {order['fence']}"
                )


async def check_versions(deployment: Deployment, workload: Workload) -> None:
    """Check that all engines reach the latest announced version."""

    def current():
        engines = [target for target in deployment.world.targets.values() if target.models]
        return all(target.models[MODEL] == workload.version for target in engines)

    try:
        await eventually(current, RECOVER_S)
    except TimeoutError:
        versions = {name: target.models for name, target in deployment.world.targets.items()}
        workload.record_violation(f"engines have {versions}, announced is {workload.version}")
