"""The cost benchmark's layout against the demo's classes and the manifest's checks."""

from benchmarks.cost.deployment import make_small_layout, write_manifest
from turmericreach.manifest import load_manifest
from turmericreach.settings import load_settings


def test_the_layout_gives_valid_settings_and_a_valid_manifest(tmp_path):
    """Guards against a benchmark that no longer starts after a change of the demo."""
    layout = make_small_layout(tmp_path)
    layout.write_settings()
    for daemon in layout.daemons:
        assert load_settings(layout.settings_file(daemon)).listen.advertised == daemon.address
    path = write_manifest(layout)
    manifest = load_manifest(path.read_text(), str(path))
    assert {target.agent for target in manifest.targets} == {layout.daemons[1].address}
