"""Lots as they are kept in the metadata store."""

import time
from typing import Any

import attrs

from turmericreach.batches.model import BatchSpec
from turmericreach.metadata import StoredObject

__all__ = ["BatchRecord", "new_record_spec", "read_record"]


@attrs.frozen
class BatchRecord:
    """A stored lot.

    Attributes
    ----------
    lot : str
        Its id.
    owner : str
        Host that runs it.
    ended : bool
        Whether its caller has ended it.
    item_count : int
        Number of its items.
    revision : int
        Revision of the object.
    object : StoredObject or None
        The whole object, None where only the rest is known.
    """

    lot: str
    owner: str
    ended: bool
    item_count: int
    revision: int
    object: StoredObject | None = None

    @property
    def host(self) -> str:
        """Host of its submission."""
        return self.object.spec["host"]

    @property
    def path(self) -> str:
        """Path of its submission."""
        return self.object.spec["path"]

    @property
    def document(self) -> Any:
        """The submission as it was received."""
        return self.object.spec["submission"]

    @property
    def model(self) -> str:
        """Model that generates its items."""
        return self.object.spec["model"]

    @property
    def expected_tokens(self) -> float:
        """Expected output of all items."""
        return self.object.spec["expectedTokens"]

    def age_s(self) -> float:
        """Return the seconds since its acceptance by this host's clock."""
        return max(time.time() - self.object.spec["submittedMs"] / 1000, 0.0)

    def status(self, owner: str | None = None, ended: bool | None = None) -> dict[str, Any]:
        """Return the stored status with changes."""
        return {
            "owner": self.owner if owner is None else owner,
            "ended": self.ended if ended is None else ended,
        }

    def brief(self) -> "BatchRecord":
        """Return the record without the object."""
        return attrs.evolve(self, object=None)


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
        lot=object.name,
        owner=status.get("owner", object.spec["owner"]),
        ended=status.get("ended", False),
        item_count=object.spec["itemCount"],
        revision=object.revision,
        object=object,
    )
