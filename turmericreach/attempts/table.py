"""An agent's table of attempts, the only evidence that an attempt did not run."""

import asyncio
import enum

import attrs

from turmericreach.rpc import Attempt
from turmericreach.verdicts import ErrorCode, Outcome, TurmericreachError, Verdict

__all__ = ["MAX_DEADLINE_S", "AttemptEntry", "AttemptState", "AttemptTable", "DuplicateAttempt"]

# Seconds after its deadline for which an entry is kept. After that, a missing entry no longer
# proves that the attempt did not run, so a settlement returns an unknown outcome.
RETENTION_S = 60.0
# Outcomes of non-idempotent attempts are kept longer, because they also serve resubmissions by the
# caller, which arrive later.
NON_IDEMPOTENT_RETENTION_S = 3600.0
# Attempts with a later deadline, in seconds from now, are refused, because the table could not keep
# their revocation for long enough.
MAX_DEADLINE_S = 3600.0


class AttemptState(enum.Enum):
    """Progress of an attempt at its agent."""

    QUEUED = "queued"
    STARTED = "started"
    DONE = "done"
    REVOKED = "revoked"


@attrs.define
class AttemptEntry:
    """State of one attempt at its agent.

    Attributes
    ----------
    attempt_id : str
        Identifies the attempt.
    deadline : float
        Instant on the agent's clock after which the attempt must not start or run, in seconds.
    state : AttemptState
        Progress of the attempt.
    outcome : Outcome or None
        Outcome of an attempt that is `DONE` or `REVOKED`, else None.
    response_stored : bool
        False if the response was streamed and cannot be sent again.
    retention_s : float
        Seconds after the deadline for which the entry is kept.
    idempotent : bool
        Whether the request may be repeated after an unknown outcome.
    ended : asyncio.Event
        Set when the state is `DONE` or `REVOKED`.
    """

    attempt_id: str
    deadline: float
    state: AttemptState = AttemptState.QUEUED
    outcome: Outcome | None = None
    response_stored: bool = True
    retention_s: float = RETENTION_S
    idempotent: bool = True
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)


class DuplicateAttempt(TurmericreachError):
    """An attempt with the same id has arrived before.

    Parameters
    ----------
    entry : AttemptEntry
        Entry of the earlier arrival.
    """

    def __init__(self, entry: AttemptEntry):
        super().__init__(f"attempt {entry.attempt_id} is already {entry.state.value}")
        self.entry = entry


