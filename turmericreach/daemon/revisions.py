"""Conversion between stored manifest revisions and the configuration state."""

from turmericreach.config import Revision
from turmericreach.manifest import Manifest, decode_revision

__all__ = ["decode_for_state", "manifest_of"]


def decode_for_state(value: bytes) -> Revision:
    """Return the state's view of a stored revision; its payload is the stored value.

    Raises
    ------
    ManifestError
        If the value is not a revision.
    """
    stored = decode_revision(value)
    return Revision(stored.generation, stored.change_id, value)


def manifest_of(revision: Revision) -> Manifest:
    """Return the manifest of a revision."""
    return decode_revision(revision.payload).manifest
