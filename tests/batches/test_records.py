"""Records of stored lots."""

import attrs
import pytest

from turmericreach.batches.records import read_record
from turmericreach.metadata import StoredObject

NEW = StoredObject("lots", "lot1", 7, {"owner": "h1", "itemCount": 2}, None)


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
