"""Assignment of duties to members by rendezvous hashing."""

from turmericreach.ownership.rendezvous import (
    audit_duty,
    lot_duty,
    moved_duties,
    owner,
    rank,
    weights_duty,
)

__all__ = ["audit_duty", "lot_duty", "moved_duties", "owner", "rank", "weights_duty"]
