"""Accepted revisions, kept as objects of their own."""

import contextlib

from turmericreach.manifest.encoding import decode_revision, encode_revision
from turmericreach.manifest.revision import Revision
from turmericreach.objectstore import Conflict, ObjectStore

__all__ = ["HISTORY_KIND", "HISTORY_LENGTH", "read_history", "record_revision"]

HISTORY_KIND = "config-history"
HISTORY_LENGTH = 200
# Removals that an outage prevented are made up for by later writers, a few at a time.
MAX_REMOVALS = 8


async def record_revision(store: ObjectStore, revision: Revision) -> None:
    """Keep a revision and remove those beyond `HISTORY_LENGTH`.

    Raises
    ------
    ObjectStoreError
        If the object API failed; the call may be repeated.
    """
    name = str(revision.generation)
    # A conflict means that an earlier call whose answer was lost, or another daemon, kept it.
    with contextlib.suppress(Conflict):
        await store.put(HISTORY_KIND, name, encode_revision(revision), if_absent=True)
    oldest = revision.generation - HISTORY_LENGTH
    for generation in range(oldest, max(0, oldest - MAX_REMOVALS), -1):
        if not await store.delete(HISTORY_KIND, str(generation)):
            return


async def read_history(store: ObjectStore, newest: int, count: int) -> list[Revision]:
    """Return kept revisions from a generation downwards.

    Revisions are read one by one, since all of them together can exceed a daemon's memory limit.
    """
    revisions = []
    for generation in range(newest, max(0, newest - count), -1):
        stored = await store.get(HISTORY_KIND, str(generation))
        if stored is not None:
            revisions.append(decode_revision(stored.value))
    return revisions
