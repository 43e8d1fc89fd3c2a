"""Faults that a run can inject."""

import asyncio
import signal

import attrs

from demo.processes import ProcessGroup

__all__ = ["Fault", "FaultPlan", "parse_fault"]

FREEZE_S = 6.0
RESTART_S = 1.0


@attrs.frozen
class Fault:
    """A fault of one process at a time after the start."""

    kind: str
    name: str
    at_s: float


def parse_fault(text: str) -> Fault:
    """Read ``kind:name@seconds``; raises `ValueError`."""
    kind, _, rest = text.partition(":")
    name, _, at_s = rest.partition("@")
    if kind not in ("kill", "stop", "freeze") or not name or not at_s:
        raise ValueError(f"{text}: expected kill:NAME@SECONDS, stop:... or freeze:...")
    return Fault(kind, name, float(at_s))


@attrs.define
class FaultPlan:
    """Faults in the order of time."""

    faults: list[Fault]

    async def run(self, group: ProcessGroup, started: float) -> None:
        """Inject the faults; killed and stopped daemons are started again."""
        loop = asyncio.get_running_loop()
        for fault in sorted(self.faults, key=lambda item: item.at_s):
            await asyncio.sleep(max(0.0, started + fault.at_s - loop.time()))
            await self.inject(group, fault)

    async def inject(self, group: ProcessGroup, fault: Fault) -> None:
        """Inject one fault."""
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
        for daemon in group.layout.daemons:
            if daemon.name == fault.name:
                await group.start_daemon(daemon)
        for target in group.layout.targets:
            if target.name == fault.name:
                await group.start_target(target)
