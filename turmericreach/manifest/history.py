"""History of accepted revisions, each stored as a separate object."""

import contextlib

from turmericreach.manifest.encoding import decode_revision, encode_revision
from turmericreach.manifest.revision import Revision
from turmericreach.objectstore import Conflict, ObjectStore

__all__ = ["HISTORY_KIND", "HISTORY_LENGTH", "read_history", "record_revision"]

HISTORY_KIND = "config-history"
HISTORY_LENGTH = 200
# Later calls also delete revisions that an outage kept from being deleted. The number per call is
# bounded.
MAX_REMOVALS = 8


async def record_revision(store: ObjectStore, revision: Revision) -> None:
    """Store a revision in the history and delete those older than `HISTORY_LENGTH` generations.

    Raises
    ------
    ObjectStoreError
        If the object API failed; the call may be repeated.
    """
    name = str(revision.generation)
    # A conflict means that the revision is already stored, by another daemon or by an earlier call
    # whose response was lost.
    with contextlib.suppress(Conflict):
        await store.put(HISTORY_KIND, name, encode_revision(revision), if_absent=True)
    oldest = revision.generation - HISTORY_LENGTH
    for generation in range(oldest, max(0, oldest - MAX_REMOVALS), -1):
        if not await store.delete(HISTORY_KIND, str(generation)):
            return


async def read_history(store: ObjectStore, newest: int, count: int) -> list[Revision]:
    """Return stored revisions, newest first, of up to `count` generations that end with `newest`.

    Generations that are not stored are left out. Revisions are read one by one, since all of them
    together can exceed a daemon's memory limit.
    """
    revisions = []
    for generation in range(newest, max(0, newest - count), -1):
        stored = await store.get(HISTORY_KIND, str(generation))
        if stored is not None:
            revisions.append(decode_revision(stored.value))
    return revisions
