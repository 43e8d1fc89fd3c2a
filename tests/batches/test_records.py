"""Records of stored lots."""

import attrs
import pytest

from turmericreach.batches.records import read_record
from turmericreach.metadata import StoredObject

SPEC = {
    "owner": "h1", "itemCount": 2, "host": "h", "path": "/x", "model": "m",
    "expectedTokens": 2.0, "submittedMs": 1000, "submission": {},
}  # fmt: skip
NEW = StoredObject("lots", "lot1", 7, SPEC, None)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({}, False),
        ({"owner": "h2"}, True),
        ({"revision": 8}, True),
        ({"object": attrs.evolve(NEW, status={"owner": "h1", "ended": False})}, True),
    ],
)
def test_a_changed_lot_may_have_a_former_owner(change, expected):
    """Guards against a takeover that does not stop the former owner from listing results."""
    assert attrs.evolve(read_record(NEW), **change).may_have_former_owner() is expected
