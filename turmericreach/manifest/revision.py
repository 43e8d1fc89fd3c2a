"""Revisions: a manifest with its generation, as stored in the object API."""

import attrs

from turmericreach.manifest.errors import GenerationConflict
from turmericreach.manifest.schema import Manifest

__all__ = ["MANIFEST_KIND", "MANIFEST_NAME", "Revision", "plan_apply"]

MANIFEST_KIND = "config"
MANIFEST_NAME = "manifest"


@attrs.frozen
class Revision:
    """An accepted manifest with the change that made it.

    Attributes
    ----------
    generation : int
        Number of the revision: 1 for the first, then one more for each change.
    change_id : str
        Unique id of the change; it shows whether a write took effect whose response was lost.
    author : str
        Who applied the manifest.
    applied_at : float
        Unix time of the change in seconds.
    manifest : Manifest
        The accepted manifest.
    parent : str
        Change id of the revision that this one replaced, empty for the first.
    """

    generation: int
    change_id: str
    author: str
    applied_at: float
    manifest: Manifest
    parent: str = ""


def plan_apply(
    current: Revision | None,
    new: Manifest,
    expected_generation: int,
    *,
    change_id: str,
    author: str,
    applied_at: float,
) -> Revision:
    """Return the revision that a change has to write.

    Parameters
    ----------
    current : Revision or None
        Revision in force, None before the first.
    new : Manifest
        Manifest to apply.
    expected_generation : int
        Generation that the change was made from, 0 if there was none.
    change_id : str
        Unique id of the change.
    author : str
        Who applies the manifest.
    applied_at : float
        Unix time of the change in seconds.

    Returns
    -------
    Revision
        The next revision, or `current` if it already holds this change.

    Raises
    ------
    GenerationConflict
        If another generation is in force.
    """
    generation = current.generation if current else 0
    if current and current.change_id == change_id:
        return current
    if generation != expected_generation:
        raise GenerationConflict(expected_generation, generation)
    parent = current.change_id if current else ""
    return Revision(generation + 1, change_id, author, applied_at, new, parent)
