"""Requests under which the targets of an agent have ended."""

import asyncio
import contextlib
import time
from collections.abc import Callable

import yarl

from turmericreach.membership import CrashedRequest
from turmericreach.sharing import CrashTable
from turmericreach.telemetry import events, log_event

__all__ = ["CrashWatch", "merge_crashes"]

PROBE_TIMEOUT_S = 1.0
MS_PER_S = 1000
# Bound on the requests in a target's status; those under which it ended last are kept.
MAX_REPORTED = 20


class CrashWatch:
    """Tells whether a target ended while it served a request, and keeps the evidence.

    Parameters
    ----------
    target : str
        Name of the target.
    url : str
        Base URL of the target.
    incarnation : int
        Random number of this agent's process, which makes the names of the target's runs unique.
    on_crash : callable
        Called without arguments after new evidence.

    Attributes
    ----------
    table : CrashTable
        Evidence against requests at this target.
    run_number : int
        Number of the target's current run, as far as this agent has noticed.
    ended : bool
        Whether the current run has ended.
    last_ms : dict of str to int
        Unix time in milliseconds at which the target last ended, by fingerprint.
    """

    def __init__(self, target: str, url: str, incarnation: int, on_crash: Callable[[], None]):
        self.target = target
        self.url = yarl.URL(url)
        self.incarnation = incarnation
        self.on_crash = on_crash
        self.table = CrashTable()
        self.run_number = 1
        self.ended = False
        self.last_ms: dict[str, int] = {}
        self.probes: set[asyncio.Task] = set()

    def record_response(self, fingerprint: str) -> None:
        """Record that the target has completed a request."""
        if self.ended:
            self.run_number += 1
            self.ended = False
        self.table.record_completion(fingerprint, asyncio.get_running_loop().time())

    def check(self, fingerprint: str, request_id: str) -> None:
        """Check in the background whether the target has ended under a request."""
        task = asyncio.get_running_loop().create_task(self.probe(fingerprint, request_id))
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)

    async def probe(self, fingerprint: str, request_id: str) -> None:
        """Open a connection to the target; its host refuses it if the target has ended."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(self.url.host, self.url.port)
        except ConnectionRefusedError:
            self.record_crash(fingerprint, request_id)
        except (OSError, TimeoutError):
            # A target that cannot be reached need not have ended.
            return
        else:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    def record_crash(self, fingerprint: str, request_id: str) -> None:
        """Record that the current run of the target ended under a request."""
        self.ended = True
        run = f"{self.target}/{self.incarnation}/{self.run_number}"
        self.table.record_crash(fingerprint, run, asyncio.get_running_loop().time())
        self.last_ms[fingerprint] = int(time.time() * MS_PER_S)
        log_event(
            events.TARGET_ENDED, target=self.target, request_id=request_id, fingerprint=fingerprint
        )
        self.on_crash()

    def report(self) -> list[CrashedRequest]:
        """Return the evidence for the status of the target, the newest last."""
        found = []
        for fingerprint, record in self.table.records.items():
            if record.targets:
                runs = sorted(record.targets)
                found.append(CrashedRequest(fingerprint, runs, self.last_ms[fingerprint]))
        self.last_ms = {name: at for name, at in self.last_ms.items() if name in self.table.records}
        return found[-MAX_REPORTED:]


def merge_crashes(table: CrashTable, requests: list[CrashedRequest], now: float) -> None:
    """Apply the evidence in the status of a target to the table of a gateway."""
    for request in requests:
        age_s = max(time.time() - request.last_ms / MS_PER_S, 0.0)
        table.merge(request.fingerprint, request.runs, now - age_s, float("-inf"), now)
