"""Removal of claims after their lifetime."""

import collections

import attrs
import msgspec

from turmericreach.attempts.sent import SentAttempt
from turmericreach.objectstore import Conflict, ObjectStore

__all__ = ["CLAIM_KIND", "CLAIM_LIFETIME_S", "ClaimCleaner", "ClaimRecord"]

CLAIM_KIND = "claims"
# An Idempotency-Key is remembered for this long.
CLAIM_LIFETIME_S = 24 * 3600.0
# A process that stops loses its list, so a sweep removes what is older than this.
SWEEP_AGE_S = CLAIM_LIFETIME_S + 3600.0
# About 20 MB; claims beyond that are left to the sweep.
MAX_NOTED = 100_000
# Removals are writes of the object API and must not crowd out the claims of new orders.
REMOVALS_PER_CALL = 50


@attrs.frozen
class ClaimRecord:
    """The attempt that holds a key.

    Attributes
    ----------
    created_at : float
        Time of day in seconds, for the removal of old claims.
    """

    request_id: str
    sent: SentAttempt
    created_at: float = 0.0


@attrs.frozen
class NotedClaim:
    """A claim that this process made."""

    name: str
    version: int
    expires_at: float


class ClaimCleaner:
    """Removes expired claims, a few at a time.

    Parameters
    ----------
    store : ObjectStore
    wall_clock : callable
        Returns the time of day in seconds.
    """

    def __init__(self, store: ObjectStore, wall_clock):
        self.store = store
        self.wall_clock = wall_clock
        self.noted: collections.deque[NotedClaim] = collections.deque(maxlen=MAX_NOTED)

    def note(self, name: str, version: int, created_at: float) -> None:
        """Remember a claim that this process made."""
        self.noted.append(NotedClaim(name, version, created_at + CLAIM_LIFETIME_S))

    async def remove_expired(self) -> int:
        """Remove expired claims of this process and return their number.

        A claim that was taken over since is left to the process that took it.

        Raises
        ------
        ObjectStoreError
            If the object API failed; the call may be repeated.
        """
        removed = 0
        while self.noted and self.noted[0].expires_at <= self.wall_clock():
            if removed == REMOVALS_PER_CALL:
                break
            await self.remove(self.noted[0].name, self.noted[0].version)
            self.noted.popleft()
            removed += 1
        return removed

    async def sweep(self) -> int:
        """Remove claims that other processes left behind; return their number.

        Raises
        ------
        ObjectStoreError
            If the object API failed; the call may be repeated.
        """
        listing = await self.store.list(CLAIM_KIND)
        oldest = self.wall_clock() - SWEEP_AGE_S
        removed = 0
        for item in listing.items:
            if removed == REMOVALS_PER_CALL:
                break
            if msgspec.json.decode(item.value, type=ClaimRecord).created_at > oldest:
                continue
            await self.remove(item.name, item.version)
            removed += 1
        return removed

    async def remove(self, name: str, version: int) -> None:
        """Remove one claim unless it changed."""
        try:
            await self.store.delete(CLAIM_KIND, name, if_version=version)
        except Conflict:
            return
