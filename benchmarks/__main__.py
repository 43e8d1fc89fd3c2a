"""Run the benchmarks and write a dated folder of results."""

import datetime
import os
import time
from pathlib import Path
from typing import Annotated, Literal

import cyclopts
from cyclopts import Parameter

from benchmarks.capacity.run import measure_capacity
from benchmarks.cost.run import measure_cost
from benchmarks.policy.rows import (
    PLAIN_FIGURES,
    SHOWN_FIGURES,
    check_goals,
    measure_policy,
    table_rows,
)
from benchmarks.report import markdown_table, plot_bars, plot_slope, write_json

RESULTS = Path(__file__).parent / "results"
MAX_RELAY_CORE_PERCENT = 1.1

app = cyclopts.App(name="benchmarks", help=__doc__)


def write_policy(folder, summaries):
    """Write the tables and plots of the policy benchmark."""
    write_json(folder / "policy.json", summaries)
    goals = check_goals(summaries)
    write_json(folder / "goals.json", goals)
    text = "# Policy\n\nMedian (least to greatest) over the seeds.\n\n## Goals\n\n"
    text += (
        markdown_table(goals)
        + "\n## Rows\n\n"
        + markdown_table(table_rows(summaries, SHOWN_FIGURES))
    )
    crash = [row for row in summaries if row["fault"] == "crash"]
    text += "\n## Plain service with a crash\n\n" + markdown_table(table_rows(crash, PLAIN_FIGURES))
    (folder / "policy.md").write_text(text)
    for workload in ("silmalasi", "qurum"):
        rows = [
            (f"{row['fault']}: {row['variant']}", row["figures"]["limit_ratio"])
            for row in summaries
            if row["workload"] == workload and row["variant"] in ("round_robin", "current")
        ]
        path = folder / f"idle_{workload}.svg"
        plot_bars(path, f"{workload}: trainer idle time", "times the lower limit", rows, 1.25)


def write_cost(folder, figures):
    """Write the table of the cost benchmark."""
    write_json(folder / "cost.json", figures)
    rows = [
        {"phase": phase, "figure": name, "value": value}
        for phase, values in figures.items()
        for name, value in values.items()
    ]
    (folder / "cost.md").write_text("# Cost\n\n" + markdown_table(rows))


def write_capacity(folder, slopes):
    """Write the tables and the plot of the capacity benchmark."""
    write_json(folder / "capacity.json", slopes)
    text = "# Capacity\n"
    for name, rows in slopes.items():
        text += f"\n## {name}\n\n" + markdown_table(rows)
    (folder / "capacity.md").write_text(text)
    points = [(row["daemons"], row["relay_core_percent"]) for row in slopes["relay"]]
    path = folder / "relay.svg"
    plot_slope(path, "Relay", "daemons that report", "% of a core", points, MAX_RELAY_CORE_PERCENT)


@app.default
def run(
    *,
    only: Annotated[
        list[Literal["policy", "cost", "capacity"]] | None, Parameter(help="Parts to run.")
    ] = None,
    processes: Annotated[int, Parameter(help="Processes of the policy part.")] = 0,
    folder: Annotated[Path | None, Parameter(help="Folder of the results.")] = None,
):
    """Run the benchmarks."""
    parts = only or ["policy", "cost", "capacity"]
    folder = folder or RESULTS / datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d-%H%M")
    folder.mkdir(parents=True, exist_ok=True)
    began = time.monotonic()
    if "cost" in parts:
        write_cost(folder, measure_cost())
        print(f"cost: done after {time.monotonic() - began:.0f} s")
    if "capacity" in parts:
        write_capacity(folder, measure_capacity())
        print(f"capacity: done after {time.monotonic() - began:.0f} s")
    if "policy" in parts:
        write_policy(folder, measure_policy(processes or max(1, os.cpu_count() or 1)))
        print(f"policy: done after {time.monotonic() - began:.0f} s")
    print(f"results in {folder.name}")


if __name__ == "__main__":
    app()
