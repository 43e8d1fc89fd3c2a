"""Tests of tables, plots, percentiles and the simulated part of the capacity benchmark."""

import msgspec

from benchmarks.capacity.tables import measure_weights
from benchmarks.cost.load import summarize
from benchmarks.report import markdown_table, plot_bars, plot_slope, write_json


def test_tables_and_plots_are_written(tmp_path):
    """Guards against tables, JSON files or plots that are malformed or empty."""
    rows = [{"name": "a", "figure": [1.0, 0.5, 2.0]}, {"name": "b", "figure": float("nan")}]
    assert markdown_table(rows).splitlines()[2:] == ["| a | 1 (0.5 to 2) |", "| b | - |"]
    write_json(tmp_path / "rows.json", rows)
    assert msgspec.json.decode((tmp_path / "rows.json").read_bytes())[0] == rows[0]
    plot_bars(tmp_path / "bars.svg", "title", "unit", [("a", [1.0, 0.5, 2.0])], 1.25)
    plot_slope(tmp_path / "slope.svg", "title", "x", "y", [(1, 2.0), (2, 4.0)], 3.0)
    assert all((tmp_path / name).stat().st_size for name in ("bars.svg", "slope.svg"))


def test_percentiles_of_calls_are_by_nearest_rank():
    """Guards against a p99 that hides the slowest call."""
    load = summarize([0.001 * number for number in range(1, 101)], 2, 1.0)
    assert (load.p50_s, load.p99_s) == (0.05, 0.099)
    assert load.failures == 2


def test_more_grants_spread_weights_sooner():
    """Guards against a measurement that does not depend on the concurrency it varies."""
    few, many = measure_weights(60, 4), measure_weights(60, 20)
    assert few["finished"]
    assert many["seconds_until_all_hold_it"] < few["seconds_until_all_hold_it"] / 2
