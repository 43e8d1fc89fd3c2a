"""Conversion between lots and their objects in the metadata store."""

import time
from typing import Any

import attrs
import msgspec

from turmericreach.batches.model import BatchSpec
from turmericreach.metadata import StoredObject
from turmericreach.platform.decoding import Fields
from turmericreach.services import Route

__all__ = ["AcceptedTerms", "BatchRecord", "new_record_spec", "read_record"]


@attrs.frozen
class AcceptedTerms:
    """What a trainer is promised with the acceptance of its lot, whatever the route becomes.

    Attributes
    ----------
    due_s : float
        Seconds from the submission until the results are due.
    item_lifetime_s : float
        Seconds from the submission after which items may be abandoned.
    """

    due_s: float = 10.0
    item_lifetime_s: float = 60.0

    @classmethod
    def of_route(cls, route: Route | None) -> "AcceptedTerms":
        """Return the terms of a route, the defaults if there is none."""
        return cls() if route is None else cls(route.due_s, route.item_lifetime_s)


@attrs.frozen
class BatchRecord:
    """A stored lot.

    Attributes
    ----------
    lot : str
        Id of the lot.
    owner : str
        Host that runs the lot.
    ended : bool
        Whether the caller has ended the lot.
    item_count : int
        Number of items in the lot.
    revision : int
        Revision of the stored object.
    object : StoredObject or None
        The stored object with the submission, None if it has not been read or is left out of a
        message. The properties below need it, except for `tenant`.
    submitted_by : str or UnsetType
        Tenant that submitted the lot; unset, and left out of messages, without one.
    """

    lot: str
    owner: str
    ended: bool
    item_count: int
    revision: int
    object: StoredObject | None = None
    submitted_by: str | msgspec.UnsetType = msgspec.UNSET

    @property
    def tenant(self) -> str:
        """Tenant that submitted the lot, empty without one."""
        return self.submitted_by or ""

    @property
    def host(self) -> str:
        """Host of the submission."""
        return self.object.spec["host"]

    @property
    def path(self) -> str:
        """Path of the submission."""
        return self.object.spec["path"]

    @property
    def document(self) -> Any:
        """Body of the submission as received, decoded from JSON."""
        return self.object.spec["submission"]

    @property
    def model(self) -> str:
        """Model that generates the text of the items."""
        return self.object.spec["model"]

    @property
    def expected_tokens(self) -> float:
        """Expected number of output tokens of all items together."""
        return self.object.spec["expectedTokens"]

    @property
    def terms(self) -> AcceptedTerms | None:
        """Terms of the acceptance, None if an earlier build has accepted the lot."""
        due_s = self.object.spec.get("dueS")
        lifetime_s = self.object.spec.get("lifetimeS")
        if due_s is None or lifetime_s is None:
            return None
        return AcceptedTerms(due_s, lifetime_s)

    def may_have_former_owner(self) -> bool:
        """Return whether another host may have run the lot: it was changed since its creation."""
        stored = self.object
        return (
            stored.status is not None
            or self.revision > stored.revision
            or self.owner != stored.spec["owner"]
        )

    def age_s(self) -> float:
        """Return the seconds since the lot was accepted, by the wall clock of this host."""
        return max(time.time() - self.object.spec["submittedMs"] / 1000, 0.0)

    def status(self, owner: str | None = None, ended: bool | None = None) -> dict[str, Any]:
        """Return the status to store, with the given changes."""
        return {
            "owner": self.owner if owner is None else owner,
            "ended": self.ended if ended is None else ended,
        }

    def without_object(self) -> "BatchRecord":
        """Return a copy of the record without the stored object."""
        return attrs.evolve(self, object=None)


def new_record_spec(
    spec: BatchSpec,
    document: Any,
    owner: str,
    token: str,
    terms: AcceptedTerms | None = None,
) -> dict[str, Any]:
    """Return the stored spec of a lot that is accepted now.

    The token distinguishes this acceptance from a concurrent one of the same lot by another
    process. Without terms, those of the route at the start of each run apply.
    """
    stored = {
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
    if terms is not None:
        stored["dueS"] = terms.due_s
        stored["lifetimeS"] = terms.item_lifetime_s
    if spec.tenant:
        stored["tenant"] = spec.tenant
    return stored


def read_record(object: StoredObject) -> BatchRecord:
    """Return the record of a stored lot.

    Raises
    ------
    DecodeError
        If another writer has stored something else under the kind of the lots.
    """
    fields = Fields(object.spec, object.name)
    for key in ("host", "path", "model"):
        fields.text(key)
    fields.number("expectedTokens")
    fields.integer("submittedMs")
    fields.object("submission")
    for key in ("dueS", "lifetimeS"):
        fields.number(key, 0.0)
    status = Fields(object.status or {}, f"{object.name} status")
    return BatchRecord(
        lot=object.name,
        owner=status.text("owner", fields.text("owner")),
        ended=status.boolean("ended", False),
        item_count=fields.integer("itemCount"),
        revision=object.revision,
        object=object,
        submitted_by=fields.text("tenant", "") or msgspec.UNSET,
    )
