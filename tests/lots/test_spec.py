"""Tests of the validation, encoding and storage of lot specs, and of cursors."""

import msgspec
import pytest

from tests.builders.lots import make_spec
from turmericreach.lots import (
    Cursor,
    GroupSpec,
    LotLimits,
    check_lot,
    decode_lot,
    encode_lot,
    is_redeclaration,
    join_lot,
    lot_objects,
)
from turmericreach.verdicts import RequestError

INVALID_FIELDS = [
    {"staleness_bound": -1},
    {"name": "Eyes"},
    {"name": "a/b"},
    {"name": "a" * 64},
    {"name": "eyes\n"},
    {"groups": []},
    {"groups": [GroupSpec("")]},
    {"groups": [GroupSpec("x" * 101)]},
    {"groups": [GroupSpec("x")] * 11},
    {"samples_per_group": 0},
    {"max_tokens": 0},
    {"temperature": float("nan")},
    {"deadline_s": 0.0},
    {"seed": -1},
    {"scoring_path": "score"},
    {"kind": ""},
]


@pytest.mark.parametrize("changes", INVALID_FIELDS, ids=lambda changes: str(list(changes)))
def test_refuses_bad_fields(changes):
    """Guards against accepting a lot that violates the limits or cannot be run."""
    limits = LotLimits(max_samples=20, max_prompt_bytes=100)
    check_lot(make_spec(), limits)
    with pytest.raises(RequestError) as caught:
        check_lot(make_spec(**changes), limits)
    assert caught.value.code == "bad_request"


@pytest.mark.parametrize("field", ["staleness_bound", "groups", "name"])
def test_refuses_missing_and_unknown_fields(field):
    """Guards against a missing or misspelt field that is silently replaced by a default."""
    fields = msgspec.json.decode(encode_lot(make_spec()))
    assert decode_lot(msgspec.json.encode(fields)) == make_spec()
    for body in (
        msgspec.json.encode({k: v for k, v in fields.items() if k != field}),
        msgspec.json.encode(fields | {"stalenes_bound": 1}),
        b'{"name": "\xff"',
    ):
        with pytest.raises(RequestError) as caught:
            decode_lot(body)
        assert caught.value.code == "bad_request"


def test_objects_are_small_and_commit_last():
    """Guards against values above the size limit of the object API and partly written lots."""
    spec = make_spec(groups=[GroupSpec("ä" * 300_000) for _ in range(3)])
    objects = lot_objects(spec)
    assert max(len(value) for _, value in objects) <= 512 * 1024
    assert objects[-1][0] == spec.name
    assert join_lot(objects[::-1]) == spec
    other = lot_objects(make_spec(groups=spec.groups, seed=7))
    assert not {name for name, _ in objects[:-1]} & {name for name, _ in other[:-1]}
    damaged = [(objects[0][0], objects[0][1].replace(b"assistant", b"assistent")), *objects[1:]]
    for broken in (objects[:-1], objects[1:], damaged):
        with pytest.raises(RequestError) as caught:
            join_lot(broken)
        assert caught.value.code == "unknown_lot"


def test_redeclaration():
    """Guards against a repeated declaration that changes a running lot."""
    assert not is_redeclaration(None, make_spec())
    assert is_redeclaration(make_spec(), make_spec())
    with pytest.raises(RequestError) as caught:
        is_redeclaration(make_spec(), make_spec(seed=3))
    assert caught.value.code == "conflict"


def test_cursor_round_trip_and_union():
    """Guards against a cursor that loses consumed samples."""
    cursor = Cursor(11).add(0, 10)
    assert Cursor.decode(cursor.encode(), 11) == cursor
    union = cursor.union(Cursor(11).add(3))
    assert [n for n in range(11) if union.contains(n)] == [0, 3, 10]
    assert (union.count(), cursor.count()) == (3, 2)


@pytest.mark.parametrize("text", ["", "AAAA", "!!", "AAg=", "AA", "ä"])
def test_cursor_refuses_other_lots(text):
    """Guards against accepting the cursor of another lot, which would skip samples."""
    with pytest.raises(RequestError):
        Cursor.decode(text, 11)
