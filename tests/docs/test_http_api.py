"""The page of the HTTP interface, compared with the routes, codes, headers and messages."""

import inspect
import re
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from turmericreach import api
from turmericreach.daemon.gateway_app import METHODS, build_app
from turmericreach.lots import GroupSpec, LotSpec, Sample
from turmericreach.settings.schema import LimitSettings
from turmericreach.verdicts import ErrorCode, Segment

TEXT = (Path(__file__).parents[2] / "docs" / "http-api.md").read_text()
HEADING = re.compile(r"^### `([A-Z]+) (/[^`]*)`$", re.MULTILINE)
CODE_ROW = re.compile(r"^\| `(\w+)` \| [-\d]", re.MULTILINE)
HEADER_ROW = re.compile(r"^\| `([A-Z][\w-]+)` \|", re.MULTILINE)
FIELD_ROW = re.compile(r"^\| `(\w+)` \| [^|]+ \| ([^|]+) \|", re.MULTILINE)
MESSAGES = [item for item in vars(api).values() if inspect.isclass(item)]
MESSAGES += [LotSpec, GroupSpec, Sample, Segment]


def served() -> set[tuple[str, str]]:
    """Return method and path of each route, with wildcards written as on the page."""
    settings = SimpleNamespace(limits=LimitSettings())
    app = build_app(SimpleNamespace(node=SimpleNamespace(settings=settings)))
    routes = set()
    for method, route in app.router.registered_routes:
        path = route.mustache_pattern.replace("/explain/*", "/explain/{id}").replace(
            "}/*", "}/{path}"
        )
        routes.add((method, path))
    return routes


def described() -> set[tuple[str, str]]:
    """Return method and path of each route on the page."""
    routes = set()
    for method, path in HEADING.findall(TEXT):
        if method != "ANY":
            routes.add((method, path))
            continue
        for one in METHODS:
            routes |= {(one, path), (one, path.removesuffix("/{path}"))}
    return routes


def section(title: str) -> str:
    """Return the text under a heading of the page, up to the next one."""
    return re.search(rf"^##+ {title}\n(.*?)(?=^##|\Z)", TEXT, re.MULTILINE | re.DOTALL)[1]


def test_page_has_exactly_the_routes_that_are_served():
    """Guards against routes without a description and descriptions without a route."""
    assert described() == served()


def test_page_has_exactly_the_error_codes():
    """Guards against error codes that the page does not explain, or that do not exist."""
    assert sorted(CODE_ROW.findall(section("Errors"))) == sorted(ErrorCode)


def test_page_has_the_headers():
    """Guards against a header whose meaning callers cannot look up."""
    names = {value for name, value in vars(api).items() if name.endswith("_HEADER")}
    assert names <= set(HEADER_ROW.findall(section("Headers")))


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: message.__name__)
def test_page_has_the_fields_of_a_message_with_their_defaults(message):
    """Guards against message fields or defaults that differ from the page."""
    rows = dict(FIELD_ROW.findall(section(f"`{message.__name__}`")))
    expected = {}
    for field in msgspec.inspect.type_info(message).fields:
        expected[field.encode_name] = default_text(field)
    assert rows == expected


def default_text(field) -> str:
    """Return a default as the page writes it."""
    if field.required:
        return "required"
    default = field.default
    if default is msgspec.NODEFAULT:
        default = field.default_factory()
    return f"`{msgspec.json.encode(default).decode()}`"
