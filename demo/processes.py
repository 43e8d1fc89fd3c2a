"""Starting and stopping the processes of a run."""

import asyncio
import signal
import sys
from pathlib import Path

from demo.layout import CALLER_DELAY_S, ENGINE_SLOTS, IP, DaemonPlace, Layout, TargetPlace

__all__ = ["ProcessGroup"]

STOP_TIMEOUT_S = 40.0
LISTEN_TIMEOUT_S = 20.0
CONNECT_PAUSE_S = 0.05


class ProcessGroup:
    """Starts and stops the processes of a run.

    Parameters
    ----------
    layout : Layout

    Attributes
    ----------
    running : dict of str to asyncio.subprocess.Process
        Started processes by name.
    """

    def __init__(self, layout: Layout):
        self.layout = layout
        self.running: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, *arguments: str) -> None:
        """Run a Python module as a process; its output is appended to ``NAME.log``."""
        with open(self.layout.folder / f"{name}.log", "ab") as log:  # noqa: ASYNC230
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *arguments, stdout=log, stderr=log
            )
        self.running[name] = process

    async def start_standin(self, name: str, kind: str, port: int, *options: str) -> None:
        """Start a stand-in, without waiting until it listens."""
        await self.start(
            name, "turmericreach_standins", kind, "--host", IP, "--port", str(port), *options
        )

    async def start_platform(self) -> None:
        """Start the object API, the weight store, all back ends and the links."""
        await self.start_standin("objects", "objects", self.layout.objects_port)
        await self.start_standin("weightstore", "weightstore", self.layout.weights_port)
        for target in self.layout.targets:
            await self.start_target(target)
        ports = [self.layout.objects_port, self.layout.weights_port]
        ports += [target.port for target in self.layout.targets]
        await asyncio.gather(*(wait_for_port(port) for port in ports))
        await self.start_links()

    async def start_links(self) -> None:
        """Start the delayed links to the daemons."""
        between_s = self.layout.deployment.link_delay_s
        ports = []
        for daemon in self.layout.daemons:
            await self.start_link(
                f"link-{daemon.name}", daemon.link_port, daemon.rpc_port, between_s
            )
            ports.append(daemon.link_port)
            if daemon.caller_port:
                await self.start_link(
                    f"callers-{daemon.name}", daemon.caller_port, daemon.http_port, CALLER_DELAY_S
                )
                ports.append(daemon.caller_port)
        await asyncio.gather(*(wait_for_port(port) for port in ports))

    async def start_link(self, name: str, port: int, target_port: int, delay_s: float) -> None:
        """Start one delayed link."""
        await self.start(
            name,
            "turmericreach_standins",
            "link",
            "--host",
            IP,
            "--port",
            str(port),
            "--target-port",
            str(target_port),
            "--delay-ms",
            str(delay_s * 1000),
        )

    async def start_target(self, target: TargetPlace) -> None:
        """Start one back end."""
        if not target.is_model:
            await self.start_standin(target.name, "service", target.port)
            return
        await self.start_standin(
            target.name,
            "engine",
            target.port,
            "--slots",
            str(ENGINE_SLOTS),
            "--tokens-per-s",
            str(target.speed),
            "--weight-store",
            f"http://{IP}:{self.layout.weights_port}",
            "--model",
            self.layout.deployment.model_service.model,
            "--tick-s",
            "0.05",
        )

    async def start_daemon(self, daemon: DaemonPlace) -> None:
        """Start one daemon."""
        settings = self.layout.settings_file(daemon)
        await self.start(daemon.name, "turmericreach.daemon", str(settings))

    async def start_daemons(self) -> None:
        """Start all daemons and wait until they listen."""
        for daemon in self.layout.daemons:
            await self.start_daemon(daemon)
        await asyncio.gather(*(wait_for_port(item.rpc_port) for item in self.layout.daemons))

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, as in a crash."""
        process = self.running.pop(name)
        process.kill()
        await process.wait()

    async def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self.running.pop(name)
        return await stop_process(process)

    async def stop_all(self) -> dict[str, int]:
        """Stop everything, daemons first, and return the exit codes."""
        codes = {}
        daemons = {daemon.name for daemon in self.layout.daemons}
        for daemons_first in (True, False):
            names = [name for name in self.running if (name in daemons) is daemons_first]
            results = await asyncio.gather(*(self.terminate(name) for name in names))
            codes.update(zip(names, results, strict=True))
        return codes


async def stop_process(process: asyncio.subprocess.Process) -> int:
    """Send SIGTERM and wait; a process that does not end in time is killed."""
    if process.returncode is not None:
        return process.returncode
    process.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
        return -signal.SIGKILL


async def wait_for_port(port: int) -> None:
    """Wait until a port accepts connections."""
    async with asyncio.timeout(LISTEN_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(IP, port)
            except OSError:
                await asyncio.sleep(CONNECT_PAUSE_S)
                continue
            writer.close()
            return


def log_lines(folder: Path, name: str) -> list[str]:
    """Return the lines of the log of a process."""
    return (folder / f"{name}.log").read_text(errors="replace").splitlines()