class AttemptTable:
    """Holds every attempt of one agent process until its retention after the deadline is over.

    Parameters
    ----------
    agent : str
        Name of the agent for the evidence of outcomes.
    incarnation : int
        Incarnation of this process.

    Attributes
    ----------
    entries : dict of str to AttemptEntry
        Entries by attempt id.
    """

    def __init__(self, agent: str, incarnation: int):
        self.agent = agent
        self.incarnation = incarnation
        self.entries: dict[str, AttemptEntry] = {}

    def not_run_outcome(self, code: ErrorCode, reason: str, retry_after_s: float = 0.0) -> Outcome:
        """Return the outcome of an attempt that did not and will not run."""
        return Outcome(
            Verdict.NOT_RUN,
            code=code,
            retry_after_s=retry_after_s,
            evidence=f"agent {self.agent}: {reason}",
        )

    def may_have_run_outcome(self, code: ErrorCode, reason: str) -> Outcome:
        """Return the outcome of an attempt that may have run."""
        return Outcome(Verdict.MAY_HAVE_RUN, code=code, evidence=f"agent {self.agent}: {reason}")

    def accept(self, attempt: Attempt, now: float) -> AttemptEntry | Outcome:
        """Add an entry for an attempt that arrives for the first time.

        Parameters
        ----------
        attempt : Attempt
            The message that arrived.
        now : float
            Current time on the agent's clock, in seconds.

        Returns
        -------
        AttemptEntry or Outcome
            The new entry, or the outcome of an attempt that is refused.

        Raises
        ------
        DuplicateAttempt
            If the table has an entry for the attempt, which must not run a second time.
        """
        deadline = attempt.deadline_ms / 1000
        if attempt.incarnation != self.incarnation:
            return self.not_run_outcome(
                ErrorCode.STALE_INCARNATION, "addressed to another incarnation of the agent"
            )
        known = self.entries.get(attempt.attempt_id)
        if known is not None:
            raise DuplicateAttempt(known)
        if now >= deadline + RETENTION_S:
            return self.may_have_run_outcome(
                ErrorCode.DEADLINE_EXCEEDED, "the entry of the attempt has expired"
            )
        if now >= deadline:
            return self.not_run_outcome(ErrorCode.DEADLINE_EXCEEDED, "arrived after its deadline")
        if deadline > now + MAX_DEADLINE_S:
            return self.not_run_outcome(ErrorCode.BAD_REQUEST, "deadline is too far in the future")
        retention_s = RETENTION_S if attempt.idempotent else NON_IDEMPOTENT_RETENTION_S
        entry = AttemptEntry(
            attempt.attempt_id, deadline, retention_s=retention_s, idempotent=attempt.idempotent
        )
        self.entries[attempt.attempt_id] = entry
        return entry

    def start(self, entry: AttemptEntry, now: float) -> Outcome | None:
        """Move a queued attempt to `STARTED`.

        Returns
        -------
        Outcome or None
            None if the attempt may run now, else the outcome of an attempt that was revoked or
            whose deadline has passed.
        """
        if entry.state is AttemptState.REVOKED:
            return entry.outcome
        if now >= entry.deadline:
            return self.revoke(entry, ErrorCode.DEADLINE_EXCEEDED, "deadline passed while queued")
        entry.state = AttemptState.STARTED
        return None

    def revoke(
        self,
        entry: AttemptEntry,
        code: ErrorCode = ErrorCode.REVOKED,
        reason: str = "revoked before it started",
        retry_after_s: float = 0.0,
    ) -> Outcome:
        """Ensure that a queued attempt never starts and return its outcome.

        Raises
        ------
        ValueError
            If the attempt is not queued.
        """
        if entry.state is not AttemptState.QUEUED:
            raise ValueError(f"attempt {entry.attempt_id} is {entry.state.value}, not queued")
        entry.state = AttemptState.REVOKED
        entry.outcome = self.not_run_outcome(code, reason, retry_after_s)
        entry.ended.set()
        return entry.outcome

    def finish(self, entry: AttemptEntry, outcome: Outcome, response_stored: bool = True) -> None:
        """Move a started attempt to `DONE` and store its outcome."""
        entry.state = AttemptState.DONE
        entry.outcome = outcome
        entry.response_stored = response_stored
        entry.ended.set()

    def result(self, entry: AttemptEntry) -> Outcome:
        """Return the outcome of an attempt for a caller other than its first submitter.

        An attempt that has not ended, or whose streamed response was not stored, may have run.
        """
        if entry.state is AttemptState.STARTED:
            return self.may_have_run_outcome(ErrorCode.TIMEOUT, "started, not finished yet")
        if entry.state is AttemptState.QUEUED:
            return self.may_have_run_outcome(ErrorCode.TIMEOUT, "queued, may still start")
        if entry.outcome.verdict is Verdict.ANSWERED and not entry.response_stored:
            return self.may_have_run_outcome(
                ErrorCode.TARGET_FAILED, "ran; its streamed response was not stored"
            )
        return entry.outcome

    def settle(
        self, attempt_id: str, incarnation: int, deadline_ms: int, now: float
    ) -> AttemptEntry | Outcome:
        """Establish whether an attempt ran.

        An attempt that is unknown or queued is revoked, so that it cannot start later.

        Parameters
        ----------
        attempt_id : str
            Identifies the attempt.
        incarnation : int
            Incarnation of the agent that the attempt was sent to.
        deadline_ms : int
            Deadline of the attempt on the agent's clock, in milliseconds.
        now : float
            Current time on the agent's clock, in seconds.

        Returns
        -------
        AttemptEntry or Outcome
            The entry of a started attempt, whose end may be awaited, else the outcome.
        """
        if incarnation != self.incarnation:
            return self.may_have_run_outcome(
                ErrorCode.STALE_INCARNATION, "attempts of a former incarnation are unknown"
            )
        entry = self.entries.get(attempt_id)
        if entry is None and now >= deadline_ms / 1000 + RETENTION_S:
            return self.may_have_run_outcome(
                ErrorCode.DEADLINE_EXCEEDED, "the entry of the attempt has expired"
            )
        if entry is None:
            entry = AttemptEntry(attempt_id, deadline_ms / 1000)
            self.entries[attempt_id] = entry
            return self.revoke(entry, reason="never arrived; revoked")
        if entry.state is AttemptState.QUEUED:
            return self.revoke(entry)
        if entry.state is AttemptState.STARTED:
            return entry
        return self.result(entry)

    def expire(self, now: float) -> None:
        """Remove the entries of ended attempts whose retention is over."""
        for attempt_id, entry in list(self.entries.items()):
            if entry.state is AttemptState.STARTED or entry.state is AttemptState.QUEUED:
                continue
            if now < entry.deadline + entry.retention_s:
                continue
            del self.entries[attempt_id]

    def in_flight(self) -> int:
        """Return the number of attempts that are queued or running."""
        count = 0
        for entry in self.entries.values():
            if entry.state in (AttemptState.QUEUED, AttemptState.STARTED):
                count += 1
        return count
