"""Runs one seed of the soak."""

import asyncio
import tempfile
from pathlib import Path

import attrs

from tests.soak.checks import check_end
from tests.soak.deployment import Deployment
from tests.soak.faults import FaultSeries
from tests.soak.workload import Workload

__all__ = ["SoakResult", "run_seed"]


@attrs.frozen
class SoakResult:
    """Result of one seed.

    Attributes
    ----------
    seed : int
        Seed of the faults and requests.
    violations : list of str
        Guarantees that were violated.
    history : list of str
        Faults that were injected, with their time.
    statuses : dict of str to int
        Number of responses by kind of request and status, as in ``lookup 200``.
    folder : Path
        Holds the logs of the gateways.
    """

    seed: int
    violations: list[str]
    history: list[str]
    statuses: dict[str, int]
    folder: Path


async def run_seed(seed: int, seconds: float, gateways: int = 3) -> SoakResult:
    """Run the deployment under the faults of a seed and check its guarantees."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    deployment = Deployment(folder, gateways)
    try:
        await deployment.start()
        workload = Workload(deployment, seed)
        faults = FaultSeries(deployment, seed)
        traffic = asyncio.create_task(workload.run(seconds))
        await faults.run(seconds)
        await traffic
        await check_end(deployment, workload)
        for task in list(workload.tasks):
            task.cancel()
        return SoakResult(seed, workload.violations, faults.history, workload.statuses, folder)
    finally:
        await deployment.stop()
