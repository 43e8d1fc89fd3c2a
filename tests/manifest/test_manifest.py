"""Tests of validation, encoding, differences and revisions of the manifest."""

import attrs
import jsonschema
import pytest
import yaml
from hypothesis import given, settings

from tests.builders.manifests import MANIFEST_TEXT, manifests
from turmericreach.documents.loader import CoreLoader
from turmericreach.manifest import (
    Change,
    GenerationConflict,
    ManifestError,
    Revision,
    decode_manifest,
    decode_revision,
    diff_manifests,
    encode_manifest,
    encode_revision,
    load_manifest,
    manifest_schema,
    plan_apply,
)


def problems_of(text):
    with pytest.raises(ManifestError) as caught:
        load_manifest(text, "m.yaml")
    return caught.value.problems


def test_valid_manifest():
    """Guards against opening times that are parsed as base-60 numbers of YAML 1.1."""
    manifest = load_manifest(MANIFEST_TEXT, "m.yaml")
    assert (manifest.sites[0].opens, manifest.sites[0].closes) == ("09:00", "18:00")
    assert manifest.targets[0].slots == 16


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "message"),
    [
        ("slots: 16", "slots: 0", 19, "targets[0].slots", "at least 1"),
        ("slots: 16", "slots: 1.5", 19, "targets[0].slots", "whole number"),
        ("slots: 16", "slots: true", 19, "targets[0].slots", "whole number"),
        ("slots: 16", "slotz: 16", 19, "targets[0].slotz", "unknown key"),
        ("slots: 16", "name: t2", 19, "targets[0].name", "duplicate key"),
        ("service: assistant", "service: none", 15, "targets[0].service", "not among services"),
        ("e: tampere\n", "e: oulu\n", 16, "targets[0].data_centre", "not among data_centres"),
        ("model: assistant}", "model: gone}", 9, "services[0].model", "not among models"),
        (", model: assistant}", "}", 9, "services[0].model", "requires it"),
        ("Europe/Helsinki", "Europe/Atlantis", 22, "sites[0].time_zone", "IANA"),
        ("Europe/Helsinki", "../etc/passwd", 22, "sites[0].time_zone", "IANA"),
        ("18:00", "25:00", 24, "sites[0].closes", "matches"),
        ("18:00", "09:00", 24, "sites[0].closes", "another time"),
        ("0.25", "1.25", 25, "sites[0].reserved_share", "at most 1"),
        ("0.25", ".nan", 25, "sites[0].reserved_share", "a number"),
        ("name: turku", "name: tampere", 5, "data_centres[1].name", "duplicate name"),
        ("name: fittings", "name: Fittings!", 27, "trainers[0].name", "matches"),
        ("10.0.0.5:7400", "host:7400", 18, "targets[0].agent", "ip:port"),
        ("POST /orders", "orders", 12, "services[1].non_idempotent_paths[0]", "/path"),
        ("name: assistant\ns", "{name: assistant, activate_after_s: 0}\ns", 7,
         "models[0].activate_after_s", "more than 0"),
        ("schema: 1", "schema: 2", 1, "schema", "at most 1"),
    ],
)  # fmt: skip
def test_each_problem_names_line_and_key(old, new, line, key, message):
    """Guards against an invalid value that is accepted or reported at the wrong line or key."""
    assert old in MANIFEST_TEXT
    (problem,) = problems_of(MANIFEST_TEXT.replace(old, new, 1))
    assert (problem.line, problem.key) == (line, key)
    assert message in problem.message


def test_all_problems_are_reported():
    """Guards against validation that stops at the first problem."""
    text = MANIFEST_TEXT.replace("slots: 16", "slots: 0").replace("Europe/Helsinki", "Mars")
    assert [problem.line for problem in problems_of(text + "colour: red\n")] == [19, 22, 28]


def test_json_schema_agrees_with_validation():
    """Guards against a JSON Schema that is invalid or accepts what `load_manifest` rejects."""
    schema = manifest_schema()
    jsonschema.Draft202012Validator.check_schema(schema)
    validator = jsonschema.Draft202012Validator(schema)
    document = yaml.load(MANIFEST_TEXT, CoreLoader)
    assert list(validator.iter_errors(document)) == []
    for change in ({"slots": 0}, {"name": "A"}, {"colour": 1}, {"url": "x"}, {"drain": 1}):
        invalid = {**document, "targets": [{**document["targets"][0], **change}]}
        assert list(validator.iter_errors(invalid)), change


@settings(derandomize=True, deadline=None, max_examples=60)
@given(manifests())
def test_round_trip(manifest):
    """Guards against a value that encoding changes, or that the YAML loader rejects."""
    data = encode_manifest(manifest)
    assert decode_manifest(data) == manifest
    assert encode_manifest(decode_manifest(data)) == data
    assert load_manifest(data.decode(), "m.json") == manifest
    revision = Revision(3, "c3", "ci", 1.5, manifest, "c2")
    assert decode_revision(encode_revision(revision)) == revision


@pytest.mark.parametrize("data", [b"", b"{}", b"\xff", b"[" * 100_000, b'{"schema":"1"}'])
def test_bad_json_is_a_manifest_error(data):
    """Guards against a damaged object that raises an exception other than `ManifestError`."""
    with pytest.raises(ManifestError):
        decode_manifest(data)


def test_diff_addresses_entries_by_name():
    """Guards against a reordered list that is reported as a change, and against wrong paths."""
    old = load_manifest(MANIFEST_TEXT, "m.yaml")
    target = attrs.evolve(old.targets[0], slots=4)
    new = attrs.evolve(old, targets=[target], data_centres=old.data_centres[::-1], sites=[])
    changes = diff_manifests(old, new)
    assert changes[0] == Change("targets[t1].slots", 16, 4)
    assert [change.path for change in changes[1:]] == ["sites[shop]"]
    assert changes[1].new is None
    assert diff_manifests(new, new) == []


def test_concurrent_applies_conflict_and_a_repeated_one_does_not():
    """Guards against two changes from the same generation that both succeed."""
    manifest = load_manifest(MANIFEST_TEXT, "m.yaml")
    first = plan_apply(None, manifest, 0, change_id="a", author="ci", applied_at=1.0)
    second = plan_apply(first, manifest, 1, change_id="b", author="ci", applied_at=2.0)
    assert (second.generation, second.parent) == (2, "a")
    assert plan_apply(second, manifest, 1, change_id="b", author="ci", applied_at=3.0) is second
    with pytest.raises(GenerationConflict) as caught:
        plan_apply(second, manifest, 1, change_id="c", author="ci", applied_at=3.0)
    assert (caught.value.expected, caught.value.actual) == (1, 2)
