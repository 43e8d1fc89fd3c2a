"""Putting revisions of the manifest in force."""

from turmericreach.config import Accepted, Ignored, Revision, RevisionConflict, Source
from turmericreach.daemon.node import Node
from turmericreach.daemon.revisions import decode_for_state, manifest_of, unpack_revision
from turmericreach.manifest import ManifestError
from turmericreach.telemetry import events, log_event

__all__ = ["ConfigInstaller"]


class ConfigInstaller:
    """Offers revisions to the configuration state and installs what it accepts.

    Parameters
    ----------
    node : Node
    on_config : callable
        Called without arguments after a new generation was put in force.
    on_installed : callable
        Called without arguments afterwards, to report the new generation.
    """

    def __init__(self, node: Node, on_config, on_installed):
        self.node = node
        self.on_config = on_config
        self.on_installed = on_installed

    def offer_packed(self, packed: bytes) -> None:
        """Offer a revision that a peer sent."""
        self.offer_decoded(lambda: decode_for_state(unpack_revision(packed)), Source.PEER)

    def offer_stored(self, value: bytes) -> None:
        """Offer a revision that the platform holds."""
        self.offer_decoded(lambda: decode_for_state(value), Source.PLATFORM)

    def offer_decoded(self, decode, source: Source) -> None:
        """Offer a revision; one that cannot be decoded is refused and logged."""
        try:
            revision = decode()
        except ManifestError as error:
            # The number of the generation is part of what cannot be decoded.
            log_event(events.CONFIGURATION_REFUSED, generation=0, problem=str(error))
            return
        self.offer(revision, source)

    def offer(self, revision: Revision, source: Source) -> None:
        """Put a revision in force if it is newer."""
        answer = self.node.config.apply_revision(revision, source, self.node.now())
        if isinstance(answer, RevisionConflict):
            log_event(
                events.CONFIGURATION_REFUSED,
                generation=answer.dropped.generation,
                problem=f"two changes of one generation, kept {answer.kept.change_id}",
            )
        if isinstance(answer, Ignored):
            log_event(
                events.GENERATION_IGNORED,
                generation=revision.generation,
                source=source,
                current=answer.generation,
            )
        if not isinstance(answer, Accepted) and not (
            isinstance(answer, RevisionConflict) and answer.replaced
        ):
            return
        try:
            self.install(self.node.config.revision)
        except ManifestError as error:
            log_event(
                events.CONFIGURATION_REFUSED, generation=revision.generation, problem=str(error)
            )

    def install(self, revision: Revision) -> None:
        """Put the manifest of a revision in force."""
        manifest = manifest_of(revision)
        self.node.install(manifest)
        self.node.members.set_own(self.node.now(), generation=revision.generation)
        log_event(
            events.GENERATION_IN_FORCE,
            generation=revision.generation,
            change_id=revision.change_id,
        )
        self.on_config()
        self.on_installed()
