"""Objects of other writers in the metadata store that no process expects."""

import asyncio
import json

import pytest

from tests.builders.fleet_world import MODEL, eventually, item, submission
from turmericreach.coordination import names
from turmericreach.coordination.names import LOTS_KIND, OWN_KIND
from turmericreach.http1 import ConnectFailed, ConnectionPool
from turmericreach.platform import json_parts, store
from turmericreach.platform.decoding import DecodeError, decode_json

USUAL = {
    "service": "portal", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8,
    "state": "ready", "models": [], "seq": 0, "born": 1000,
}  # fmt: skip


def entry(**fields):
    """Return the encoded entry of a target with other fields."""
    return json.dumps({**USUAL, **fields}).encode()


def nested(depth, opening=b"[", closing=b"]"):
    """Return an encoded entry with a field that is nested to a depth."""
    value = opening * depth + closing * depth
    return entry(zone="PLACE").replace(b'"PLACE"', value)


ODD_ENTRIES = {
    "lone surrogate": entry(zone="PLACE").replace(b"PLACE", rb"\ud800\udc41\udfff"),
    "half of a surrogate": entry(zone="PLACE").replace(b"PLACE", rb"\ud800"),
    "bytes that are no UTF-8": entry(zone="PLACE").replace(b"PLACE", b"\xff\xfe\xb2\x80"),
    "a control character": entry(zone="PLACE").replace(b"PLACE", b"a\x00\nb"),
    "brackets in a text": entry(zone='}]}, "x": [{[\\" ', slots="\ud800"),
    "nested 40 levels": nested(40),
    "nested 900 levels": nested(900),
    "nested 100,000 levels": nested(100_000),
    "objects nested 5,000 levels": nested(5_000, b'{"a":', b"}").replace(b":}", b":1}"),
    "no number": entry(slots="PLACE").replace(b'"PLACE"', b"NaN"),
    "a number over the largest float": entry(born="PLACE").replace(b'"PLACE"', b"1e999"),
    "a number of 30 digits": entry(born=int("9" * 30)),
    "a number of 5,000 digits": entry(slots="PLACE").replace(b'"PLACE"', b"9" * 5000),
    "a whole float over 64 bits": entry(seq=1e300),
    "many slots": entry(slots=10**9),
    "port out of range": entry(address="127.0.0.1:99999"),
    "port of 40 digits": entry(address="127.0.0.1:" + "9" * 40),
    "port of odd digits": entry(address="127.0.0.1:\u0663"),
    "no IP address": entry(address="\u00e9" * 300 + ":80"),
    "a long text": entry(service="x" * 5000),
    "a large entry": entry(extra="x" * 100_000),
    "many models": entry(models=[{"name": f"m{n}", "version": 1} for n in range(1000)]),
    "a model without a name": entry(models=[{"version": 1}]),
    "a list": b"[]",
    "nothing": b"null",
    "a truth value": b"true",
    "a text": b'"text"',
}


async def check_is_followed(world, gateways):
    """Check that the change of a target reaches gateways, and that all serve callers."""
    target = world.targets["p1"]
    world.store.put("servers", "p1", target.entry("draining"))
    for gateway in gateways:
        await eventually(lambda gateway=gateway: gateway.directory.targets["p1"].record.draining)
    for number, gateway in enumerate(gateways):
        status, _, body = await world.call(gateway, "POST", "/lookup/1", attempt=f"c{number}")
        assert (status, body) == (200, f"p2 answers c{number}".encode())


@pytest.mark.parametrize("name", ODD_ENTRIES)
async def test_odd_entry_hides_no_change_of_a_target(world, name):
    """Guards against gateways that no longer follow the targets after one odd entry."""
    gateways = [await world.add_gateway(host) for host in ("g1", "g2")]
    world.store.put_raw("servers", "odd", ODD_ENTRIES[name])
    await asyncio.sleep(0.3)
    await check_is_followed(world, gateways)
    assert all("odd" not in gateway.directory.targets for gateway in gateways)


