"""Decoding of submitted lots, and encoding of their results."""

import base64
import binascii
import re
from typing import Any

import msgspec

from turmericreach.batches.model import BatchItem, BatchSpec, ItemResult, Scorer
from turmericreach.http1 import Headers, query_value, read_number
from turmericreach.platform.decoding import DecodeError, Fields
from turmericreach.platform.names import ITEMS_PATH, LENGTH_HINT, LOTS_PATH, TOKEN_COUNTS, WAIT_MS
from turmericreach.platform.targets import without_identity

__all__ = [
    "decode_submission",
    "encode_results",
    "is_lot_id",
    "items_lot_id_in_path",
    "lot_id_in_path",
    "read_position",
    "read_wait_s",
    "without_credentials",
]

MAX_ITEMS = 20_000
# Tokens that a trainer may expect of an item.
MAX_TOKENS = 1_000_000_000
FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
PATH = re.compile(r"/[\x21-\x7e]*")
# Value of a header field that is sent for a trainer.
FIELD_TOKEN = re.compile(r"[\x21-\x7e]{1,256}")
LOT_ID = re.compile(r"[A-Za-z0-9_-]{1,128}")
# Characters of a malformed value that an error shows.
MAX_SHOWN_CHARS = 100
# Longest time that a read of results waits for one.
MAX_WAIT_S = 5.0


def is_lot_id(text: str) -> bool:
    """Return whether a text is a valid identifier of a lot or an item."""
    return LOT_ID.fullmatch(text) is not None


def lot_id_in_path(path: str) -> str | None:
    """Return the lot identifier in the path to read or end a lot, or None for another path."""
    return path[len(LOTS_PATH) :] if path.startswith(LOTS_PATH) else None


def items_lot_id_in_path(path: str) -> str | None:
    """Return the lot identifier in the path to read an item, or None for another path."""
    return path[len(ITEMS_PATH) :] if path.startswith(ITEMS_PATH) else None


def read_position(query: str) -> int:
    """Return the position of the first result that a read requests."""
    text = query_value(query, "after") or "0"
    position = read_number(text)
    if position is None:
        raise DecodeError(f"after: unexpected {text[:MAX_SHOWN_CHARS]!r}")
    return position


def read_wait_s(headers) -> float:
    """Return how long a read may wait for a result, in seconds."""
    return min((headers.number(WAIT_MS) or 0.0) / 1000, MAX_WAIT_S)


def decode_submission(
    lot_id: str, host: str, path: str, document: Any, tenant: str = ""
) -> BatchSpec:
    """Return the lot that a trainer submits.

    Raises
    ------
    DecodeError
        If the lot does not have the expected form; the message names the field.
    """
    if not is_lot_id(lot_id):
        raise DecodeError("invalid lot id")
    fields = Fields(document)
    values = fields.list("items")
    if not values or len(values) > MAX_ITEMS:
        raise DecodeError(f"items: expected 1 to {MAX_ITEMS}")
    items = []
    for index, value in enumerate(values):
        items.append(decode_item(Fields(value, f"items[{index}]")))
    if len({item.id for item in items}) != len(items):
        raise DecodeError("items: duplicate id")
    return BatchSpec(
        id=lot_id,
        host=host,
        path=path,
        step=fields.integer("step", 0),
        model=fields.text("model", ""),
        min_version=fields.integer("minVersion", 0),
        items=tuple(items),
        target_groups=max(fields.integer("targetGroups", 0), 0),
        tenant=tenant,
    )


def without_credentials(document: dict[str, Any]) -> dict[str, Any]:
    """Return a valid submission whose items do not say who sends them.

    Submissions are stored and sent between processes, which must not get the key of a tenant.
    """
    items = []
    for item in document["items"]:
        headers = item.get("headers")
        if headers:
            item = {**item, "headers": dict(without_identity(headers.items()))}
        items.append(item)
    return {**document, "items": items}


def decode_item(fields: Fields) -> BatchItem:
    """Return one item of a lot."""
    headers = []
    for name, value in fields.get("headers", dict, {}).items():
        if not FIELD_NAME.fullmatch(name) or not is_field_value(value):
            raise DecodeError(f"{fields.field_path('headers')}: {name!r} is not a valid field")
        headers.append((name, value))
    path = decode_path(fields)
    item_id = fields.text("id")
    if not is_lot_id(item_id):
        raise DecodeError(f"{fields.field_path('id')}: unexpected {item_id!r}")
    scorer = None
    if fields.value.get("scorer") is not None:
        scorer = decode_scorer(fields.object("scorer"))
    return BatchItem(
        id=item_id,
        path=path,
        fields=headers,
        body=decode_base64(fields, "body"),
        tokens=fields.integer("tokens", 0),
        group=fields.text("group", item_id),
        expected_tokens=expected_tokens({name.lower(): value for name, value in headers}),
        scorer=scorer,
    )


def decode_scorer(fields: Fields) -> Scorer:
    """Return the call that scores an item."""
    path = decode_path(fields)
    for key in ("id", "host"):
        if not FIELD_TOKEN.fullmatch(fields.text(key)):
            raise DecodeError(f"{fields.field_path(key)}: cannot be sent in a header field")
    return Scorer(fields.text("id"), fields.text("host"), path, decode_base64(fields, "body"))


def decode_path(fields: Fields) -> str:
    """Return the path of an item or a scorer, checked to be a valid request target."""
    path = fields.text("path")
    if not PATH.fullmatch(path):
        raise DecodeError(f"{fields.field_path('path')}: unexpected {path!r}")
    return path


def is_field_value(value: Any) -> bool:
    """Return whether a value is a valid value of a header field."""
    return isinstance(value, str) and value.isascii() and (value.isprintable() or not value)


def decode_base64(fields: Fields, key: str) -> bytes:
    """Return the bytes that a base64 field encodes."""
    try:
        return base64.b64decode(fields.text(key, ""), validate=True)
    except (binascii.Error, ValueError) as error:
        raise DecodeError(f"{fields.field_path(key)}: invalid base64") from error


def expected_tokens(headers: dict[str, str]) -> float:
    """Return the expected output tokens of an item: its estimate, else its limit, else 1.

    Parameters
    ----------
    headers : dict of str to str
        Header fields by lower-case name.
    """
    hint = Headers(headers.items()).number(LENGTH_HINT)
    if hint is not None and hint <= MAX_TOKENS:
        return max(hint, 1.0)
    counts = headers.get(TOKEN_COUNTS.lower(), "").split(",")
    return float(min(read_number(counts[-1].strip()) or 1, MAX_TOKENS))


def encode_results(total: int, after: int, results: list[ItemResult]) -> bytes:
    """Return the body of the response to a read of results.

    Parameters
    ----------
    total : int
        Number of items in the lot.
    after : int
        Position of the first of the results.
    results : list of ItemResult
        Results from that position on.
    """
    listed = []
    for result in results:
        value = {
            "id": result.item,
            "state": "completed" if result.completed else "abandoned",
            "text": result.text,
            "versions": result.versions,
        }
        if result.score:
            value["score"] = result.score
        listed.append(value)
    return msgspec.json.encode(
        {"total": total, "nextToken": after + len(results), "results": listed}
    )
