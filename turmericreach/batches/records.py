"""Lots as they are kept in the metadata store."""

import time
from typing import Any

import attrs

from turmericreach.batches.model import BatchSpec
from turmericreach.metadata import StoredObject

__all__ = ["LOT_PREFIX", "OWN_KIND", "BatchRecord", "lot_name", "new_record_spec", "read_record"]

# All objects of the product are of one kind, so that one watch follows them.
OWN_KIND = "turmericreach"
LOT_PREFIX = "lot."


@attrs.frozen
class BatchRecord:
    """A stored lot.

    Attributes
    ----------
    lot : str
        Its id.
    host, path : str
        Host and path of its submission.
    document : any
        The submission as it was received.
    item_count : int
        Number of its items.
    model : str
        Model that generates its items.
    expected_tokens : float
        Expected output of all items.
    submitted_ms : int
        Unix milliseconds of its acceptance.
    owner : str
        Host that runs it.
    ended : bool
        Whether its caller has ended it.
    revision : int
        Revision of the object.
    """

    lot: str
    host: str
    path: str
    document: Any
    item_count: int
    model: str
    expected_tokens: float
    submitted_ms: int
    owner: str
    ended: bool
    revision: int

    def age_s(self) -> float:
        """Return the seconds since its acceptance by this host's clock."""
        return max(time.time() - self.submitted_ms / 1000, 0.0)

    def status(self, owner: str | None = None, ended: bool | None = None) -> dict[str, Any]:
        """Return the stored status with changes."""
        return {
            "owner": self.owner if owner is None else owner,
            "ended": self.ended if ended is None else ended,
        }


def lot_name(lot: str) -> str:
    """Return the name of a lot's object."""
    return LOT_PREFIX + lot


def new_record_spec(spec: BatchSpec, document: Any, owner: str, token: str) -> dict[str, Any]:
    """Return the spec of a lot that is accepted now.

    The token tells this acceptance from another of the same lot, made by another process.
    """
    return {
        "host": spec.host,
        "path": spec.path,
        "itemCount": len(spec.items),
        "model": spec.model,
        "expectedTokens": sum(item.expected_tokens for item in spec.items),
        "submittedMs": int(time.time() * 1000),
        "owner": owner,
        "token": token,
        "submission": document,
    }


def read_record(object: StoredObject) -> BatchRecord:
    """Return the lot of an object."""
    status = object.status or {}
    return BatchRecord(
        lot=object.name[len(LOT_PREFIX) :],
        host=object.spec["host"],
        path=object.spec["path"],
        document=object.spec["submission"],
        item_count=object.spec["itemCount"],
        model=object.spec["model"],
        expected_tokens=object.spec["expectedTokens"],
        submitted_ms=object.spec["submittedMs"],
        owner=status.get("owner", object.spec["owner"]),
        ended=status.get("ended", False),
        revision=object.revision,
    )
