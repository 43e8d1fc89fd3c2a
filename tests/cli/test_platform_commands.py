"""`explain` with log files, and `check` of deploy and settings files."""

import json
from pathlib import Path

import pytest

from turmericreach.cli.main import main
from turmericreach.cli.options import ExitCode
from turmericreach.telemetry.timeline import build_timeline

ROOT = Path(__file__).parents[2]


def line(time, event, host="g1", **fields):
    """Return a log line."""
    return json.dumps(
        {"time": time, "daemon": host, "event": event, "message": event, "fields": fields}
    )


LINES = [
    line(10.0, "request_tried", request="a1", target="t1", outcome="no whole answer"),
    line(10.1, "target_suspected", target="t1"),
    line(10.2, "request_tried", request="a1", target="t2", outcome="status 200"),
    line(10.3, "request_ended", request="a1", status=200),
    line(10.3, "request_ended", request="other", status=200),
    line(50.0, "dependency_lost", dependency="store"),
    line(11.0, "batch_accepted", lot="l1", items=2),
    line(12.0, "item_started", lot="l1", item="i1", target="t9"),
    line(12.0, "item_started", lot="l1", item="i2", target="t9"),
    line(13.0, "results_listed", lot="l1", total=2),
    "not a log line",
    "{broken",
]


def test_timeline_of_a_request_has_its_attempts_and_context():
    """Guards against a timeline without the event that explains a failed attempt."""
    timeline = build_timeline(LINES, "a1")
    assert [(row.event, row.context) for row in timeline] == [
        ("request_tried", False),
        ("target_suspected", True),
        ("request_tried", False),
        ("request_ended", False),
    ]


def test_timeline_of_an_item_has_its_lot_but_no_other_item():
    """Guards against a timeline of an item with hundreds of lines about other items."""
    timeline = build_timeline(LINES, "i1", with_context=False)
    assert [row.event for row in timeline] == ["batch_accepted", "item_started", "results_listed"]


def test_timeline_of_a_lot_has_its_items():
    """Guards against a timeline of a lot without its items."""
    assert len(build_timeline(LINES, "l1", with_context=False)) == 4


def test_explain_prints_json_from_a_folder(tmp_path, capsys):
    """Guards against JSON output that other programs cannot parse."""
    (tmp_path / "g1.log").write_text("\n".join(LINES))
    assert main(["explain", "a1", "--logs", str(tmp_path), "--output", "json"]) == ExitCode.OK
    rows = json.loads(capsys.readouterr().out)
    assert [row["event"] for row in rows][-1] == "request_ended"


def test_explain_reads_lines_with_a_prefix(tmp_path, capsys):
    """Guards against failing on logs whose collector adds a time and a host to each line."""
    (tmp_path / "all.log").write_text("\n".join(f"  3.21 g1 {text}" for text in LINES))
    assert main(["explain", "a1", "--logs", str(tmp_path / "all.log")]) == ExitCode.OK
    assert "request_tried" in capsys.readouterr().out


def test_unknown_id_has_an_exit_code_of_its_own(tmp_path):
    """Guards against a script that takes empty output for a request without problems."""
    (tmp_path / "g1.log").write_text("\n".join(LINES))
    assert main(["explain", "nothing", "--logs", str(tmp_path)]) == ExitCode.NOT_FOUND
    assert main(["explain", "a1", "--logs", str(tmp_path / "no")]) == ExitCode.BAD_INPUT


def test_deploy_file_of_the_project_is_valid():
    """Guards against a deploy file that the platform would reject."""
    assert main(["check", "--deploy", str(ROOT / "deploy" / "system.toml")]) == ExitCode.OK


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("build = 5", "build"),
        ('build = "x"', "roles"),
        ('build = "x"\n[roles.a]\nrun = "x"\non = "moon"\nserves = ["front"]', "roles.a.on"),
        ('build = "x"\n[roles.a]\nrun = "python3 no.py"\non = "front"', "no.py"),
        ('build = "x"\n[roles.a]\nrun = "x"\non = "front"\nshare = 2', "roles.a.share"),
        ('build = "x"\n[roles.a]\nrun = "x"\non = "front"\ncount = 0', "roles.a.count"),
        ('build = "x"\n[roles.a]\nrun = "x"\non = "front"\nserves = ["tea"]', "roles.a.serves"),
        ('build = "x"\n[roles.a]\nrun = "x"\non = "front"\nmetrics = "x"', "roles.a.metrics"),
        ('build = "x"\n[roles.a]\nrun = "x"\non = "front"\nserves = ["front"]', "serves store"),
        ("build = ", "system.toml"),
    ],
)
def test_errors_in_deploy_files_name_the_key(tmp_path, capsys, text, named):
    """Guards against an invalid deploy file that is found only during the rollout."""
    folder = tmp_path / "deploy"
    folder.mkdir()
    (folder / "system.toml").write_text(text)
    assert main(["check", "--deploy", str(folder / "system.toml")]) == ExitCode.BAD_INPUT
    assert named in capsys.readouterr().err


def test_errors_in_settings_name_the_key(tmp_path, capsys):
    """Guards against invalid settings that are found only when the process starts."""
    (tmp_path / "s.json").write_text('{"node": "g1"}')
    assert main(["check", "--settings", str(tmp_path / "s.json")]) == ExitCode.BAD_INPUT
    assert "platform" in capsys.readouterr().err
    assert main(["check"]) == ExitCode.BAD_INPUT
