"""The agent's side of the inner protocol: running and settling attempts."""

import asyncio

import attrs

from turmericreach.attempts import AttemptEntry, AttemptState, AttemptTable, DuplicateAttempt
from turmericreach.daemon.hosted import HostedTarget
from turmericreach.rpc import Attempt, ChunkWriter
from turmericreach.telemetry import events, log_event
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

__all__ = ["AttemptServer"]


class AttemptServer:
    """Runs attempts at the targets of this host.

    Parameters
    ----------
    table : AttemptTable

    Attributes
    ----------
    targets : dict of str to HostedTarget
        Targets of this host; changed by configuration.
    leaving : bool
        Whether new attempts are refused.
    """

    def __init__(self, table: AttemptTable):
        self.table = table
        self.targets: dict[str, HostedTarget] = {}
        self.executions: dict[str, asyncio.Task] = {}
        self.running_at: dict[str, HostedTarget] = {}
        self.leaving = False

    def now(self) -> float:
        """Return the agent's clock, on which deadlines are given."""
        return asyncio.get_running_loop().time()

    async def submit(self, attempt: Attempt, writer: ChunkWriter) -> Outcome:
        """Run an attempt, or repeat what is known of it if it arrives a second time."""
        try:
            entry = self.table.accept(attempt, self.now())
        except DuplicateAttempt as duplicate:
            return await self.wait_for_end(duplicate.entry, duplicate.entry.deadline)
        if isinstance(entry, Outcome):
            return entry
        target = self.targets.get(attempt.target)
        if target is None:
            return self.table.revoke(
                entry, ErrorCode.UNKNOWN_TARGET, f"{attempt.target} is not on this host"
            )
        if self.leaving:
            return self.table.revoke(entry, ErrorCode.LEAVING, "the agent is leaving")
        return await self.supervise(entry, attempt, target, writer)

    async def supervise(self, entry: AttemptEntry, attempt: Attempt, target, writer) -> Outcome:
        """Run an attempt in a task of its own.

        When the gateway disconnects, an idempotent attempt is cancelled. A non-idempotent one that
        has started goes on, so that its outcome can still be asked for.
        """
        task = asyncio.ensure_future(target.run(entry, attempt, writer))
        self.executions[attempt.attempt_id] = task
        self.running_at[attempt.attempt_id] = target
        task.add_done_callback(lambda done: self.forget(attempt.attempt_id, done))
        try:
            outcome = await asyncio.shield(task)
        except asyncio.CancelledError:
            if attempt.idempotent or entry.state is AttemptState.QUEUED:
                task.cancel()
            if task.cancelled():
                return self.table.result(entry)
            raise
        except Exception as error:  # noqa: BLE001 - the attempt may have run, whatever failed here
            log_event(events.INTERNAL_ERROR, error=type(error).__name__, where="attempt")
            outcome = self.after_fault(entry, error)
        self.report(attempt, outcome)
        return with_load(outcome, sum(target.in_flight()))

    def after_fault(self, entry: AttemptEntry, error: Exception) -> Outcome:
        """Bring the entry of an attempt whose execution failed here to a final state."""
        reason = f"unexpected {type(error).__name__}"
        if entry.state is AttemptState.QUEUED:
            return self.table.revoke(entry, ErrorCode.INTERNAL, reason)
        if entry.state is AttemptState.STARTED:
            self.table.finish(entry, self.table.may_have_run_outcome(ErrorCode.INTERNAL, reason))
        return self.table.result(entry)

    def forget(self, attempt_id: str, task: asyncio.Task) -> None:
        """Drop the task of an attempt that ended."""
        self.executions.pop(attempt_id, None)
        self.running_at.pop(attempt_id, None)
        if not task.cancelled():
            # Retrieved here, since nobody may be waiting any more.
            task.exception()

    def report(self, attempt: Attempt, outcome: Outcome) -> None:
        """Log an outcome without an answer."""
        if outcome.verdict is Verdict.ANSWERED:
            return
        event = events.ATTEMPT_NOT_RUN
        if outcome.verdict is Verdict.MAY_HAVE_RUN:
            event = events.ATTEMPT_MAY_HAVE_RUN
        log_event(
            event,
            attempt_id=attempt.attempt_id,
            target=attempt.target,
            evidence=outcome.evidence,
            request_id=attempt.request_id,
        )

    async def settle(
        self, attempt_id: str, incarnation: int, deadline_ms: int, wait_s: float
    ) -> Outcome:
        """Establish whether an attempt ran; one that did not start is revoked."""
        found = self.table.settle(attempt_id, incarnation, deadline_ms, self.now())
        target = self.running_at.get(attempt_id)
        if isinstance(found, Outcome):
            if target is not None and found.verdict is Verdict.NOT_RUN:
                target.withdraw(attempt_id)
                log_event(events.ATTEMPT_REVOKED, attempt_id=attempt_id)
            return found
        return await self.wait_for_end(found, self.now() + wait_s)

    async def wait_for_end(self, entry: AttemptEntry, until: float) -> Outcome:
        """Wait for a started attempt and return what is known of it."""
        left_s = until - self.now()
        if left_s > 0 and not entry.ended.is_set():
            try:
                async with asyncio.timeout(left_s):
                    await entry.ended.wait()
            except TimeoutError:
                pass
        return self.table.result(entry)

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt whose result is no longer needed.

        A non-idempotent attempt that has started is not stopped, since its effect may be half
        done; the table answers for it later.
        """
        entry = self.table.entries.get(attempt_id)
        if entry is None:
            return
        if entry.state is AttemptState.QUEUED:
            self.table.revoke(entry, ErrorCode.CANCELLED, "cancelled before it started")
            target = self.running_at.get(attempt_id)
            if target is not None:
                target.withdraw(attempt_id)
            return
        task = self.executions.get(attempt_id)
        if task is not None and entry.idempotent:
            task.cancel()

    def start_leaving(self) -> None:
        """Refuse new attempts from now on; started ones go on."""
        self.leaving = True
        for target in self.targets.values():
            target.start_leaving()

    async def wait_until_idle(self, timeout_s: float) -> int:
        """Wait for attempts in flight and return how many were left."""
        tasks = list(self.executions.values())
        if not tasks:
            return 0
        _, pending = await asyncio.wait(tasks, timeout=timeout_s)
        return len(pending)


def with_load(outcome: Outcome, load: int) -> Outcome:
    """Return the outcome with the target's load, which is fresher than any report."""
    return attrs.evolve(outcome, load=load)
