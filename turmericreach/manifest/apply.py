"""Applying a manifest: one conditional write, settled when its answer is lost."""

import time
import uuid

from turmericreach.manifest.encoding import decode_revision, encode_revision
from turmericreach.manifest.errors import GenerationConflict
from turmericreach.manifest.revision import MANIFEST_KIND, MANIFEST_NAME, Revision, plan_apply
from turmericreach.manifest.schema import Manifest
from turmericreach.objectstore import Conflict, ObjectStore, StoredObject, write_confirmed

__all__ = ["apply_manifest", "read_revision"]


async def read_revision(store: ObjectStore) -> Revision | None:
    """Return the revision in force, None before the first one.

    Raises
    ------
    ObjectStoreError
        If the platform does not answer.
    """
    stored = await store.get(MANIFEST_KIND, MANIFEST_NAME)
    return None if stored is None else decode_revision(stored.value)


async def apply_manifest(
    store: ObjectStore, manifest: Manifest, expected_generation: int, author: str
) -> Revision:
    """Write the next revision.

    Parameters
    ----------
    expected_generation : int
        Generation that the manifest was made from, 0 for none.
    author : str
        Who applies it.

    Returns
    -------
    Revision

    Raises
    ------
    GenerationConflict
        If another generation is in force; nothing was written.
    ResultUnknown
        If the write may have taken effect.
    ObjectStoreError
        If the platform failed; nothing was written.
    """
    change_id = uuid.uuid4().hex
    applied_at = time.time()

    def make_value(current: StoredObject | None) -> bytes:
        held = None if current is None else decode_revision(current.value)
        planned = plan_apply(
            held,
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
        held = await read_revision(store)
        generation = held.generation if held is not None else 0
        raise GenerationConflict(expected_generation, generation) from error
    return decode_revision(settled.stored.value)


def change_id_of(value: bytes) -> str:
    """Return the change id of a stored revision."""
    return decode_revision(value).change_id


def lineage_of(value: bytes) -> list[str]:
    """Return the change ids of a stored revision and of the one that it replaced."""
    revision = decode_revision(value)
    return [revision.change_id, revision.parent]
