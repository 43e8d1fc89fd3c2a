"""Documents and messages of the platform, sound and strange."""

import pytest

from tests.builders.fleet_world import configuration, item, route, submission
from turmericreach.batches.model import ItemResult
from turmericreach.http1 import Headers
from turmericreach.metadata import StoredObject
from turmericreach.platform import documents, lots, targets
from turmericreach.platform import store as store_wire
from turmericreach.platform.decoding import DecodeError, decode_json
from turmericreach.services import RouteKind


def entry(**fields):
    """Return a target's entry."""
    spec = {
        "service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 8, "state": "ready",
        "models": [{"name": "m", "version": 3}], "seq": 4, "born": 17, **fields,
    }  # fmt: skip
    return StoredObject("servers", "i-1", 5, spec, None)


def test_target_entry():
    """Guards against a field that is taken for another."""
    record = documents.decode_target(entry())
    assert (record.id, record.service, record.started_ms, record.slots) == ("i-1", "s", 17, 8)
    assert record.model_versions == {"m": 3}
    assert record.orders_accepted == 4
    assert not record.draining
    assert documents.decode_target(entry(state="draining")).draining


@pytest.mark.parametrize(
    "change",
    [
        {"service": None}, {"service": 5}, {"state": "asleep"}, {"state": None}, {"address": "x"},
        {"address": "host:port"}, {"slots": "8"}, {"slots": True}, {"models": [5]}, {"born": 1.5},
    ],
)  # fmt: skip
def test_strange_entries_name_no_target(change):
    """Guards against requests to a target that a foreign entry names."""
    with pytest.raises(DecodeError):
        documents.decode_target(entry(**change))


@pytest.mark.parametrize("spec", [None, "text", 5, [], b""])
def test_entries_that_are_no_objects_name_no_target(spec):
    """Guards against an internal error on bytes that cannot be read."""
    with pytest.raises(DecodeError):
        documents.decode_target(StoredObject("servers", "i-1", 5, spec, None))


def test_configuration_finds_the_longest_prefix():
    """Guards against a request that takes a more general route."""
    routes = [
        route("a", "/", "safe", "one"),
        route("b", "/x/", "unsafe", "two"),
        route("c", "/x/y/", "rollout", "three"),
    ]
    decoded = documents.decode_configuration(configuration(7, routes))
    assert decoded.version == 7
    assert decoded.find_route("MODELS.example:80", "/x/y/z").name == "c"
    assert decoded.find_route("models.example", "/x/z").kind is RouteKind.UNSAFE
    assert decoded.find_route("models.example", "/q").name == "a"
    assert decoded.find_route("other.example", "/q") is None


def test_route_of_a_kind_that_is_not_known_is_not_repeated():
    """Guards against repeating what may run once only."""
    decoded = documents.decode_configuration(configuration(1, [route("a", "/", "novel", "one")]))
    assert decoded.routes[0].kind is RouteKind.UNSAFE


def test_split_route_follows_its_weights():
    """Guards against a service with weight 0 that gets requests."""
    import random

    split = [{"service": "one", "weight": 0}, {"service": "two", "weight": 5}]
    decoded = documents.decode_configuration(
        configuration(1, [route("a", "/", "safe", None, split=split)])
    )
    source = random.Random(1)
    assert {decoded.routes[0].choose_service(source) for _ in range(50)} == {"two"}


def test_forwarded_fields_keep_the_callers_and_replace_the_products():
    """Guards against a field of the caller that is lost, or one that it must not set."""
    headers = Headers(
        [
            ("Host", "h"), ("X-Attempt-Id", "a"), ("X-Deadline-Ms", "900"), ("X-Own", "1"),
            ("X-Expect-Instance", "i-9"), ("Connection", "x-hop"), ("X-Hop", "1"),
        ]
    )  # fmt: skip
    fields = targets.forwarded_fields(headers, "i-1", 0.25)
    assert fields == [
        ("Host", "h"), ("X-Attempt-Id", "a"), ("X-Own", "1"),
        ("X-Deadline-Ms", "250"), ("X-Expect-Instance", "i-1"),
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("status", "fields", "not_run"),
    [
        (503, [("X-Not-Executed", "1")], True),
        (503, [], False),
        (421, [], True),
        (500, [], False),
        (400, [("X-Not-Executed", "1")], True),
    ],
)
def test_only_the_agreed_answers_say_not_run(status, fields, not_run):
    """Guards against calling a request not run that has run."""
    assert targets.read_answer(status, Headers(fields)).not_run is not_run


