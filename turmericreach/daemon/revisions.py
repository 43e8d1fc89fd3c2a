"""Conversion between stored manifest revisions and the configuration state."""

import zlib

from turmericreach.config import Revision
from turmericreach.documents import Problem
from turmericreach.manifest import Manifest, ManifestError, decode_revision

__all__ = ["decode_for_state", "manifest_of", "pack_revision", "unpack_revision"]

# Bounds the memory for a decompressed revision; a manifest of 1,200 targets takes 232 KB.
MAX_REVISION_BYTES = 16 * 1024 * 1024


def pack_revision(payload: bytes) -> bytes:
    """Return a stored revision compressed for the transfer to a peer.

    Uncompressed, a relay would send 62 KB/s with 1,200 targets and 820 changes a day.
    """
    return zlib.compress(payload)


def unpack_revision(packed: bytes) -> bytes:
    """Return the stored revision from its compressed form.

    Raises
    ------
    ManifestError
        If it cannot be decompressed or is too large.
    """
    expander = zlib.decompressobj()
    try:
        payload = expander.decompress(packed, MAX_REVISION_BYTES)
    except zlib.error as error:
        problem = Problem(0, "", f"cannot be decompressed: {error}")
        raise ManifestError("revision", [problem]) from error
    if not expander.eof:
        raise ManifestError("revision", [Problem(0, "", "is truncated or too large")])
    return payload


def decode_for_state(value: bytes) -> Revision:
    """Return a stored revision for the configuration state, with the stored value as payload.

    Raises
    ------
    ManifestError
        If the value is not a revision.
    """
    stored = decode_revision(value)
    return Revision(stored.generation, stored.change_id, value)


def manifest_of(revision: Revision) -> Manifest:
    """Decode and return the manifest of a revision."""
    return decode_revision(revision.payload).manifest
