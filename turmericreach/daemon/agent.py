"""The agent's side of the inner protocol: runs, settles and cancels attempts."""

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
        States and outcomes of the attempts that this agent accepted.

    Attributes
    ----------
    table : AttemptTable
        Accepted attempts with their states and outcomes.
    targets : dict of str to HostedTarget
        Targets of this host by name; changed by the configuration.
    executions : dict of str to asyncio.Task
        Tasks of the attempts in flight by attempt id.
    execution_targets : dict of str to HostedTarget
        Targets of the attempts in flight by attempt id.
    leaving : bool
        Whether new attempts are rejected.
    """

    def __init__(self, table: AttemptTable):
        self.table = table
        self.targets: dict[str, HostedTarget] = {}
        self.executions: dict[str, asyncio.Task] = {}
        self.execution_targets: dict[str, HostedTarget] = {}
        self.leaving = False

    def now(self) -> float:
        """Return the time in seconds on the agent's clock, in which deadlines are given."""
        return asyncio.get_running_loop().time()

    async def submit(self, attempt: Attempt, writer: ChunkWriter) -> Outcome:
        """Run an attempt; for one that arrives a second time, return the first one's outcome."""
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
        has started continues, so that its outcome can still be settled.
        """
        task = asyncio.ensure_future(target.run(entry, attempt, writer))
        self.executions[attempt.attempt_id] = task
        self.execution_targets[attempt.attempt_id] = target
        task.add_done_callback(lambda done: self.remove_execution(attempt.attempt_id, done))
        try:
            outcome = await asyncio.shield(task)
        except asyncio.CancelledError:
            if attempt.idempotent or entry.state is AttemptState.QUEUED:
                task.cancel()
            if task.cancelled():
                return self.table.result(entry)
            raise
        except Exception as error:  # noqa: BLE001 - the attempt may have run despite any error
            log_event(events.INTERNAL_ERROR, error=type(error).__name__, where="attempt")
            outcome = self.resolve_failure(entry, error)
        self.log_outcome(attempt, outcome)
        return with_load(outcome, sum(target.in_flight()))

    def resolve_failure(self, entry: AttemptEntry, error: Exception) -> Outcome:
        """Bring the entry of an attempt to a final state after an unexpected error."""
        reason = f"unexpected {type(error).__name__}"
        if entry.state is AttemptState.QUEUED:
            return self.table.revoke(entry, ErrorCode.INTERNAL, reason)
        if entry.state is AttemptState.STARTED:
            self.table.finish(entry, self.table.may_have_run_outcome(ErrorCode.INTERNAL, reason))
        return self.table.result(entry)

    def remove_execution(self, attempt_id: str, task: asyncio.Task) -> None:
        """Remove the task of an attempt that ended."""
        self.executions.pop(attempt_id, None)
        self.execution_targets.pop(attempt_id, None)
        if not task.cancelled():
            # Retrieves the exception, which asyncio would log if no other task awaits it.
            task.exception()

    def log_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Log an outcome without a response from the target."""
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
        target = self.execution_targets.get(attempt_id)
        if isinstance(found, Outcome):
            if target is not None and found.verdict is Verdict.NOT_RUN:
                target.withdraw(attempt_id)
                log_event(events.ATTEMPT_REVOKED, attempt_id=attempt_id)
            return found
        return await self.wait_for_end(found, self.now() + wait_s)

    async def wait_for_end(self, entry: AttemptEntry, deadline: float) -> Outcome:
        """Wait for a started attempt until the deadline and return what is known of it."""
        remaining_s = deadline - self.now()
        if remaining_s > 0 and not entry.ended.is_set():
            try:
                async with asyncio.timeout(remaining_s):
                    await entry.ended.wait()
            except TimeoutError:
                pass
        return self.table.result(entry)

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt whose result is no longer needed.

        A non-idempotent attempt that has started is not stopped, since its effect may be partly
        done; its outcome can be settled from the table later.
        """
        entry = self.table.entries.get(attempt_id)
        if entry is None:
            return
        if entry.state is AttemptState.QUEUED:
            self.table.revoke(entry, ErrorCode.CANCELLED, "cancelled before it started")
            target = self.execution_targets.get(attempt_id)
            if target is not None:
                target.withdraw(attempt_id)
            return
        task = self.executions.get(attempt_id)
        if task is not None and entry.idempotent:
            task.cancel()

    def start_leaving(self) -> None:
        """Reject new attempts from now on; started ones continue."""
        self.leaving = True
        for target in self.targets.values():
            target.start_leaving()

    async def wait_until_idle(self, timeout_s: float) -> int:
        """Wait for the attempts in flight and return how many have not ended by the timeout."""
        tasks = list(self.executions.values())
        if not tasks:
            return 0
        _, pending = await asyncio.wait(tasks, timeout=timeout_s)
        return len(pending)


def with_load(outcome: Outcome, load: int) -> Outcome:
    """Return the outcome with the target's load, which is newer than any report."""
    return attrs.evolve(outcome, load=load)