@pytest.mark.parametrize("text", ["", "1,2", "a,b,c", "1,2,3,4", "-1,0,8"])
def test_strange_load_fields_tell_nothing(text):
    """Guards against an internal error on a load field."""
    assert targets.read_answer(200, Headers([("X-Server-Load", text)])).load is None


def test_version_lines():
    """Guards against a version change within a stream that is missed."""
    assert targets.version_of_line("x-weight-versions: 12") == 12
    assert targets.version_of_line("X-Weight-Versions:3") == 3
    assert targets.version_of_line("x-weight-versions: none") is None
    assert targets.version_of_line("event: x") is None


def test_submission():
    """Guards against an item that loses a part."""
    document = submission([item("i1", "g1", hint=70)], min_version=4, step=5)
    spec = lots.decode_submission("lot", "h", "/rollout/x", document)
    assert (spec.step, spec.min_version, spec.model) == (5, 4, "m0")
    [decoded] = spec.items
    assert (decoded.id, decoded.group, decoded.body) == ("i1", "g1", b"prompt i1")
    assert decoded.expected_tokens == 70
    assert decoded.scorer.body == b"judge"


def test_output_limit_stands_in_for_a_missing_estimate():
    """Guards against items without an estimate that count as nothing."""
    value = item("i1")
    del value["headers"]["X-Length-Hint"]
    spec = lots.decode_submission("lot", "h", "/x", submission([value]))
    assert spec.items[0].expected_tokens == 50


def test_results_as_callers_read_them():
    """Guards against results in another form than agreed."""
    results = [ItemResult("i1", True, "a\nb", [1, 2], "stamp"), ItemResult("i2", False)]
    assert decode_json(lots.encode_results(5, 3, results)) == {
        "total": 5,
        "nextToken": 5,
        "results": [
            {
                "id": "i1", "state": "completed", "text": "a\nb", "versions": [1, 2],
                "score": "stamp",
            },
            {"id": "i2", "state": "abandoned", "text": "", "versions": []},
        ],
    }  # fmt: skip


def test_paths_of_lots():
    """Guards against a caller's path that is taken for a lot's."""
    assert lots.lot_call("/api/lots/abc") == "abc"
    assert lots.lot_call("/api/lotsabc") is None
    assert lots.item_call("/api/items/abc") == "abc"
    assert not lots.is_lot_id("a/b")
    assert not lots.is_lot_id("")


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"items": 5, "storeRevision": 1}', b"\xff"])
def test_strange_lists_of_the_store_are_refused(body):
    """Guards against taking a truncated list for an empty one."""
    with pytest.raises(DecodeError):
        store_wire.decode_page_response("kind", body)


def test_conditional_calls_carry_the_revision():
    """Guards against a write without its condition."""
    call = store_wire.replace_call("kind", "a/b", {"x": 1}, 7)
    assert (call.method, call.target) == ("PUT", "/api/objects/kind/a%2Fb")
    assert decode_json(call.body)["metadata"] == {"name": "a/b", "revision": 7}
    assert store_wire.status_call("kind", "a", {}, 7).target == "/api/objects/kind/a/status"


def test_order_names_holder_token_and_condition():
    """Guards against an order that engines cannot check."""
    order = targets.VersionOrder("m", 4, "g1", 99, 6)
    assert decode_json(targets.encode_order(order)) == {
        "op": "version", "model": "m", "version": 4, "strategy": "keep", "holder": "g1",
        "fence": 99, "precondition": 6,
    }  # fmt: skip
