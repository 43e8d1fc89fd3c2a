"""The deployment under test: gateway processes, stand-ins, and proxies between them."""

import asyncio
import signal
from pathlib import Path

from tests.builders.faulty_proxy import FaultyProxy
from tests.builders.fleet_world import MODEL, FleetWorld, GatewayProcess
from turmericreach_standins.fleet import TargetStandIn

__all__ = ["EVENTS", "Deployment"]

EVENTS = 6
EVENT_S = 0.03
WORK_S = 0.01
DRAIN_S = 1.5


class ProxiedProgram(GatewayProcess):
    """A gateway that reaches the store through a proxy of its own."""

    store_address = ""

    def document(self):
        """Return the settings as the platform writes them."""
        document = super().document()
        document["platform"]["address"] = self.store_address
        return document


class Deployment:
    """Gateways in separate processes, with the stand-ins in this process.

    Attributes
    ----------
    programs : list of ProxiedProgram
        The gateways.
    store_links, target_links : dict of str to FaultyProxy
        Proxies to the store by gateway, and to each target by its name.
    retired : list of TargetStandIn
        Targets that were replaced.
    started_at : float
        Instant of the start on the clock of the event loop.
    replaced : int
        Number of replacements so far; numbers the successors.
    restarting, replacing : set of str
        Gateways and targets for which this goes on.
    """

    def __init__(self, folder: Path, gateways: int):
        self.folder = folder
        self.gateways = gateways
        self.world = FleetWorld()
        self.programs: list[ProxiedProgram] = []
        self.store_links: dict[str, FaultyProxy] = {}
        self.target_links: dict[str, FaultyProxy] = {}
        self.retired: list[TargetStandIn] = []
        self.started_at = 0.0
        self.replaced = 0
        self.restarting: set[str] = set()
        self.replacing: set[str] = set()

    def elapsed_s(self) -> float:
        """Return the seconds since the start."""
        return asyncio.get_running_loop().time() - self.started_at

    async def start(self) -> None:
        """Start the store, targets and gateways."""
        self.started_at = asyncio.get_running_loop().time()
        await self.world.start()
        for name in ("p1", "p2"):
            await self.add_target(name, "portal", work_s=WORK_S)
        for name in ("e1", "e2", "e3"):
            await self.add_target(
                name, "engines", models={MODEL: 1}, events=EVENTS, event_s=EVENT_S
            )
        for number in range(self.gateways):
            await self.add_program(f"g{number}")
        await asyncio.gather(*(program.start() for program in self.programs))

    async def add_program(self, host: str) -> None:
        """Add a gateway with its proxy to the store."""
        proxy = FaultyProxy(self.world.store.address)
        self.store_links[host] = proxy
        program = ProxiedProgram(self.world, host, self.folder)
        program.store_address = await proxy.start()
        self.programs.append(program)

    async def add_target(self, name: str, service: str, **options) -> None:
        """Start a target behind a proxy and list it at the proxy's address."""
        target = TargetStandIn(name, service, **options)
        await target.start()
        proxy = FaultyProxy(target.address)
        target.address = await proxy.start()
        self.world.targets[name] = target
        self.target_links[name] = proxy
        target.on_change = lambda: self.list_target(target)
        self.list_target(target)

    def list_target(self, target: TargetStandIn, state: str = "ready") -> None:
        """Write a target's entry to the store, unless the target was replaced."""
        if self.world.targets.get(target.id) is target:
            self.world.store.put("servers", target.id, target.entry(state))

    async def replace_target(self, name: str) -> None:
        """Start a successor of a target, drain the target and stop it."""
        if name in self.replacing:
            return
        self.replacing.add(name)
        old = self.world.targets[name]
        self.replaced += 1
        successor = f"{name.split('-')[0]}-{self.replaced}"
        await self.add_target(
            successor,
            old.service,
            models=dict(old.models),
            events=old.events,
            event_s=old.event_s,
            work_s=old.work_s,
        )
        self.list_target(old, "draining")
        await asyncio.sleep(DRAIN_S)
        self.world.store.remove("servers", name)
        del self.world.targets[name]
        self.retired.append(old)
        await self.target_links.pop(name).stop()
        await old.stop()

    def all_targets(self) -> list[TargetStandIn]:
        """Return all targets, including the replaced ones."""
        return [*self.world.targets.values(), *self.retired]

    async def restart(
        self, program, number: signal.Signals, pause_s: float, grace_s: float | None = None
    ) -> None:
        """End a program by a signal and start it again, unless a restart of it already goes on.

        A program that has not exited after `grace_s` seconds (5 s by default) is killed.
        """
        if program.host in self.restarting:
            return
        self.restarting.add(program.host)
        try:
            program.signal(signal.SIGCONT)
            program.signal(number)
            try:
                async with asyncio.timeout(grace_s or 5.0):
                    await program.process.wait()
            except TimeoutError:
                await program.end()
            await asyncio.sleep(pause_s)
            await program.launch()
        finally:
            self.restarting.discard(program.host)

    async def stop(self) -> None:
        """Stop gateways, proxies, targets and the store."""
        for program in self.programs:
            await program.end()
        for proxy in [*self.store_links.values(), *self.target_links.values()]:
            await proxy.stop()
        await self.world.stop()
