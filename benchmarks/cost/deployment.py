"""A small deployment of real processes: one gateway and one agent."""

import asyncio
import contextlib
import sys
from pathlib import Path

import attrs
import psutil
import yaml

from demo.deployments import DEPLOYMENTS
from demo.layout import IP, DaemonPlace, Layout, TargetPlace, free_ports
from demo.processes import ProcessGroup

__all__ = ["CostDeployment", "running_deployment"]

ENGINE_SLOTS = 256
TOKENS_PER_S = 400.0
APPLY_TIMEOUT_S = 60.0
SETTLE_DELAY_S = 3.0


@attrs.define
class CostDeployment:
    """The running processes.

    Attributes
    ----------
    layout : Layout
    group : ProcessGroup
    gateway_url, portal_url, engine_url : str
        URLs of the gateway and, for direct calls, of the stand-ins.
    """

    layout: Layout
    group: ProcessGroup

    @property
    def gateway_url(self):
        """URL of the gateway."""
        return self.layout.urls[0]

    @property
    def portal_url(self):
        """URL of the service stand-in."""
        return f"http://{IP}:{self.layout.targets[1].port}"

    @property
    def engine_url(self):
        """URL of the engine stand-in."""
        return f"http://{IP}:{self.layout.targets[0].port}"

    def cpu_s(self, name):
        """Return the CPU seconds that a process has used."""
        times = psutil.Process(self.group.running[name].pid).cpu_times()
        return times.user + times.system

    def memory_mb(self, name):
        """Return the resident memory of a process in MB."""
        return psutil.Process(self.group.running[name].pid).memory_info().rss / 1e6


def make_small_layout(folder):
    """Lay out one gateway and one agent with an engine, a plain service and a scoring service.

    Daemons and callers connect without the demo's links, whose delay would mask the cost.
    """
    deployment = DEPLOYMENTS["silmalasi"]
    ports = iter(free_ports(8))
    centre = deployment.data_centres[0]
    model = deployment.model_service.name
    plain = deployment.plain_service.name
    targets = [
        TargetPlace("engine-1", model, centre, next(ports), True, TOKENS_PER_S),
        TargetPlace("portal-1", plain, centre, next(ports), False),
        TargetPlace("scoring-1", "scoring", centre, next(ports), False),
    ]
    gateway_port, http_port, agent_port = next(ports), next(ports), next(ports)
    daemons = [
        DaemonPlace(
            "gateway-1",
            "gateway",
            centre,
            rpc_port=gateway_port,
            link_port=gateway_port,
            http_port=http_port,
            caller_port=http_port,
        ),
        DaemonPlace(
            "agent-1",
            "agent",
            centre,
            rpc_port=agent_port,
            link_port=agent_port,
            targets=targets,
        ),
    ]
    return Layout(deployment, folder, next(ports), next(ports), targets[2], daemons)


def write_manifest(layout):
    """Write the manifest, with enough slots for the load of an entry host."""
    manifest = layout.manifest()
    for target in manifest["targets"]:
        target["slots"] = ENGINE_SLOTS
    path = layout.folder / "manifest.yaml"
    path.write_text(yaml.safe_dump(manifest, sort_keys=False))
    return path


async def run_command(*arguments):
    """Run a turmericreach command; raises `RuntimeError` with its output if it fails."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "turmericreach.cli",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    if process.returncode != 0:
        raise RuntimeError(f"{arguments[0]} {arguments[1]}: {output.decode()}")


async def start_engine(group, layout, target):
    """Start the engine stand-in with many slots and no slowdown under load."""
    await group.start_standin(
        target.name,
        "engine",
        target.port,
        "--slots",
        str(ENGINE_SLOTS),
        "--tokens-per-s",
        str(TOKENS_PER_S),
        "--batch-slowdown",
        "0",
        "--weight-store",
        f"http://{IP}:{layout.weights_port}",
        "--model",
        layout.deployment.model_service.model,
        "--tick-s",
        "0.02",
    )


@contextlib.asynccontextmanager
async def running_deployment(folder: Path):
    """Context manager: start the processes, apply the manifest, and stop them on exit."""
    layout = make_small_layout(folder)
    layout.write_settings()
    group = ProcessGroup(layout)
    try:
        await group.start_standin("objects", "objects", layout.objects_port)
        await group.start_standin("weightstore", "weightstore", layout.weights_port)
        await start_engine(group, layout, layout.targets[0])
        await group.start_target(layout.targets[1])
        await group.start_target(layout.targets[2])
        await group.start_daemons()
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            await run_command(
                "manifest",
                "apply",
                str(write_manifest(layout)),
                "--generation",
                "0",
                "--platform",
                f"http://{IP}:{layout.objects_port}",
                "--wait",
                "--gateway",
                layout.urls[0],
            )
        await asyncio.sleep(SETTLE_DELAY_S)
        yield CostDeployment(layout, group)
    finally:
        await group.stop_all()
