"""Gateways of two builds on the platform, with one metadata store."""

import asyncio
import signal
from pathlib import Path

import attrs

from tests.builders.fleet_world import eventually
from tests.soak.checks import check_end
from tests.soak.deployment import Deployment, ProxiedProgram
from tests.soak.workload import Workload
from turmericreach.coordination.names import DUTY_NAME, OWN_KIND

__all__ = ["run_gateways"]

GATEWAYS = 3
RESTART_PAUSE_S = 0.2
STOP_TIMEOUT_S = 8.0
READY_TIMEOUT_S = 15.0
TAKEOVER_TIMEOUT_S = 15.0


@attrs.frozen
class Exchange:
    """The coordinator of one build is replaced by a process of the other build.

    Attributes
    ----------
    former, successor : str
        Builds before and after.
    number : signal.Signals
        SIGTERM for a handover, SIGKILL for a takeover.
    """

    former: str
    successor: str
    number: signal.Signals


# A handover and a takeover in each direction.
EXCHANGES = [
    Exchange("old", "new", signal.SIGTERM),
    Exchange("new", "old", signal.SIGKILL),
    Exchange("old", "new", signal.SIGKILL),
    Exchange("new", "old", signal.SIGTERM),
]


class MixedDeployment(Deployment):
    """Gateways of two builds.

    Attributes
    ----------
    builds : dict of str to Path
        Checkouts by name of the build.
    build_of : dict of str to str
        Name of the build that each gateway runs.
    """

    def __init__(self, folder: Path, gateways: int, builds: dict[str, Path]):
        super().__init__(folder, gateways)
        self.builds = builds
        self.build_of: dict[str, str] = {}

    async def add_program(self, host: str) -> None:
        """Add a gateway of the old build."""
        await super().add_program(host)
        self.set_build(self.programs[-1], "old")

    def set_build(self, program: ProxiedProgram, build: str) -> None:
        """Set the build that a gateway runs from its next start."""
        self.build_of[program.host] = build
        program.script = self.builds[build] / "deploy" / "turmericreach_node.py"

    async def replace(self, program: ProxiedProgram, build: str, number: signal.Signals) -> None:
        """Restart a gateway with a build and wait until it is ready."""
        self.set_build(program, build)
        await self.restart(program, number, RESTART_PAUSE_S, grace_s=STOP_TIMEOUT_S)
        await eventually(program.is_ready, READY_TIMEOUT_S)

    def coordinator(self) -> str:
        """Return the host of the coordinator."""
        return self.world.store.objects[OWN_KIND, DUTY_NAME]["spec"]["holder"]

    async def exchange(self, exchange: Exchange, step_s: float) -> None:
        """Replace all gateways by another build, the coordinator last."""
        holder = self.coordinator()
        others = [program for program in self.programs if program.host != holder]
        for program in others:
            await self.replace(program, exchange.successor, signal.SIGTERM)
        await asyncio.sleep(step_s)
        holder = self.coordinator()
        last = next(program for program in self.programs if program.host == holder)
        former = self.build_of[holder]
        self.set_build(last, exchange.successor)
        restart = asyncio.create_task(
            self.restart(last, exchange.number, TAKEOVER_TIMEOUT_S / 2, grace_s=STOP_TIMEOUT_S)
        )
        await eventually(lambda: self.coordinator() != holder, TAKEOVER_TIMEOUT_S)
        print(
            f"{exchange.number.name} of the coordinator {holder} ({former}): "
            f"{self.coordinator()} ({self.build_of[self.coordinator()]}) coordinates"
        )
        await restart
        await eventually(last.is_ready, READY_TIMEOUT_S)
        for program in self.programs:
            if self.build_of[program.host] != exchange.successor:
                await self.replace(program, exchange.successor, signal.SIGTERM)
        await asyncio.sleep(step_s)

    async def restart_all(self, build: str) -> None:
        """Kill all gateways and restart them with a build on the stored state."""
        for program in self.programs:
            self.set_build(program, build)
        await asyncio.gather(
            *(self.replace(program, build, signal.SIGKILL) for program in self.programs)
        )


async def run_gateways(
    builds: dict[str, Path], folder: Path, step_s: float, seed: int
) -> list[str]:
    """Run requests and lots while the builds replace each other; return violations."""
    deployment = MixedDeployment(folder, GATEWAYS, builds)
    try:
        await deployment.start()
        workload = Workload(deployment, seed)
        traffic = asyncio.create_task(workload.run(float("inf")))
        await asyncio.sleep(step_s)
        for exchange in EXCHANGES:
            await deployment.exchange(exchange, step_s)
        await deployment.restart_all("new")
        await asyncio.sleep(step_s)
        traffic.cancel()
        await check_end(deployment, workload)
        for task in list(workload.tasks):
            task.cancel()
        print(f"gateways: {len(workload.lots)} lots, {dict(sorted(workload.statuses.items()))}")
        print(f"events: {count_events(deployment)}")
        return workload.violations
    finally:
        await deployment.stop()


def count_events(deployment: MixedDeployment) -> dict[str, int]:
    """Count warnings, errors and moves of lots in the logs of the gateways."""
    counts: dict[str, int] = {}
    for program in deployment.programs:
        for line in program.events():
            name = line.get("event", "none")
            if line["level"] in ("warning", "error") or "batch" in name or "duty" in name:
                counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))
