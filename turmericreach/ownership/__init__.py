"""Rendezvous hashing of duties over members."""

from turmericreach.ownership.rendezvous import (
    audit_duty,
    lot_duty,
    moved_duties,
    owner,
    rank,
    weights_duty,
)

__all__ = ["audit_duty", "lot_duty", "moved_duties", "owner", "rank", "weights_duty"]
