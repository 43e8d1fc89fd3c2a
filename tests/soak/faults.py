"""Series of faults drawn from a seed."""

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
    """Injects faults one after another, two series at a time, so that they overlap.

    Attributes
    ----------
    history : list of str
        What was injected, with its time.
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
            self.cut_gateway_from_store,
            self.cut_gateway_from_store,
            self.store_away,
            self.store_loses_writes,
            self.store_drops_history,
            self.cut_target,
            self.spoil_target,
            self.lose_streams,
            self.replace_target,
        ]

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then end those that last."""
        ends_at = asyncio.get_running_loop().time() + seconds
        seeds = [self.random.random(), self.random.random()]
        await asyncio.gather(*(self.series(random.Random(seed), ends_at) for seed in seeds))

    async def series(self, source: random.Random, ends_at: float) -> None:
        """Inject one fault after another."""
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            await source.choice(self.kinds)(source)
            await asyncio.sleep(source.uniform(*PAUSE_S))

    def note(self, text: str) -> None:
        """Keep what is injected."""
        self.history.append(f"{self.deployment.elapsed_s():6.2f} {text}")

    # Processes

    async def kill_gateway(self, source: random.Random) -> None:
        """Kill a gateway and start it again."""
        program = source.choice(self.deployment.programs)
        self.note(f"SIGKILL {program.host}")
        await self.deployment.restart(program, signal.SIGKILL, source.uniform(*RESTART_S))

    async def stop_gateway(self, source: random.Random) -> None:
        """Stop a gateway as planned, kill it after its grace, and start it again."""
        program = source.choice(self.deployment.programs)
        self.note(f"SIGTERM {program.host}")
        await self.deployment.restart(
            program, signal.SIGTERM, source.uniform(*RESTART_S), grace_s=GRACE_S
        )

    async def kill_all(self, source: random.Random) -> None:
        """Kill all gateways at the same moment."""
        self.note("SIGKILL all")
        pause_s = source.uniform(*RESTART_S)
        await asyncio.gather(
            *(
                self.deployment.restart(program, signal.SIGKILL, pause_s)
                for program in self.deployment.programs
            )
        )

    async def freeze_gateway(self, source: random.Random) -> None:
        """Freeze a gateway for a while."""
        program = source.choice(self.deployment.programs)
        self.note(f"SIGSTOP {program.host}")
        with contextlib.suppress(ProcessLookupError):
            program.signal(signal.SIGSTOP)
        await asyncio.sleep(source.uniform(*FREEZE_S))
        with contextlib.suppress(ProcessLookupError):
            program.signal(signal.SIGCONT)

    async def reload_gateway(self, source: random.Random) -> None:
        """Change a gateway's settings file, sometimes half written first, and signal it.

        A program that starts with half a file ends, which its platform would have to mend.
        """
        program = source.choice(self.deployment.programs)
        if program.host in self.deployment.restarting or not await program.is_ready():
            return
        document = program.document()
        document["platform"]["writesPerS"] = source.choice([500, 4000])
        text = json.dumps(document)
        written = text[: source.randint(1, len(text))] if source.random() < 0.3 else text
        self.note(f"SIGHUP {program.host}, {len(written)} of {len(text)} bytes of its settings")
        program.settings_file.write_text(written)
        with contextlib.suppress(ProcessLookupError):
            program.signal(signal.SIGHUP)
        await asyncio.sleep(source.uniform(*PAUSE_S))
        program.settings_file.write_text(text)

    # Links and the store

    async def cut_gateway_from_store(self, source: random.Random) -> None:
        """Disturb the link between one gateway and the store."""
        host, proxy = source.choice(sorted(self.deployment.store_links.items()))
        await self.disturb(source, proxy, f"store link of {host}")

    async def cut_target(self, source: random.Random) -> None:
        """Disturb the links to a target."""
        name, proxy = source.choice(sorted(self.deployment.target_links.items()))
        await self.disturb(source, proxy, f"link to {name}")

    async def disturb(self, source: random.Random, proxy, what: str) -> None:
        """Put a random fault on a link for a while; resets happen in any case."""
        fault = source.choice(list(LinkFault))
        self.note(f"{fault} on {what}")
        proxy.set_fault(fault, source.uniform(0.02, 0.4))
        if fault is LinkFault.NONE:
            proxy.reset()
        await asyncio.sleep(source.uniform(*FAULT_S))
        proxy.set_fault(LinkFault.NONE)

    async def store_away(self, source: random.Random) -> None:
        """Let the store refuse, be silent or be slow for a while."""
        faults = self.deployment.world.store.faults
        kind = source.choice(["refuse", "silent", "slow"])
        self.note(f"store {kind}")
        if kind == "slow":
            faults.delay_s = source.uniform(0.1, 0.5)
        else:
            setattr(faults, kind, True)
        await asyncio.sleep(source.uniform(*FAULT_S))
        faults.delay_s = 0.0
        faults.refuse = faults.silent = False

    async def store_loses_writes(self, source: random.Random) -> None:
        """Let writes be done without an answer, or only later."""
        faults = self.deployment.world.store.faults
        self.note("store loses answers of writes")
        faults.lose_write_responses += source.randint(1, 4)
        faults.late_writes += source.randint(0, 2)
        await asyncio.sleep(source.uniform(*FAULT_S))
        faults.lose_write_responses = faults.late_writes = 0

    async def store_drops_history(self, source: random.Random) -> None:
        """Leave watches deaf, then drop the history."""
        store = self.deployment.world.store
        self.note("store drops its history")
        store.faults.stalled_watches += source.randint(0, 2)
        await asyncio.sleep(0.5)
        store.compact()

    # Targets

    async def spoil_target(self, source: random.Random) -> None:
        """Let a target lose, refuse, fail or cut answers."""
        target = source.choice(list(self.deployment.world.targets.values()))
        kind = source.choice(["lose_answers", "shed", "fail", "cut"])
        self.note(f"{target.id}: {kind}")
        if kind == "cut":
            target.faults.interrupt_after_events = source.randint(0, 4)
        else:
            setattr(target.faults, kind, source.randint(1, 3))
        await asyncio.sleep(source.uniform(*PAUSE_S))

    async def lose_streams(self, source: random.Random) -> None:
        """Let an engine close, or leave open without a byte, every few streams for a while."""
        target = source.choice(list(self.deployment.world.targets.values()))
        kind = source.choice(["lose_every", "mute_every"])
        self.note(f"{target.id}: {kind}")
        setattr(target.faults, kind, source.randint(2, 6))
        await asyncio.sleep(source.uniform(*FAULT_S))
        setattr(target.faults, kind, 0)

    async def replace_target(self, source: random.Random) -> None:
        """Drain a target; another one takes its place."""
        name = source.choice(sorted(self.deployment.target_links))
        self.note(f"{name} is replaced")
        await self.deployment.replace_target(name)
