"""The tables of settings in the operator's pages, compared with the schemas."""

import enum
import re
import typing
from pathlib import Path

import attrs
import msgspec
import pytest

from turmericreach.manifest import Manifest
from turmericreach.settings import DaemonSettings

PAGES = Path(__file__).parents[2] / "docs" / "operations"
ROW = re.compile(r"^\| `([\w.\[\]]+)` \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$", re.MULTILINE)


def documented() -> dict[str, str]:
    """Return the default that the pages give for each setting."""
    found = {}
    for page in sorted(PAGES.glob("*.md")):
        for key, _, default, _ in ROW.findall(page.read_text()):
            assert key not in found, f"{key} is in two pages"
            found[key] = default.strip()
    return found


def declared(model, prefix: str = "") -> dict[str, str]:
    """Return the default of each field of an attrs class, sections written as ``a.b``."""
    found = {}
    for field, kind in typing.get_type_hints(model).items():
        path = f"{prefix}{field}"
        if attrs.has(kind) and prefix == "" and model is DaemonSettings:
            found.update(declared(kind, f"{path}."))
            continue
        found[path] = default_text(attrs.fields_dict(model)[field], kind)
        if attrs.has(kind):
            found.update(declared(kind, f"{path}."))
        for item in typing.get_args(kind):
            if attrs.has(item):
                found.update(declared(item, f"{path}[]."))
    return found


def default_text(field: attrs.Attribute, kind) -> str:
    """Return a default as the pages write it."""
    default = field.default
    if default is attrs.NOTHING:
        return "required"
    if isinstance(default, attrs.Factory):
        default = default.factory()
    if attrs.has(kind):
        return "defaults"
    if isinstance(default, enum.Enum):
        default = default.value
    text = msgspec.json.encode(default).decode().replace('","', '", "')
    return f"`{text}`"


@pytest.mark.parametrize("model", [DaemonSettings, Manifest])
def test_every_field_is_documented_with_its_default(model):
    """Guards against a field that was added or changed without its page."""
    pages = documented()
    expected = declared(model)
    assert {key: pages.get(key) for key in expected} == expected


def test_no_page_documents_a_removed_field():
    """Guards against documented settings that no longer exist."""
    assert documented().keys() <= declared(DaemonSettings).keys() | declared(Manifest).keys()