@pytest.mark.parametrize("name", ODD_ENTRIES)
async def test_gateway_starts_while_an_odd_entry_is_listed(world, name):
    """Guards against a gateway that never becomes ready, and one that ends at its start."""
    world.store.put_raw("servers", "odd", ODD_ENTRIES[name])
    gateway = await world.add_gateway("g1")
    await check_is_followed(world, [gateway])


async def test_target_is_not_used_once_its_entry_cannot_be_read(world):
    """Guards against requests to a target whose entry another writer has replaced."""
    gateway = await world.add_gateway("g1")
    assert "p1" in gateway.directory.targets
    world.store.put_raw("servers", "p1", nested(2000))
    await eventually(lambda: "p1" not in gateway.directory.targets)
    world.store.put("servers", "p1", world.targets["p1"].entry())
    await eventually(lambda: "p1" in gateway.directory.targets)


async def test_name_that_fits_no_header_field_names_no_target(world):
    """Guards against header fields that another writer adds to requests, and failing requests."""
    gateway = await world.add_gateway("g1")
    for name in ("a\r\nX-Not-Executed: 1", "\u4e2d", "a b", "x" * 300):
        world.store.put("servers", name, {**USUAL, "address": world.targets["p1"].address})
    await check_is_followed(world, [gateway])
    assert set(gateway.directory.targets) == {"p1", "p2", "e1", "e2"}


@pytest.mark.parametrize("spec", [b"null", b"[]", b'"x"', b'{"engines": 5}', nested(3000)])
@pytest.mark.parametrize("name", ["duty", "division", "host-x", "software-x", "crashing-x"])
async def test_odd_objects_of_other_kinds_end_no_watch(world, name, spec):
    """Guards against a watch that stops at an object which another writer has stored."""
    known = {
        "duty": names.DUTY_NAME, "division": names.DIVISION_NAME,
        "host-x": names.HOST_PREFIX + "x", "software-x": names.SOFTWARE_PREFIX + "x",
        "crashing-x": names.CRASHING_PREFIX + "x",
    }  # fmt: skip
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token is not None)
    world.store.put_raw(OWN_KIND, known[name], spec)
    world.store.put(
        OWN_KIND, names.HOST_PREFIX + "later", {"address": "127.0.0.1:9", "incarnation": "i"}
    )
    await eventually(lambda: "later" in gateway.peers.peers)
    await check_is_followed(world, [gateway])


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "host.example:80", "", "\u00e9:1"])
async def test_process_with_an_odd_address_is_no_peer(world, address):
    """Guards against pings that look a name up, and against a peer that can never respond."""
    gateway = await world.add_gateway("g1")
    for name, value in (("odd", address), ("later", "127.0.0.1:9")):
        spec = {"address": value, "incarnation": "i"}
        world.store.put(OWN_KIND, names.HOST_PREFIX + name, spec)
    await eventually(lambda: "later" in gateway.peers.peers)
    assert "odd" not in gateway.peers.peers


@pytest.mark.parametrize("spec", [b"null", b'{"owner": 5}', b'{"owner": "g1"}', nested(3000)])
async def test_odd_lot_of_another_writer_leaves_other_lots_served(world, spec):
    """Guards against a coordinator and an owner that stop at an unreadable lot."""
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token is not None)
    world.store.put_raw(LOTS_KIND, "odd", spec)
    world.store.put(LOTS_KIND, "odd2", {"owner": "g1"}, status="ended")
    status, _ = await world.read(gateway, "odd")
    assert status == 503
    assert await world.submit(gateway, "odd", submission([item("i9")])) == 504
    assert await world.submit(gateway, "lot1", submission([item("i1")])) == 202
    (result,) = await world.read_all(gateway, "lot1", 1)
    assert result["state"] == "completed"


@pytest.mark.parametrize("spec", [b"null", b'{"results": 5}', b'{"results": [{}]}', nested(3000)])
async def test_odd_results_of_another_writer_leave_a_lot_served(world, spec):
    """Guards against an accepted lot that no process runs since its log cannot be read."""
    gateway = await world.add_gateway("g1")
    world.store.put_raw("lot-lot1", "000000", spec)
    await world.submit(gateway, "lot1", submission([item("i1")]))
    (result,) = await world.read_all(gateway, "lot1", 1)
    assert result["state"] == "completed"


