"""Application of a manifest: one conditional write, verified by a read if its response is lost."""

import time
import uuid

from turmericreach.manifest.encoding import decode_revision, encode_revision
from turmericreach.manifest.errors import GenerationConflict
from turmericreach.manifest.revision import MANIFEST_KIND, MANIFEST_NAME, Revision, plan_apply
from turmericreach.manifest.schema import Manifest
from turmericreach.objectstore import Conflict, ObjectStore, StoredObject, write_confirmed

__all__ = ["apply_manifest", "read_revision"]


async def read_revision(store: ObjectStore) -> Revision | None:
    """Return the revision in force, or None if no manifest was applied yet.

    Raises
    ------
    ObjectStoreError
        If the object API is unavailable.
    """
    stored = await store.get(MANIFEST_KIND, MANIFEST_NAME)
    return None if stored is None else decode_revision(stored.value)


async def apply_manifest(
    store: ObjectStore, manifest: Manifest, expected_generation: int, author: str
) -> Revision:
    """Write a manifest to the object API as the next revision.

    Parameters
    ----------
    store : ObjectStore
        Client of the object API.
    manifest : Manifest
        Manifest to apply.
    expected_generation : int
        Generation that the manifest was made from, 0 if there was none.
    author : str
        Who applies the manifest.

    Returns
    -------
    Revision
        The revision that is stored now.

    Raises
    ------
    GenerationConflict
        If another generation is in force; nothing was written.
    ResultUnknown
        If the write may have taken effect.
    ObjectStoreError
        If the object API failed; nothing was written.
    """
    change_id = uuid.uuid4().hex
    applied_at = time.time()

    def make_value(current: StoredObject | None) -> bytes:
        current_revision = None if current is None else decode_revision(current.value)
        planned = plan_apply(
            current_revision,
            manifest,
            expected_generation,
            change_id=change_id,
            author=author,
            applied_at=applied_at,
        )
        return encode_revision(planned)

    try:
        settled = await write_confirmed(
            store, MANIFEST_KIND, MANIFEST_NAME, make_value, change_id_of, lineage_of
        )
    except Conflict as error:
        in_force = await read_revision(store)
        actual = in_force.generation if in_force is not None else 0
        raise GenerationConflict(expected_generation, actual) from error
    return decode_revision(settled.stored.value)


def change_id_of(value: bytes) -> str:
    """Return the change id of an encoded revision."""
    return decode_revision(value).change_id


def lineage_of(value: bytes) -> list[str]:
    """Return the change ids of an encoded revision and of the one that it replaced."""
    revision = decode_revision(value)
    return [revision.change_id, revision.parent]
