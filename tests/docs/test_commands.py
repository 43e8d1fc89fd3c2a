"""Tests that the page of commands matches the command line."""

import re
from pathlib import Path

import pytest

from turmericreach.cli.main import EXIT_CODE_HELP, app

PAGE = (Path(__file__).parents[2] / "docs" / "operations" / "commands.md").read_text()
SECTION = re.compile(r"^### `(turmericreach [a-z ]+)`\n(.*?)(?=^##|\Z)", re.MULTILINE | re.DOTALL)
SECTIONS = dict(SECTION.findall(PAGE))
GROUPS = {
    "gateway options": {"--gateway", "--token", "--ca"},
    "platform options": {"--platform", "--platform-token"},
}


def declared(group=app, path="turmericreach") -> dict[str, set[str]]:
    """Return the options of each command of the program."""
    found = {}
    for name in group:
        if name.startswith("-"):
            continue
        command = group[name]
        line = f"{path} {name}"
        if command.default_command is not None:
            arguments = command.assemble_argument_collection()
            names = {argument.names[0] for argument in arguments}
            found[line] = {item for item in names if item.startswith("--")}
        if command.default_command is None or list(command):
            found.update(declared(command, line))
    return found


def documented(text: str) -> set[str]:
    """Return the options that a section names, alone or as a group."""
    words = " ".join(text.split())
    found = set(re.findall(r"`(--[a-z-]+)`", words))
    for group, names in GROUPS.items():
        if group in words:
            found |= names
    return found


def test_the_page_has_every_command_and_no_other():
    """Guards against a command that is missing from the page, or described after its removal."""
    assert set(SECTIONS) == set(declared())


@pytest.mark.parametrize("line", sorted(declared()))
def test_a_section_names_every_option(line):
    """Guards against an option that is missing from the page."""
    missing = declared()[line] - documented(SECTIONS.get(line, ""))
    assert not missing


def test_the_page_has_every_exit_code():
    """Guards against exit codes whose meaning differs from the help."""
    for code, text in EXIT_CODE_HELP.items():
        assert f"| {int(code)} | {text} |" in PAGE
