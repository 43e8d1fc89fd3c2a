"""Table of the results of played days."""

import importlib.util
import json
from pathlib import Path

import pytest

PROGRAM = Path(__file__).parents[2] / "deploy" / "plays.py"


@pytest.fixture
def plays():
    """Load the program, which is no part of a package."""
    spec = importlib.util.spec_from_file_location("plays", PROGRAM)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def entry(**day):
    """Return a journal entry with one day."""
    usual = {
        "name": "trouble-1",
        "G": 0.812,
        "parts": [["whole day", 0.7, 0.97], ["worst windows", 0.15, 0.75]],
        "prices": [["machine-seconds", 10.0, 0.04], ["cloud calls", 5.0, 0.02]],
        "gate": True,
        "rules": {},
    }
    return json.dumps({"site": "large", "days": [{**usual, **day}]}).encode()


def test_days_are_listed_with_worth_and_worst_windows(plays):
    """Guards against a table that hides the weakest figures."""
    text = plays.table(plays.read_entry(entry()))
    assert text.endswith("| large | trouble-1 | 0.812 | 0.75 | 0.060 | passed | none |")


def test_broken_rules_are_named(plays):
    """Guards against a day that broke a rule and looks like any other."""
    text = plays.table(plays.read_entry(entry(gate=False, rules={"TWICE": 1})))
    assert text.endswith("| failed | TWICE |")


def test_entry_of_an_unfinished_play_has_no_days(plays):
    """Guards against a failure on the entry of a play that was ended."""
    assert plays.read_entry(b'{"site": "large", "days": null}') == []


def test_failed_plays_end_with_an_error(plays, monkeypatch, tmp_path):
    """Guards against a regression run that reports success without results."""
    monkeypatch.setattr(plays, "JOURNAL", tmp_path)
    assert plays.main(["--bench", "false", "--why", "test", "site.toml"]) == 1
