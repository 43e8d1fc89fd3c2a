"""Deselects the known failing tests that are listed by id in KNOWN-RED.txt."""

import gc
import os
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
# Environment variable that also runs the listed tests, for example while fixing one of them.
RUN_ALL = "RUN_KNOWN_RED"


def read_known_red() -> list[str]:
    """Return the test ids in the lines that start with ``test:``."""
    if not KNOWN_RED.exists():
        return []
    names = []
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("test:"):
            names.append(line.removeprefix("test:").strip())
    return names


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the listed tests, unless `RUN_ALL` is set in the environment."""
    listed = read_known_red()
    config.known_red = []
    if not listed or os.environ.get(RUN_ALL):
        return
    kept = []
    for item in items:
        if item.nodeid in listed:
            config.known_red.append(item.nodeid)
            continue
        kept.append(item)
    config.hook.pytest_deselected(items=[item for item in items if item not in kept])
    items[:] = kept


def pytest_terminal_summary(terminalreporter, config):
    """Print the ids of the deselected tests."""
    for name in getattr(config, "known_red", []):
        terminalreporter.write_line(f"KNOWN RED, not run: {name}")


@pytest.hookimpl(trylast=True)
def pytest_runtest_teardown():
    """Collect what a test has left.

    A stream that is collected after its event loop is closed raises an error. If that happens while
    the interpreter builds a syntax tree, the traceback of the error needs another one, and CPython
    3.11.6 fails with "AST constructor recursion depth mismatch".
    """
    gc.collect(1)
