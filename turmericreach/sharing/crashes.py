"""Requests under which targets have ended, as seen by all processes together."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from turmericreach.sharing.revisions import RevisionCounter

__all__ = ["MAX_CRASHES", "CrashRecord", "CrashTable"]

# A request under which this many targets have ended is not sent to another one.
MAX_CRASHES = 3
# Time in seconds for which a request is rejected, and for which evidence counts.
REMEMBER_S = 3600.0
# A request that a target has completed within this time is not the cause of a target's end.
COMPLETED_S = 60.0
# Bounds on the memory for evidence and for completed requests; the newest are kept.
MAX_RECORDS = 4096
MAX_COMPLETED = 8192


@attrs.frozen
class CrashRecord:
    """Targets that ended while they served a request.

    Attributes
    ----------
    targets : frozenset of str
        Runs of targets that ended.
    last_at : float
        Time in seconds at which the last one ended.
    cleared_at : float
        Time in seconds at which a target completed the request; earlier evidence does not count.
    revision : int
        Revision of the shared tables at which this became known.
    observed : bool
        Whether this process has observed a part of it itself.
    """

    targets: frozenset[str] = frozenset()
    last_at: float = float("-inf")
    cleared_at: float = float("-inf")
    revision: int = 0
    observed: bool = False


class CrashTable:
    """Decides which requests are rejected because targets have ended under them.

    Load pattern: a request ends each target that begins to run it, and its callers send it again,
    under another id and to any process. Other requests run at the same targets and lose their
    connections at the same moments. They are told apart by the number of targets and by success:
    a request that targets complete is not the cause, however often it was beside it, and a request
    that comes only once meets few ends of targets.

    Attributes
    ----------
    records : OrderedDict of str to CrashRecord
        Evidence by fingerprint of the request, the oldest first.
    completed : OrderedDict of str to float
        Time in seconds at which requests were last completed, by fingerprint, the oldest first.
    observed_revision : int
        Revision of the newest record that this process has observed itself.
    """

    def __init__(self, revisions: RevisionCounter | None = None):
        self.revisions = revisions or RevisionCounter()
        self.records: OrderedDict[str, CrashRecord] = OrderedDict()
        self.completed: OrderedDict[str, float] = OrderedDict()
        self.observed_revision = 0

    def is_rejected(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not be sent to a target."""
        record = self.records.get(fingerprint)
        if record is None or now - record.last_at > REMEMBER_S:
            return False
        return len(record.targets) >= MAX_CRASHES

    def rejected(self, now: float) -> list[str]:
        """Return the fingerprints of all requests that must not be sent to a target."""
        return [fingerprint for fingerprint in self.records if self.is_rejected(fingerprint, now)]

    def record_completion(self, fingerprint: str, now: float) -> None:
        """Record that a target has completed a request, which clears the evidence against it."""
        self.completed[fingerprint] = now
        self.completed.move_to_end(fingerprint)
        if len(self.completed) > MAX_COMPLETED:
            self.completed.popitem(last=False)
        record = self.records.get(fingerprint)
        if record is not None and record.targets:
            self.clear(fingerprint, now)

    def record_crash(self, fingerprint: str, target: str, now: float) -> None:
        """Record that a run of a target ended while it served a request.

        Parameters
        ----------
        fingerprint : str
            Digest of the request.
        target : str
            Name of the target's run; a target that has restarted counts as another one.
        now : float
            Time in seconds.
        """
        if self.completed_recently(fingerprint, now):
            return
        known = self.records.get(fingerprint, CrashRecord())
        if target in known.targets:
            return
        targets = self.valid_targets(known, now) | {target}
        self.put(fingerprint, CrashRecord(targets, now, known.cleared_at, observed=True))

    def merge(
        self,
        fingerprint: str,
        targets: Iterable[str],
        last_at: float,
        cleared_at: float,
        now: float,
    ) -> None:
        """Apply what another process knows of a request.

        Times are in seconds on this process's clock.
        """
        known = self.records.get(fingerprint, CrashRecord())
        cleared = max(known.cleared_at, cleared_at)
        found = self.valid_targets(known, now) if known.last_at > cleared else frozenset()
        if last_at > cleared and now - last_at <= REMEMBER_S:
            found = found | frozenset(targets)
        if found and self.completed_recently(fingerprint, now):
            self.clear(fingerprint, now)
            return
        if found == known.targets and cleared == known.cleared_at:
            return
        self.put(
            fingerprint,
            CrashRecord(found, max(known.last_at, last_at), cleared, observed=known.observed),
        )

    def clear(self, fingerprint: str, now: float) -> None:
        """Drop the evidence against a request, here and by what is shared at other processes."""
        self.put(fingerprint, CrashRecord(frozenset(), now, now, observed=True))

    def completed_recently(self, fingerprint: str, now: float) -> bool:
        """Return whether a target has completed a request a short time ago."""
        return now - self.completed.get(fingerprint, float("-inf")) <= COMPLETED_S

    def valid_targets(self, record: CrashRecord, now: float) -> frozenset[str]:
        """Return the targets of a record that still count."""
        return record.targets if now - record.last_at <= REMEMBER_S else frozenset()

    def put(self, fingerprint: str, record: CrashRecord) -> None:
        """Replace what is known of a request."""
        revision = self.revisions.advance()
        self.records[fingerprint] = attrs.evolve(record, revision=revision)
        if record.observed:
            self.observed_revision = revision
        self.records.move_to_end(fingerprint)
        if len(self.records) > MAX_RECORDS:
            self.records.popitem(last=False)

    def changes_after(self, revision: int, observed_only: bool) -> dict[str, CrashRecord]:
        """Return the records that became known after a revision, by fingerprint."""
        found = {}
        for fingerprint, record in self.records.items():
            if record.revision > revision and (record.observed or not observed_only):
                found[fingerprint] = record
        return found
