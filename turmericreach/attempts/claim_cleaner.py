"""Removal of expired claims from the object API."""

import collections

import attrs
import msgspec

from turmericreach.attempts.sent import SentAttempt
from turmericreach.objectstore import Conflict, ObjectStore

__all__ = ["CLAIM_KIND", "CLAIM_LIFETIME_S", "ClaimCleaner", "ClaimRecord"]

CLAIM_KIND = "claims"
# Seconds for which a repeated Idempotency-Key is recognised.
CLAIM_LIFETIME_S = 24 * 3600.0
# Age in seconds beyond which a sweep removes a claim of any process. A process that stops loses its
# list of own claims, so nobody else would remove them. The hour on top leaves the claims of running
# processes to their owners.
SWEEP_MIN_AGE_S = CLAIM_LIFETIME_S + 3600.0
# Bounds the list of own claims to about 20 MB; the sweep removes the claims that do not fit.
MAX_OWN_CLAIMS = 100_000
# A removal is a write to the object API and must not displace the claims of new requests.
MAX_REMOVALS_PER_CALL = 50


@attrs.frozen
class ClaimRecord:
    """Stored claim: the attempt that holds an idempotency key.

    Attributes
    ----------
    request_id : str
        Request that the attempt belongs to.
    sent : SentAttempt
        Address at which the attempt can be settled.
    created_at : float
        Wall-clock time of the claim in seconds, from which its lifetime counts.
    """

    request_id: str
    sent: SentAttempt
    created_at: float = 0.0


@attrs.frozen
class OwnClaim:
    """A claim that this process created or took over.

    Attributes
    ----------
    name : str
        Name of the object.
    version : int
        Version of the object as this process wrote it.
    expires_at : float
        Wall-clock time in seconds after which the claim is removed.
    """

    name: str
    version: int
    expires_at: float


class ClaimCleaner:
    """Removes expired claims, at most `MAX_REMOVALS_PER_CALL` with each call.

    Parameters
    ----------
    store : ObjectStore
        Object API that holds the claims.
    wall_clock : callable
        Returns the wall-clock time in seconds.

    Attributes
    ----------
    own_claims : collections.deque of OwnClaim
        Claims of this process, oldest first.
    """

    def __init__(self, store: ObjectStore, wall_clock):
        self.store = store
        self.wall_clock = wall_clock
        self.own_claims: collections.deque[OwnClaim] = collections.deque(maxlen=MAX_OWN_CLAIMS)

    def record_claim(self, name: str, version: int, created_at: float) -> None:
        """Record a claim of this process, so that it is removed after its lifetime."""
        self.own_claims.append(OwnClaim(name, version, created_at + CLAIM_LIFETIME_S))

    async def remove_expired(self) -> int:
        """Remove expired claims of this process and return their number.

        A claim that another process has taken over in the meantime is left to that process.

        Raises
        ------
        ObjectStoreError
            If the object API failed; the call may be repeated.
        """
        removed = 0
        while self.own_claims and self.own_claims[0].expires_at <= self.wall_clock():
            if removed == MAX_REMOVALS_PER_CALL:
                break
            await self.remove(self.own_claims[0].name, self.own_claims[0].version)
            self.own_claims.popleft()
            removed += 1
        return removed

    async def sweep(self) -> int:
        """Remove old claims of any process, such as one that stopped, and return their number.

        Raises
        ------
        ObjectStoreError
            If the object API failed; the call may be repeated.
        """
        listing = await self.store.list(CLAIM_KIND)
        oldest = self.wall_clock() - SWEEP_MIN_AGE_S
        removed = 0
        for item in listing.items:
            if removed == MAX_REMOVALS_PER_CALL:
                break
            if msgspec.json.decode(item.value, type=ClaimRecord).created_at > oldest:
                continue
            await self.remove(item.name, item.version)
            removed += 1
        return removed

    async def remove(self, name: str, version: int) -> None:
        """Remove one claim unless it has changed since `version`."""
        try:
            await self.store.delete(CLAIM_KIND, name, if_version=version)
        except Conflict:
            return
