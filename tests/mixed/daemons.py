"""Daemons of two builds in one deployment of the demo."""

import asyncio
import json
import os
import sys
from pathlib import Path

from demo.deployments import DEPLOYMENTS
from demo.layout import IP, DaemonPlace, Layout, make_layout
from demo.main import apply_manifest, run_load
from demo.processes import ProcessGroup, wait_for_port

__all__ = ["run_daemons"]

# Pause between two restarts, as a fraction of a step.
PAUSE_SHARE = 0.3
RESTARTS = 4


class MixedGroup(ProcessGroup):
    """Processes of a run whose daemons belong to two builds.

    Attributes
    ----------
    build_of : dict of str to str
        Build that each daemon runs, "old" if not listed.
    """

    def __init__(self, layout: Layout, builds: dict[str, Path]):
        super().__init__(layout)
        self.builds = builds
        self.build_of: dict[str, str] = {}

    async def start_daemon(self, daemon: DaemonPlace) -> None:
        """Start a daemon from the checkout of its build."""
        checkout = self.builds[self.build_of.get(daemon.name, "old")]
        settings = str(self.layout.settings_file(daemon))
        with open(self.layout.folder / f"{daemon.name}.log", "ab") as log:  # noqa: ASYNC230
            self.running[daemon.name] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "turmericreach.daemon", settings),
                env={**os.environ, "PYTHONPATH": str(checkout)},
                cwd=checkout,
                stdout=log,
                stderr=log,
            )


class Replacements:
    """Replaces the daemons one by one while the load runs.

    Attributes
    ----------
    done : bool
        Whether all steps were run.
    problems : list of str
        Daemons that did not stop cleanly.
    """

    def __init__(self, pause_s: float):
        self.pause_s = pause_s
        self.done = False
        self.problems: list[str] = []

    async def run(self, group: MixedGroup, started: float) -> None:
        """Replace all daemons by the new build, then the old one, then the new one again."""
        daemons = group.layout.daemons
        for build, order in (("new", daemons), ("old", daemons[::-1]), ("new", daemons)):
            for daemon in order:
                await asyncio.sleep(self.pause_s)
                await self.replace(group, daemon, build)
        self.done = True

    async def replace(self, group: MixedGroup, daemon: DaemonPlace, build: str) -> None:
        """Restart a daemon with a build; on the way back the last gateway is killed by SIGKILL."""
        group.build_of[daemon.name] = build
        if daemon is group.layout.gateways[-1] and build == "old":
            await group.kill(daemon.name)
        else:
            code = await group.terminate(daemon.name)
            if code != 0:
                self.problems.append(f"{daemon.name} ended with code {code}")
        await group.start_daemon(daemon)
        await wait_for_port(daemon.rpc_port)
        print(f"{daemon.name} runs the {build} build")


async def run_daemons(builds: dict[str, Path], folder: Path, step_s: float) -> list[str]:
    """Run the demo's load while the builds replace each other; return violations."""
    layout = make_layout(DEPLOYMENTS["qurum"], folder)
    layout.write_settings()
    group = MixedGroup(layout, builds)
    plan = Replacements(step_s * PAUSE_SHARE)
    violations = []
    try:
        await group.start_platform()
        await group.start_daemons()
        await apply_manifest(layout)
        seconds = step_s * RESTARTS * len(layout.daemons)
        violations += await run_load(layout, group, seconds, plan)
        violations += await compare_commands(layout, builds)
    finally:
        codes = await group.stop_all()
    violations += plan.problems
    if not plan.done:
        violations.append("the load ended before all daemons were replaced")
    violations += [f"{name} ended with code {code}" for name, code in codes.items() if code != 0]
    return violations


async def compare_commands(layout: Layout, builds: dict[str, Path]) -> list[str]:
    """Return rows that the old build's command line shows and the new one's does not."""
    gateway = ["--gateway", layout.urls[0]]
    platform = ["--platform", f"http://{IP}:{layout.objects_port}"]
    commands = [
        ["audit", "--output", "json", *platform, *gateway],
        ["manifest", "history", "--output", "json", *platform, *gateway],
    ]
    violations = []
    for arguments in commands:
        old = await run_command(builds["old"], arguments)
        new = await run_command(builds["new"], arguments)
        missing = [row for row in old if row not in new]
        print(f"{arguments[0]}: {len(old)} rows by the old build, {len(missing)} not by the new")
        if missing or not old:
            violations.append(f"{' '.join(arguments[:2])}: {len(old)} rows, missing {missing[:2]}")
    return violations


async def run_command(checkout: Path, arguments: list[str]) -> list:
    """Return what a command of a build prints."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "turmericreach.cli", *arguments),
        env={**os.environ, "PYTHONPATH": str(checkout)},
        cwd=checkout,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return json.loads(output or b"[]")
