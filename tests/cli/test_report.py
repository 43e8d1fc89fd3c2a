"""`report` with log files."""

import json

from turmericreach.cli.main import main
from turmericreach.cli.options import ExitCode
from turmericreach.telemetry.series import quantile, read_series


def line(time, event, **fields):
    """Return a log line."""
    return json.dumps(
        {"time": time, "daemon": "g1", "event": event, "message": event, "fields": fields}
    )


LINES = [
    line(101.5, "request_failed", route="chat", status=504, ms=400.0),
    line(100.0, "request_ended", route="chat", status=200, ms=10.0),
    line(100.2, "request_ended", route="chat", status=200, ms=30.0),
    line(100.3, "batch_refused", lot="l2", status=503),
    line(100.4, "batch_accepted", lot="l1", items=4),
    line(100.5, "item_started", lot="l1", item="i1", waited_s=0.25),
    line(102.0, "results_listed", lot="l1", items=4, total=2),
    line(103.0, "results_listed", lot="l1", items=4, total=4),
    line(103.0, "results_listed", lot="empty", items=0, total=0),
    line(103.0, "request_ended", status=200),
    "no log line",
]


def test_series_match_the_log_lines():
    """Guards against plots whose values differ from the log."""
    series = read_series(LINES)
    assert series.latency_ms["chat"] == {0: [10.0, 30.0], 1: [400.0]}
    assert series.responses == {"200": {0: 2}, "504": {1: 1}, "lot 503": {0: 1}}
    assert series.waited_s == {0: [0.25]}
    assert series.lots["l1"] == [(0.4000000000000057, 0.0), (2.0, 0.5), (3.0, 1.0)]


def test_quantile_is_one_of_the_values():
    """Guards against an index beyond the last value."""
    assert quantile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert quantile([3.0, 1.0, 2.0], 1.0) == 3.0


def test_report_writes_plots(tmp_path, capsys):
    """Guards against plots that are missing or empty."""
    log = tmp_path / "g1.log"
    log.write_text("\n".join(LINES))
    out = tmp_path / "plots"
    assert main(["report", str(log), "--out", str(out)]) == ExitCode.OK
    names = sorted(path.name for path in out.iterdir())
    assert names == ["answers.svg", "latency.svg", "lots.svg", "waiting.svg"]
    assert all("<svg" in path.read_text() for path in out.iterdir())
    assert str(out / "lots.svg") in capsys.readouterr().err


def test_report_without_log_lines_writes_nothing(tmp_path, capsys):
    """Guards against empty plots for files without log lines."""
    log = tmp_path / "other.log"
    log.write_text("no log line\n")
    assert main(["report", str(log), "--out", str(tmp_path / "p")]) == ExitCode.NOT_FOUND
    assert main(["report", str(tmp_path / "none")]) == ExitCode.BAD_INPUT
    assert not (tmp_path / "p").exists()
