"""Tests of the cost benchmark's layout with the demo's classes and manifest validation."""

from benchmarks.cost.deployment import make_small_layout, write_manifest
from turmericreach.manifest import load_manifest
from turmericreach.settings import load_settings


def test_the_layout_gives_valid_settings_and_a_valid_manifest(tmp_path):
    """Guards against a change of the demo that keeps the benchmark from starting."""
    layout = make_small_layout(tmp_path)
    layout.write_settings()
    for daemon in layout.daemons:
        assert load_settings(layout.settings_file(daemon)).listen.advertised == daemon.address
    path = write_manifest(layout)
    manifest = load_manifest(path.read_text(), str(path))
    assert {target.agent for target in manifest.targets} == {layout.daemons[1].address}
