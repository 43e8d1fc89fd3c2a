"""Injection of faults during a run."""

import asyncio
import signal

import aiohttp
import attrs

from demo.layout import IP
from demo.processes import ProcessGroup

__all__ = ["Fault", "FaultPlan", "parse_fault"]

FREEZE_S = 6.0
RESTART_S = 1.0
OUTAGE_S = 12.0
KINDS = ("kill", "stop", "freeze", "outage")


@attrs.frozen
class Fault:
    """A fault to inject into one process.

    Attributes
    ----------
    kind : str
        One of `KINDS`.
    name : str
        Name of the process.
    at_s : float
        Seconds after the start of the load.
    """

    kind: str
    name: str
    at_s: float


def parse_fault(text: str) -> Fault:
    """Parse ``kind:name@seconds``; raises `ValueError` for another form or kind.

    The kinds are ``kill`` (SIGKILL), ``stop`` (SIGTERM), ``freeze`` (SIGSTOP for some seconds) and
    ``outage``, which makes the object API reject every call for some seconds.
    """
    kind, _, rest = text.partition(":")
    name, _, at_s = rest.partition("@")
    if kind not in KINDS or not name or not at_s:
        raise ValueError(f"{text}: expected one of {KINDS} as kind:NAME@SECONDS")
    return Fault(kind, name, float(at_s))


@attrs.define
class FaultPlan:
    """Faults of one run."""

    faults: list[Fault]

    async def run(self, group: ProcessGroup, started: float) -> None:
        """Inject the faults; killed and stopped processes are restarted."""
        loop = asyncio.get_running_loop()

        async def inject_at(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, started + fault.at_s - loop.time()))
            await self.inject(group, fault)

        await asyncio.gather(*(inject_at(fault) for fault in self.faults))

    async def inject(self, group: ProcessGroup, fault: Fault) -> None:
        """Inject one fault."""
        if fault.kind == "outage":
            await self.outage(group)
            return
        if fault.kind == "freeze":
            process = group.running[fault.name]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            process.send_signal(signal.SIGCONT)
            return
        if fault.kind == "kill":
            await group.kill(fault.name)
        else:
            code = await group.terminate(fault.name)
            if code != 0:
                raise RuntimeError(f"{fault.name} ended with code {code} on SIGTERM")
        await asyncio.sleep(RESTART_S)
        await self.restart(group, fault.name)

    async def outage(self, group: ProcessGroup) -> None:
        """Make the object API reject every call for `OUTAGE_S` seconds."""
        url = f"http://{IP}:{group.layout.objects_port}/standin/faults"
        async with aiohttp.ClientSession() as session:
            await session.post(url, json={"down": True})
            await asyncio.sleep(OUTAGE_S)
            await session.post(url, json={"down": None})

    async def restart(self, group: ProcessGroup, name: str) -> None:
        """Restart a daemon or a back end."""
        for daemon in group.layout.daemons:
            if daemon.name == name:
                await group.start_daemon(daemon)
        for target in group.layout.targets:
            if target.name == name:
                await group.start_target(target)
