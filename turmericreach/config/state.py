"""The configuration in force: the highest generation received; it never decreases."""

import enum

import attrs

__all__ = [
    "Accepted",
    "ConfigState",
    "Ignored",
    "Readiness",
    "Revision",
    "RevisionConflict",
    "Source",
]

# Peers that start at the same time respond within this time. A longer wait would only delay a start
# while the platform is unavailable.
PEER_WAIT_S = 3.0


class Source(enum.StrEnum):
    """Where a revision came from."""

    PLATFORM = "platform"
    PEER = "peer"


@attrs.frozen
class Revision:
    """One generation of the manifest.

    Attributes
    ----------
    generation : int
        Number of the revision, from 1.
    change_id : str
        Id of the write that made the generation.
    payload : bytes
        The encoded revision with its manifest.
    """

    generation: int
    change_id: str
    payload: bytes = b""


@attrs.frozen
class Accepted:
    """The revision is in force now.

    Attributes
    ----------
    revision : Revision
        The revision in force.
    former_generation : int
        Generation in force before, 0 for none.
    """

    revision: Revision
    former_generation: int


@attrs.frozen
class Ignored:
    """The revision is not newer than the one in force.

    Attributes
    ----------
    generation : int
        Generation in force.
    """

    generation: int


@attrs.frozen
class RevisionConflict:
    """Two revisions have the same generation and different change ids; the daemon logs it.

    Attributes
    ----------
    kept, dropped : Revision
        The revision in force now, and the one that was discarded.
    replaced : bool
        Whether the revision that was in force is the discarded one.
    """

    kept: Revision
    dropped: Revision
    replaced: bool


@attrs.frozen
class Readiness:
    """Whether the daemon may serve requests.

    Attributes
    ----------
    ready : bool
        Whether the daemon may serve.
    learned_from : str
        Source by which the daemon became ready: ``platform`` or ``peers``; empty while not ready.
    generation : int
        Generation in force; 0 while not ready.
    reason : str
        Why the daemon is not ready; empty if it is.
    """

    ready: bool
    learned_from: str = ""
    generation: int = 0
    reason: str = ""


class ConfigState:
    """Holds the revision with the highest generation that one daemon has received.

    The platform's revision replaces a peer's of the same generation: only the platform's
    conditional update decides which of two concurrent writes became that generation.

    Parameters
    ----------
    now : float
        Start time, in seconds of the clock that all methods use.

    Attributes
    ----------
    revision : Revision or None
        Revision in force.
    source : Source or None
        Where the revision in force came from.
    accepted_at : float
        Time at which it came into force; the start time before any.
    highest_known : int
        Highest generation that any source has reported, also without its payload.
    peers : set of str
        Names of the peers that have responded.
    platform_unavailable, platform_responded : bool
        Whether the platform failed to respond since its last revision, and whether it has ever
        responded.
    learned_from : str
        ``platform`` or ``peers`` once the daemon is ready, empty before.
    """

    def __init__(self, now: float):
        self.started_at = now
        self.revision: Revision | None = None
        self.source: Source | None = None
        self.accepted_at = now
        self.highest_known = 0
        self.peers: set[str] = set()
        self.platform_unavailable = False
        self.platform_responded = False
        self.learned_from = ""

    @property
    def generation(self) -> int:
        """Generation in force, 0 for none."""
        return self.revision.generation if self.revision is not None else 0

    def apply_revision(
        self, revision: Revision, source: Source, now: float
    ) -> Accepted | Ignored | RevisionConflict:
        """Put a revision in force if it is newer than the current one, and return what was done."""
        self.record_generation(revision.generation)
        if source is Source.PLATFORM:
            self.platform_unavailable = False
            self.platform_responded = True
        if revision.generation < self.generation or revision.generation <= 0:
            return Ignored(self.generation)
        if revision.generation == self.generation:
            return self.resolve_same_generation(revision, source, now)
        former = self.generation
        self.put_in_force(revision, source, now)
        return Accepted(revision, former)

    def resolve_same_generation(self, revision, source, now):
        """Choose between the revision in force and another one of the same generation."""
        if revision.change_id == self.revision.change_id:
            if source is Source.PLATFORM:
                self.source = source
            return Ignored(self.generation)
        if source is Source.PLATFORM and self.source is not Source.PLATFORM:
            dropped = self.revision
            self.put_in_force(revision, source, now)
            return RevisionConflict(revision, dropped, True)
        return RevisionConflict(self.revision, revision, False)

    def put_in_force(self, revision, source, now):
        """Put a revision in force."""
        self.revision = revision
        self.source = source
        self.accepted_at = now

    def record_generation(self, generation: int):
        """Record that a generation exists; its payload may not have been received yet."""
        self.highest_known = max(self.highest_known, generation)

    def record_peer(self, name: str, generation: int):
        """Record that a peer responded with the generation that it has in force."""
        self.peers.add(name)
        self.record_generation(generation)

    def record_platform_unavailable(self):
        """Record that the platform did not respond."""
        self.platform_unavailable = True

    def is_behind(self) -> bool:
        """Return whether a higher generation is known than the one in force."""
        return self.highest_known > self.generation

    def ready(self, now: float) -> Readiness:
        """Return whether the daemon may serve; once ready, it stays ready.

        It becomes ready with the platform's current revision, or with a higher one of its peers.
        While the platform is unavailable, it becomes ready with the highest generation of its
        peers. At least one peer that has a generation must have responded, and `PEER_WAIT_S` must
        have passed so that other peers can respond too.
        """
        if self.learned_from:
            return Readiness(True, self.learned_from, self.generation)
        reason = self.not_ready_reason(now)
        if reason:
            return Readiness(False, reason=reason)
        self.learned_from = "platform" if self.source is Source.PLATFORM else "peers"
        return Readiness(True, self.learned_from, self.generation)

    def not_ready_reason(self, now):
        """Return why the daemon may not become ready yet, empty if it may."""
        if self.platform_responded:
            # A platform that was restored from an old backup has a lower generation than the peers.
            if self.is_behind():
                return f"generation {self.highest_known} is known but not received"
            return "" if self.revision is not None else "the platform has no configuration"
        if not self.platform_unavailable:
            return "the platform has not responded yet"
        if not self.peers:
            return "the platform is unavailable and no peer has responded"
        if self.revision is None:
            return "the platform is unavailable and no peer has a configuration"
        if self.is_behind():
            return f"generation {self.highest_known} is known but not received"
        if now - self.started_at < PEER_WAIT_S:
            return "waiting for further peers"
        return ""

    def in_force_report(self) -> dict[str, object]:
        """Return the generation in force and its source, for the status pages."""
        return {
            "generation": self.generation,
            "change_id": self.revision.change_id if self.revision is not None else "",
            "source": str(self.source or ""),
            "learned_from": self.learned_from,
            "highest_heard": self.highest_known,
            "accepted_at": self.accepted_at,
        }
