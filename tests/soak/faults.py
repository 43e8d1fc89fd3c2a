"""Random series of faults, determined by a seed."""

import asyncio
import contextlib
import json
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from tests.builders.faulty_proxy import LinkFault
from tests.soak.deployment import Deployment

__all__ = ["FaultSeries"]

RESTART_S = (0.1, 1.5)
FREEZE_S = (0.3, 3.5)
FAULT_S = (0.5, 4.0)
PAUSE_S = (0.1, 1.2)
GRACE_S = 6.0


class FaultSeries:
    """Injects faults in two concurrent series, so that faults overlap.

    Attributes
    ----------
    history : list of str
        Descriptions of the injected faults, with the seconds since the start.
    kinds : list of callables
        Kinds of faults; those listed twice are twice as likely.
    """

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.history: list[str] = []
        self.kinds: list[Callable[[random.Random], Coroutine[Any, Any, None]]] = [
            self.kill_gateway,
            self.kill_gateway,
            self.stop_gateway,
            self.freeze_gateway,
            self.reload_gateway,
            self.kill_all,
            self.disturb_store_link,
            self.disturb_store_link,
            self.disturb_store,
            self.lose_store_writes,
            self.compact_store_history,
            self.disturb_target_link,
            self.disturb_target,
            self.interrupt_streams,
            self.replace_target,
        ]

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds and wait until the last ones have ended."""
        ends_at = asyncio.get_running_loop().time() + seconds
        seeds = [self.random.random(), self.random.random()]
        await asyncio.gather(*(self.inject_series(random.Random(seed), ends_at) for seed in seeds))

    async def inject_series(self, source: random.Random, ends_at: float) -> None:
        """Inject one fault after another until an instant."""
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            await source.choice(self.kinds)(source)
            await asyncio.sleep(source.uniform(*PAUSE_S))

    def record_fault(self, text: str) -> None:
        """Add an injected fault to the history."""
        self.history.append(f"{self.deployment.elapsed_s():6.2f} {text}")

    # Processes

    async def kill_gateway(self, source: random.Random) -> None:
        """Kill a gateway and start it again."""
        program = source.choice(self.deployment.programs)
        self.record_fault(f"SIGKILL {program.host}")
        await self.deployment.restart(program, signal.SIGKILL, source.uniform(*RESTART_S))

    async def stop_gateway(self, source: random.Random) -> None:
        """Stop a gateway in an orderly way, kill it after its grace period, and start it again."""
        program = source.choice(self.deployment.programs)
        self.record_fault(f"SIGTERM {program.host}")
        await self.deployment.restart(
            program, signal.SIGTERM, source.uniform(*RESTART_S), grace_s=GRACE_S
        )

    async def kill_all(self, source: random.Random) -> None:
        """Kill all gateways at the same moment."""
        self.record_fault("SIGKILL all")
        pause_s = source.uniform(*RESTART_S)
        await asyncio.gather(
            *(
                self.deployment.restart(program, signal.SIGKILL, pause_s)
                for program in self.deployment.programs
            )
        )

    async def freeze_gateway(self, source: random.Random) -> None:
        """Suspend a gateway for some seconds."""
        program = source.choice(self.deployment.programs)
        self.record_fault(f"SIGSTOP {program.host}")
        with contextlib.suppress(ProcessLookupError):
            program.signal(signal.SIGSTOP)
        await asyncio.sleep(source.uniform(*FREEZE_S))
        with contextlib.suppress(ProcessLookupError):
            program.signal(signal.SIGCONT)

    async def reload_gateway(self, source: random.Random) -> None:
        """Change a gateway's settings file, sometimes incompletely at first, and signal it.

        Gateways that restart are left out: a program that starts with an incomplete file exits, and
        the platform would have to repair that.
        """
        program = source.choice(self.deployment.programs)
        if program.host in self.deployment.restarting or not await program.is_ready():
            return
        document = program.document()
        document["platform"]["writesPerS"] = source.choice([500, 4000])
        text = json.dumps(document)
        written = text[: source.randint(1, len(text))] if source.random() < 0.3 else text
        self.record_fault(
            f"SIGHUP {program.host}, {len(written)} of {len(text)} bytes of its settings"
        )
        program.settings_file.write_text(written)
        with contextlib.suppress(ProcessLookupError):
            program.signal(signal.SIGHUP)
        await asyncio.sleep(source.uniform(*PAUSE_S))
        program.settings_file.write_text(text)

    # Links and the store

    async def disturb_store_link(self, source: random.Random) -> None:
        """Inject a fault into the link between a gateway and the store."""
        host, proxy = source.choice(sorted(self.deployment.store_links.items()))
        await self.disturb_link(source, proxy, f"store link of {host}")

    async def disturb_target_link(self, source: random.Random) -> None:
        """Inject a fault into the links to a target."""
        name, proxy = source.choice(sorted(self.deployment.target_links.items()))
        await self.disturb_link(source, proxy, f"link to {name}")

    async def disturb_link(self, source: random.Random, proxy, what: str) -> None:
        """Inject a random fault into a link for some seconds; `LinkFault.NONE` resets it once."""
        fault = source.choice(list(LinkFault))
        self.record_fault(f"{fault} on {what}")
        proxy.set_fault(fault, source.uniform(0.02, 0.4))
        if fault is LinkFault.NONE:
            proxy.reset()
        await asyncio.sleep(source.uniform(*FAULT_S))
        proxy.set_fault(LinkFault.NONE)

    async def disturb_store(self, source: random.Random) -> None:
        """Let the store refuse calls, not respond or respond slowly for some seconds."""
        faults = self.deployment.world.store.faults
        kind = source.choice(["refuse", "silent", "slow"])
        self.record_fault(f"store {kind}")
        if kind == "slow":
            faults.delay_s = source.uniform(0.1, 0.5)
        else:
            setattr(faults, kind, True)
        await asyncio.sleep(source.uniform(*FAULT_S))
        faults.delay_s = 0.0
        faults.refuse = faults.silent = False

    async def lose_store_writes(self, source: random.Random) -> None:
        """Let writes take effect without a response, or only later."""
        faults = self.deployment.world.store.faults
        self.record_fault("store loses responses to writes")
        faults.lose_write_responses += source.randint(1, 4)
        faults.late_writes += source.randint(0, 2)
        await asyncio.sleep(source.uniform(*FAULT_S))
        faults.lose_write_responses = faults.late_writes = 0

    async def compact_store_history(self, source: random.Random) -> None:
        """Let watches stall, then compact the history of the store."""
        store = self.deployment.world.store
        self.record_fault("store compacts its history")
        store.faults.stalled_watches += source.randint(0, 2)
        await asyncio.sleep(0.5)
        store.compact()

    # Targets

    async def disturb_target(self, source: random.Random) -> None:
        """Let a target lose responses, shed or fail requests, or interrupt streams."""
        target = source.choice(list(self.deployment.world.targets.values()))
        kind = source.choice(["lose_answers", "shed", "fail", "cut"])
        self.record_fault(f"{target.id}: {kind}")
        if kind == "cut":
            target.faults.interrupt_after_events = source.randint(0, 4)
        else:
            setattr(target.faults, kind, source.randint(1, 3))
        await asyncio.sleep(source.uniform(*PAUSE_S))

    async def interrupt_streams(self, source: random.Random) -> None:
        """Let an engine close, or stall without closing, every few streams for some seconds."""
        target = source.choice(list(self.deployment.world.targets.values()))
        kind = source.choice(["lose_every", "mute_every"])
        self.record_fault(f"{target.id}: {kind}")
        setattr(target.faults, kind, source.randint(2, 6))
        await asyncio.sleep(source.uniform(*FAULT_S))
        setattr(target.faults, kind, 0)

    async def replace_target(self, source: random.Random) -> None:
        """Replace a target by a new one and drain it."""
        name = source.choice(sorted(self.deployment.target_links))
        self.record_fault(f"{name} is replaced")
        await self.deployment.replace_target(name)
