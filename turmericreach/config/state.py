"""The configuration in force: the highest generation seen, never lower."""

import enum

import attrs

__all__ = [
    "Accepted",
    "ConfigState",
    "Contradiction",
    "Ignored",
    "Readiness",
    "Revision",
    "Source",
]

# Peers that start together answer within this time; longer waits only delay a start while the
# platform is down.
PEER_WAIT_S = 3.0


class Source(enum.StrEnum):
    """Who gave a revision."""

    PLATFORM = "platform"
    PEER = "peer"


@attrs.frozen
class Revision:
    """One generation of the manifest.

    Attributes
    ----------
    change_id : str
        Identifies the write that made the generation.
    payload : bytes
        The manifest.
    """

    generation: int
    change_id: str
    payload: bytes = b""


@attrs.frozen
class Accepted:
    """The revision is in force now."""

    revision: Revision
    former_generation: int


@attrs.frozen
class Ignored:
    """The revision is not newer than the one in force."""

    generation: int


@attrs.frozen
class Contradiction:
    """Two revisions have the same generation and different change ids; to be logged.

    Attributes
    ----------
    kept, dropped : Revision
        What is in force now and what is not.
    replaced : bool
        Whether the revision in force was replaced.
    """

    kept: Revision
    dropped: Revision
    replaced: bool


@attrs.frozen
class Readiness:
    """Whether the daemon may serve.

    Attributes
    ----------
    learned_from : str
        ``platform``, ``peers`` or empty while not ready.
    """

    ready: bool
    learned_from: str = ""
    generation: int = 0
    reason: str = ""


class ConfigState:
    """Holds the highest generation seen by one daemon.

    The platform's revision wins over a peer's of the same generation: only the platform's
    conditional update decides which of two racing writes became that generation.
    """

    def __init__(self, now: float):
        self.started_at = now
        self.revision: Revision | None = None
        self.source: Source | None = None
        self.accepted_at = now
        self.highest_heard = 0
        self.peers: set[str] = set()
        self.platform_down = False
        self.platform_answered = False
        self.learned_from = ""

    @property
    def generation(self) -> int:
        """Generation in force, 0 for none."""
        return self.revision.generation if self.revision is not None else 0

    def offer(
        self, revision: Revision, source: Source, now: float
    ) -> Accepted | Ignored | Contradiction:
        """Take over a revision if it is newer."""
        self.note_generation(revision.generation)
        if source is Source.PLATFORM:
            self.platform_down = False
            self.platform_answered = True
        if revision.generation < self.generation or revision.generation <= 0:
            return Ignored(self.generation)
        if revision.generation == self.generation:
            return self.compare(revision, source, now)
        former = self.generation
        self.store(revision, source, now)
        return Accepted(revision, former)

    def compare(self, revision, source, now):
        """Settle an offer of the generation in force."""
        if revision.change_id == self.revision.change_id:
            if source is Source.PLATFORM:
                self.source = source
            return Ignored(self.generation)
        if source is Source.PLATFORM and self.source is not Source.PLATFORM:
            dropped = self.revision
            self.store(revision, source, now)
            return Contradiction(revision, dropped, True)
        return Contradiction(self.revision, revision, False)

    def store(self, revision, source, now):
        """Put a revision in force."""
        self.revision = revision
        self.source = source
        self.accepted_at = now

    def note_generation(self, generation: int):
        """Note a generation that was heard of; its payload may still be missing."""
        self.highest_heard = max(self.highest_heard, generation)

    def note_peer(self, name: str, generation: int):
        """Note that a peer answered with the generation that it has in force."""
        self.peers.add(name)
        self.note_generation(generation)

    def note_platform_down(self):
        """Note that the platform did not answer."""
        self.platform_down = True

    def is_behind(self) -> bool:
        """Tell whether a higher generation was heard of than the one in force."""
        return self.highest_heard > self.generation

    def ready(self, now: float) -> Readiness:
        """Return whether the daemon may serve; once ready it stays so.

        It becomes ready by the platform's current revision, or a higher one of its peers. While
        the platform is down, it becomes ready by the highest generation of its peers, of which at
        least one with a generation must have answered, after `PEER_WAIT_S` in which others can
        answer too.
        """
        if self.learned_from:
            return Readiness(True, self.learned_from, self.generation)
        reason = self.obstacle(now)
        if reason:
            return Readiness(False, reason=reason)
        self.learned_from = "platform" if self.source is Source.PLATFORM else "peers"
        return Readiness(True, self.learned_from, self.generation)

    def obstacle(self, now):
        """Return why the peers' generation is not enough, empty if it is."""
        if self.platform_answered:
            # A platform restored from an old copy gives a lower generation than the peers have.
            if self.is_behind():
                return f"generation {self.highest_heard} is known but not received"
            return "" if self.revision is not None else "the platform has no configuration"
        if not self.platform_down:
            return "the platform has not answered yet"
        if not self.peers:
            return "the platform is down and no peer has answered"
        if self.revision is None:
            return "the platform is down and no peer has a configuration"
        if self.is_behind():
            return f"generation {self.highest_heard} is known but not received"
        if now - self.started_at < PEER_WAIT_S:
            return "waiting for further peers"
        return ""

    def in_force_report(self) -> dict[str, object]:
        """Return what is in force, for status pages."""
        return {
            "generation": self.generation,
            "change_id": self.revision.change_id if self.revision is not None else "",
            "source": str(self.source or ""),
            "learned_from": self.learned_from,
            "highest_heard": self.highest_heard,
            "accepted_at": self.accepted_at,
        }
