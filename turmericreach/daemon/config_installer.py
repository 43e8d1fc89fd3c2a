"""Installation of manifest revisions from peers and the platform."""

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
        Configuration state and members of this process.
    on_config : callable
        Called without arguments after a new generation was put in force.
    on_installed : callable
        Called without arguments after `on_config`, to report the new generation.
    """

    def __init__(self, node: Node, on_config, on_installed):
        self.node = node
        self.on_config = on_config
        self.on_installed = on_installed

    def offer_packed(self, packed: bytes) -> None:
        """Offer a compressed revision that a peer sent."""
        self.offer_decoded(lambda: decode_for_state(unpack_revision(packed)), Source.PEER)

    def offer_stored(self, value: bytes) -> None:
        """Offer a revision that the platform holds."""
        self.offer_decoded(lambda: decode_for_state(value), Source.PLATFORM)

    def offer_decoded(self, decode, source: Source) -> None:
        """Decode and offer a revision; one that cannot be decoded is rejected and logged."""
        try:
            revision = decode()
        except ManifestError as error:
            # The number of the generation is unknown, since it is part of the encoded revision.
            log_event(events.CONFIGURATION_REFUSED, generation=0, problem=str(error))
            return
        self.offer(revision, source)

    def offer(self, revision: Revision, source: Source) -> None:
        """Put a revision in force if the configuration state accepts it as newer."""
        result = self.node.config.apply_revision(revision, source, self.node.now())
        if isinstance(result, RevisionConflict):
            log_event(
                events.CONFIGURATION_REFUSED,
                generation=result.dropped.generation,
                problem=f"two changes claim this generation; kept change {result.kept.change_id}",
            )
        if isinstance(result, Ignored):
            log_event(
                events.GENERATION_IGNORED,
                generation=revision.generation,
                source=source,
                current=result.generation,
            )
        if not isinstance(result, Accepted) and not (
            isinstance(result, RevisionConflict) and result.replaced
        ):
            return
        try:
            self.install(self.node.config.revision)
        except ManifestError as error:
            log_event(
                events.CONFIGURATION_REFUSED, generation=revision.generation, problem=str(error)
            )

    def install(self, revision: Revision) -> None:
        """Put the manifest of a revision in force and report the new generation."""
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
