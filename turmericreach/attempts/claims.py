"""Claims: at-most-once execution of keyed requests that a caller submits again."""

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
WRITE_TRIES = 4


class AttemptSettler(Protocol):
    """Settles an attempt that another gateway may have sent."""

    async def settle_sent(self, sent: SentAttempt, wait_s: float) -> Outcome:
        """Return what became of the attempt; raises `PeerError`."""


class ClaimRegistry:
    """Creates and takes over claims in the object API.

    Parameters
    ----------
    store : ObjectStore
    settler : AttemptSettler
    wall_clock : callable
        Returns the time of day in seconds.

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

        Returns
        -------
        Outcome or None
            None if the attempt may be sent. Otherwise the outcome of the attempt that holds the
            key, or `MAY_HAVE_RUN` if that cannot be established.
        """
        record = ClaimRecord(request.request_id, sent, self.wall_clock())
        value = msgspec.json.encode(record)
        name = f"{request.service}:{request.key}"
        for number in range(WRITE_TRIES):
            try:
                # Nearly every claim is a new one, so the first try does without reading.
                current = await self.store.get(CLAIM_KIND, name) if number else None
                if current is None:
                    stored = await self.store.put(CLAIM_KIND, name, value, if_absent=True)
                    self.cleaner.note(name, stored.version, record.created_at)
                    return None
                holder = msgspec.json.decode(current.value, type=ClaimRecord)
                if holder.sent.attempt_id == sent.attempt_id:
                    # An earlier write took effect and its answer was lost.
                    self.cleaner.note(name, current.version, record.created_at)
                    return None
                outcome = await self.settle_holder(holder, wait_s)
                if outcome.verdict is not Verdict.NOT_RUN:
                    return outcome
                stored = await self.store.put(CLAIM_KIND, name, value, if_version=current.version)
                self.cleaner.note(name, stored.version, record.created_at)
                return None
            except (Conflict, ResultUnknown):
                continue
            except ObjectStoreError as error:
                return claim_unavailable(f"platform: {error}")
        return claim_unavailable("the claim changed hands too often")

    async def settle_holder(self, holder: ClaimRecord, wait_s: float) -> Outcome:
        """Return what became of the attempt that holds the claim."""
        try:
            return await self.settler.settle_sent(holder.sent, wait_s)
        except PeerError as error:
            return Outcome(
                Verdict.MAY_HAVE_RUN,
                code=ErrorCode.TARGET_UNREACHABLE,
                evidence=f"gateway: holder of the claim cannot be asked: {error}",
                retry_after_s=RETRY_AFTER_S,
            )


def claim_unavailable(reason: str) -> Outcome:
    """Return the refusal of a request whose key cannot be claimed now.

    The verdict is `MAY_HAVE_RUN`, since an earlier submission with the same key may have run.
    """
    return Outcome(
        Verdict.MAY_HAVE_RUN,
        code=ErrorCode.CLAIM_UNAVAILABLE,
        retry_after_s=RETRY_AFTER_S,
        evidence=f"gateway: {reason}",
    )
