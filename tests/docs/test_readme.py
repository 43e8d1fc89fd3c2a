"""The README, compared with the Makefile and the files that it names."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
TEXT = (ROOT / "README.md").read_text()


def test_every_make_target_exists():
    """Guards against commands that the Makefile does not have."""
    targets = set(re.search(r"^\.PHONY: (.*)$", (ROOT / "Makefile").read_text(), re.M)[1].split())
    named = set(re.findall(r"`?make ([a-z]+)", TEXT))
    assert named
    assert named <= targets


def test_every_link_and_folder_exists():
    """Guards against paths that were moved; Sphinx does not read the README."""
    paths = re.findall(r"\]\(([^)#:]+)\)", TEXT) + re.findall(r"^\| `([\w./]+)` \|", TEXT, re.M)
    assert len(paths) > 10
    assert [path for path in paths if not (ROOT / path).exists()] == []