@pytest.mark.parametrize("name", ["nested 100,000 levels", "a number of 30 digits"])
async def test_odd_version_leaves_the_versions_of_other_models(world, name):
    """Guards against engines that keep their weights since another object is unreadable."""
    gateway = await world.add_gateway("g1")
    await eventually(lambda: gateway.duty.token is not None)
    world.store.put_raw("versions", "odd", ODD_ENTRIES[name])
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await eventually(lambda: world.targets["e1"].models[MODEL] == 2)


def test_page_of_odd_objects_is_continued_after_the_last_one():
    """Guards against a list that ends early, or that never ends, at an unreadable object."""
    odd = b'{"metadata":{"name":"b","revision":4},"spec":"\\ud800"}'
    usual = b'{"metadata":{"name":"a","revision":3},"spec":{}}'
    body = b'{"items":[%b, %b],"hasMore":true,"storeRevision":9}' % (usual, odd)
    page, problems = store.decode_page_response("servers", body)
    assert [object.name for object in page.objects] == ["a", "b"]
    assert page.next_after == "b"
    assert page.objects[1].spec is None
    assert len(problems) == 1


@pytest.mark.parametrize("depth", [0, 1, 5])
def test_parts_of_a_document_are_the_same_as_those_that_a_decoder_finds(depth):
    """Guards against a split at a bracket or comma that is part of a text."""
    value = ['a,b]}"\\', {"x": [1, 2, {"y": None}], "{": "["}, [], {}, -1.5e3, "", "\u2028"]
    for _ in range(depth):
        value = [value, {"v": value}]
    for separators in ((",", ":"), (" , ", " : ")):
        encoded = json.dumps({"items": value, "n": 1}, separators=separators).encode()
        members = json_parts.split_object(encoded)
        assert {name: json.loads(part) for name, part in members.items()} == json.loads(encoded)
        assert [json.loads(part) for part in json_parts.split_array(members["items"])] == value


@pytest.mark.parametrize("body", [b"", b"[", b"{", b'{"items":[', b"]", b'"', b"null", b"{5:1}"])
def test_document_with_unmatched_brackets_is_a_decode_error(body):
    """Guards against an internal error on a response that is cut."""
    with pytest.raises(DecodeError):
        store.decode_page_response("servers", body)
    with pytest.raises(DecodeError):
        store.decode_watch_response("servers", body)


@pytest.mark.parametrize("data", [b"[" * 40 + b"]" * 40, b"9" * 30, b"[" * 10**6, b"-" + b"9" * 30])
def test_value_that_could_not_be_passed_on_is_a_decode_error(data):
    """Guards against values that decode here and fail to be encoded or decoded elsewhere."""
    with pytest.raises(DecodeError):
        decode_json(data)


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:", "x:y", ":", "", "\u00e9:1"])
async def test_connection_to_an_odd_address_fails_as_any_other(address):
    """Guards against an error that ends more than the attempt."""
    with pytest.raises(ConnectFailed):
        await ConnectionPool(0.5).acquire(address)


@pytest.mark.parametrize("hint", ["inf", "nan", "1e999", "-5", "9" * 40, "\u00b2", "1e300"])
async def test_lot_with_an_odd_estimate_is_run(world, hint):
    """Guards against an accepted lot whose record cannot be read, since its estimate is no number.

    JSON has no infinity; such a value is stored as null.
    """
    gateway = await world.add_gateway("g1")
    odd = item("i1")
    odd["headers"]["X-Length-Hint"] = hint
    status = await world.submit(gateway, "lot1", submission([odd]))
    if status == 400:
        # The field is not ASCII, so that it could not be sent.
        assert not hint.isascii()
        return
    assert status == 202
    (result,) = await world.read_all(gateway, "lot1", 1)
    assert result["state"] == "completed"
