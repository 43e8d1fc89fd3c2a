"""The agent's record of attempts: the only evidence that an attempt did not run."""

import asyncio
import enum

import attrs

from turmericreach.rpc import Attempt
from turmericreach.verdicts import ErrorCode, Outcome, TurmericreachError, Verdict

__all__ = ["MAX_DEADLINE_S", "AttemptEntry", "AttemptState", "AttemptTable", "DuplicateAttempt"]

# A refused or revoked attempt is remembered for this long after its deadline. A settlement that
# comes later than that cannot be answered from the absence of a record.
KEEP_S = 60.0
# Outcomes of non-idempotent attempts answer resubmissions by the caller, which come later.
KEEP_NON_IDEMPOTENT_S = 3600.0
# An attempt that arrives with a deadline beyond this is refused, because its revocation could not
# be remembered for long enough.
MAX_DEADLINE_S = 3600.0


class AttemptState(enum.Enum):
    """How far an attempt got at its agent."""

    QUEUED = "queued"
    STARTED = "started"
    DONE = "done"
    REVOKED = "revoked"


@attrs.define
class AttemptEntry:
    """What an agent knows of one attempt.

    Attributes
    ----------
    deadline : float
        Latest start and end, in seconds on the agent's clock.
    ended : asyncio.Event
        Set when the state is `DONE` or `REVOKED`.
    answer_kept : bool
        False if the answer was streamed and cannot be given again.
    keep_s : float
        Seconds after the deadline for which the entry is kept.
    """

    attempt_id: str
    deadline: float
    state: AttemptState = AttemptState.QUEUED
    outcome: Outcome | None = None
    answer_kept: bool = True
    keep_s: float = KEEP_S
    idempotent: bool = True
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)


class DuplicateAttempt(TurmericreachError):
    """An attempt arrived a second time."""

    def __init__(self, entry: AttemptEntry):
        super().__init__(f"attempt {entry.attempt_id} is already {entry.state.value}")
        self.entry = entry


class AttemptTable:
    """Records every attempt of one agent process until its deadline has long passed.

    Parameters
    ----------
    agent : str
        Name that appears in the evidence of outcomes.
    incarnation : int
        Incarnation of this process.
    """

    def __init__(self, agent: str, incarnation: int):
        self.agent = agent
        self.incarnation = incarnation
        self.entries: dict[str, AttemptEntry] = {}

    def refuse(self, code: ErrorCode, reason: str, retry_after_s: float = 0.0) -> Outcome:
        """Return an outcome that says that an attempt did not run."""
        return Outcome(
            Verdict.NOT_RUN,
            code=code,
            retry_after_s=retry_after_s,
            evidence=f"agent {self.agent}: {reason}",
        )

    def unknown(self, code: ErrorCode, reason: str) -> Outcome:
        """Return an outcome that says that an attempt may have run."""
        return Outcome(Verdict.MAY_HAVE_RUN, code=code, evidence=f"agent {self.agent}: {reason}")

    def accept(self, attempt: Attempt, now: float) -> AttemptEntry | Outcome:
        """Record an attempt that has arrived for the first time.

        Parameters
        ----------
        now : float
            Seconds on the agent's clock.

        Returns
        -------
        AttemptEntry or Outcome
            The new entry, or the refusal.

        Raises
        ------
        DuplicateAttempt
            If the attempt is known; it must not run a second time.
        """
        deadline = attempt.deadline_ms / 1000
        if attempt.incarnation != self.incarnation:
            return self.refuse(ErrorCode.STALE_INCARNATION, "addressed to another incarnation")
        known = self.entries.get(attempt.attempt_id)
        if known is not None:
            raise DuplicateAttempt(known)
        if now >= deadline + KEEP_S:
            return self.unknown(ErrorCode.DEADLINE_EXCEEDED, "the record has expired")
        if now >= deadline:
            return self.refuse(ErrorCode.DEADLINE_EXCEEDED, "arrived after its deadline")
        if deadline > now + MAX_DEADLINE_S:
            return self.refuse(ErrorCode.BAD_REQUEST, "deadline too far in the future")
        keep_s = KEEP_S if attempt.idempotent else KEEP_NON_IDEMPOTENT_S
        entry = AttemptEntry(
            attempt.attempt_id, deadline, keep_s=keep_s, idempotent=attempt.idempotent
        )
        self.entries[attempt.attempt_id] = entry
        return entry

    def start(self, entry: AttemptEntry, now: float) -> Outcome | None:
        """Move a queued attempt to `STARTED`.

        Returns
        -------
        Outcome or None
            The refusal if the attempt was revoked or is too late, None if it may run now.
        """
        if entry.state is AttemptState.REVOKED:
            return entry.outcome
        if now >= entry.deadline:
            return self.revoke(entry, ErrorCode.DEADLINE_EXCEEDED, "deadline passed in the queue")
        entry.state = AttemptState.STARTED
        return None

    def revoke(
        self,
        entry: AttemptEntry,
        code: ErrorCode = ErrorCode.REVOKED,
        reason: str = "revoked before it started",
        retry_after_s: float = 0.0,
    ) -> Outcome:
        """Ensure that a queued attempt never starts and return the refusal."""
        if entry.state is not AttemptState.QUEUED:
            raise ValueError(f"attempt {entry.attempt_id} is {entry.state.value}, not queued")
        entry.state = AttemptState.REVOKED
        entry.outcome = self.refuse(code, reason, retry_after_s)
        entry.ended.set()
        return entry.outcome

    def finish(self, entry: AttemptEntry, outcome: Outcome, answer_kept: bool = True) -> None:
        """Keep the outcome of a started attempt."""
        entry.state = AttemptState.DONE
        entry.outcome = outcome
        entry.answer_kept = answer_kept
        entry.ended.set()

    def result(self, entry: AttemptEntry) -> Outcome:
        """Return what can be said of an attempt now, to someone other than its first submitter."""
        if entry.state is AttemptState.STARTED:
            return self.unknown(ErrorCode.TIMEOUT, "started, no answer yet")
        if entry.state is AttemptState.QUEUED:
            return self.unknown(ErrorCode.TIMEOUT, "queued, may start")
        if entry.outcome.verdict is Verdict.ANSWERED and not entry.answer_kept:
            return self.unknown(ErrorCode.TARGET_FAILED, "ran; its streamed answer was not kept")
        return entry.outcome

    def settle(
        self, attempt_id: str, incarnation: int, deadline_ms: int, now: float
    ) -> AttemptEntry | Outcome:
        """Establish whether an attempt ran.

        An attempt that is unknown or queued is revoked, so that it cannot start later.

        Returns
        -------
        AttemptEntry or Outcome
            The entry of a started attempt, whose end may be awaited, or the outcome.
        """
        if incarnation != self.incarnation:
            return self.unknown(
                ErrorCode.STALE_INCARNATION, "cannot know what a former incarnation started"
            )
        entry = self.entries.get(attempt_id)
        if entry is None and now >= deadline_ms / 1000 + KEEP_S:
            return self.unknown(ErrorCode.DEADLINE_EXCEEDED, "the record has expired")
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
        """Forget ended attempts that no longer have to be kept."""
        for attempt_id, entry in list(self.entries.items()):
            if entry.state is AttemptState.STARTED or entry.state is AttemptState.QUEUED:
                continue
            if now < entry.deadline + entry.keep_s:
                continue
            del self.entries[attempt_id]

    def in_flight(self) -> int:
        """Return the number of attempts that are queued or running."""
        count = 0
        for entry in self.entries.values():
            if entry.state in (AttemptState.QUEUED, AttemptState.STARTED):
                count += 1
        return count
