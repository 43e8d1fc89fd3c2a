"""Claims: at-most-once execution of requests that a caller submits again with the same key."""

from typing import Protocol

import msgspec

from turmericreach.attempts.claim_cleaner import CLAIM_KIND, ClaimCleaner, ClaimRecord
from turmericreach.attempts.request import CallerRequest
from turmericreach.attempts.sent import SentAttempt
from turmericreach.objectstore import Conflict, ObjectStore, ObjectStoreError, ResultUnknown
from turmericreach.rpc import PeerError
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

__all__ = ["AttemptSettler", "ClaimRegistry", "ClaimRecord"]

RETRY_AFTER_S = 2.0
MAX_CLAIM_WRITES = 4


class AttemptSettler(Protocol):
    """Settles attempts, including those that another gateway sent."""

    async def settle_sent(self, sent: SentAttempt, wait_s: float) -> Outcome:
        """Return the outcome of an attempt, waiting up to `wait_s` seconds for one that runs.

        Raises
        ------
        PeerError
            If the agent of the attempt cannot be reached or does not respond.
        """


class ClaimRegistry:
    """Creates claims in the object API and takes over those whose attempt did not run.

    Parameters
    ----------
    store : ObjectStore
        Object API that holds the claims.
    settler : AttemptSettler
        Settles the attempt that holds a claim.
    wall_clock : callable
        Returns the wall-clock time in seconds.

    Attributes
    ----------
    cleaner : ClaimCleaner
        Removes the claims of this process when they have expired.
    """

    def __init__(self, store: ObjectStore, settler: AttemptSettler, wall_clock):
        self.store = store
        self.settler = settler
        self.wall_clock = wall_clock
        self.cleaner = ClaimCleaner(store, wall_clock)

    async def claim(self, request: CallerRequest, sent: SentAttempt, wait_s: float):
        """Claim the key of a request for an attempt that is about to be sent.

        Parameters
        ----------
        request : CallerRequest
            Request with a key.
        sent : SentAttempt
            Attempt that is to hold the claim.
        wait_s : float
            Seconds to wait for the end of a running attempt that holds the claim.

        Returns
        -------
        Outcome or None
            None if the attempt may be sent. Otherwise the outcome of the attempt that holds the
            key, or `MAY_HAVE_RUN` if that cannot be established.
        """
        record = ClaimRecord(request.request_id, sent, self.wall_clock())
        value = msgspec.json.encode(record)
        name = f"{request.service}:{request.key}"
        for number in range(MAX_CLAIM_WRITES):
            try:
                # Almost every claim is new, so the first write skips the read.
                current = await self.store.get(CLAIM_KIND, name) if number else None
                if current is None:
                    stored = await self.store.put(CLAIM_KIND, name, value, if_absent=True)
                    self.cleaner.record_claim(name, stored.version, record.created_at)
                    return None
                holder = msgspec.json.decode(current.value, type=ClaimRecord)
                if holder.sent.attempt_id == sent.attempt_id:
                    # An earlier write of this call took effect and its response was lost.
                    self.cleaner.record_claim(name, current.version, record.created_at)
                    return None
                outcome = await self.settle_holder(holder, wait_s)
                if outcome.verdict is not Verdict.NOT_RUN:
                    return outcome
                stored = await self.store.put(CLAIM_KIND, name, value, if_version=current.version)
                self.cleaner.record_claim(name, stored.version, record.created_at)
                return None
            except (Conflict, ResultUnknown):
                continue
            except ObjectStoreError as error:
                return claim_unavailable(f"platform: {error}")
        return claim_unavailable("every write of the claim conflicted or had an unknown result")

    async def settle_holder(self, holder: ClaimRecord, wait_s: float) -> Outcome:
        """Return the outcome of the attempt that holds the claim, `MAY_HAVE_RUN` if unknown."""
        try:
            return await self.settler.settle_sent(holder.sent, wait_s)
        except PeerError as error:
            return Outcome(
                Verdict.MAY_HAVE_RUN,
                code=ErrorCode.TARGET_UNREACHABLE,
                evidence=f"gateway: cannot settle the attempt that holds the claim: {error}",
                retry_after_s=RETRY_AFTER_S,
            )


def claim_unavailable(reason: str) -> Outcome:
    """Return the outcome of a request that is refused because its key cannot be claimed.

    The verdict is `MAY_HAVE_RUN`, since an earlier submission with the same key may have run.
    """
    return Outcome(
        Verdict.MAY_HAVE_RUN,
        code=ErrorCode.CLAIM_UNAVAILABLE,
        retry_after_s=RETRY_AFTER_S,
        evidence=f"gateway: {reason}",
    )
