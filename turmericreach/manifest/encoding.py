"""Canonical JSON of manifests and revisions."""

import msgspec

from turmericreach.documents import Problem
from turmericreach.manifest.errors import ManifestError
from turmericreach.manifest.revision import Revision
from turmericreach.manifest.schema import Manifest

__all__ = ["decode_manifest", "decode_revision", "encode_manifest", "encode_revision"]


def encode_manifest(manifest: Manifest) -> bytes:
    """Return a manifest as JSON with sorted keys; equal manifests give equal bytes."""
    return msgspec.json.encode(manifest, order="sorted")


def decode_manifest(data: bytes) -> Manifest:
    """Decode a manifest from JSON.

    Unknown keys are ignored, since a daemon of the next release may have written them.

    Raises
    ------
    ManifestError
        If the JSON does not hold a manifest.
    """
    return decode(data, Manifest, "manifest")


def encode_revision(revision: Revision) -> bytes:
    """Return a revision as JSON with sorted keys."""
    return msgspec.json.encode(revision, order="sorted")


def decode_revision(data: bytes) -> Revision:
    """Decode a revision from JSON.

    Unknown keys are ignored, as in `decode_manifest`.

    Raises
    ------
    ManifestError
        If the JSON does not hold a revision.
    """
    return decode(data, Revision, "revision")


def decode(data, model, source):
    """Decode JSON into an instance of an attrs class; errors name the source."""
    try:
        return msgspec.json.decode(data, type=model)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ManifestError(source, [Problem(0, "", f"cannot be decoded: {error}")]) from None
