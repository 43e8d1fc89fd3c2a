"""Plays deployments on the platform's bench, one a call, and prints one table of the results.

The paths of the bench and of the site files are arguments, since neither is part of the repository.
The entries of the bench's journal speak its own words; this module translates them.
"""

import argparse
import subprocess
import sys
from pathlib import Path

import attrs
import msgspec

__all__ = ["DayResult", "main", "new_entries", "read_entry", "table"]

JOURNAL = Path("journal")


@attrs.frozen
class DayResult:
    """Result of one played day.

    Attributes
    ----------
    site, day : str
        Names of the deployment and of the day.
    worth : float
        Share of the possible benefit that was earned, less prices.
    worst_windows : float
        Share of the benefit in the worst seconds.
    prices : float
        Sum of all prices, as a share of the benefit.
    gate : bool
        Whether the day passed.
    broken_rules : tuple of str
        Names of the rules that the day broke.
    """

    site: str
    day: str
    worth: float
    worst_windows: float
    prices: float
    gate: bool
    broken_rules: tuple[str, ...]


def read_entry(text: bytes) -> list[DayResult]:
    """Return the days of a journal entry; an entry of a play that did not finish has none."""
    entry = msgspec.json.decode(text)
    found = []
    for day in entry.get("days") or []:
        parts = {name: value for name, _, value in day["parts"]}
        found.append(
            DayResult(
                site=entry["site"],
                day=day["name"],
                worth=day["G"],
                worst_windows=parts.get("worst windows", 1.0),
                prices=sum(price for _, _, price in day["prices"]),
                gate=bool(day["gate"]),
                broken_rules=tuple(sorted(day["rules"])),
            )
        )
    return found


def table(days: list[DayResult]) -> str:
    """Return a Markdown table of days."""
    lines = [
        "| site | day | worth | worst windows | prices | gate | rules broken |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for day in days:
        gate = "passed" if day.gate else "failed"
        broken = ", ".join(day.broken_rules) or "none"
        lines.append(
            f"| {day.site} | {day.day} | {day.worth:.3f} | {day.worst_windows:.2f} "
            f"| {day.prices:.3f} | {gate} | {broken} |"
        )
    return "\n".join(lines)


def new_entries(known: set[str]) -> list[Path]:
    """Return the journal entries that are not known yet, the oldest first."""
    return sorted(path for path in JOURNAL.glob("*.json") if path.name not in known)


def main(arguments: list[str] | None = None) -> int:
    """Play the given sites; return 0 if every call succeeded and every day passed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="path of the bench")
    parser.add_argument("--jobs", default="3", help="cores to use")
    parser.add_argument("--why", required=True, help="reason, written to the journal")
    parser.add_argument("--hunt", type=int, help="play this many days of other seeds instead")
    parser.add_argument("--quick", action="store_true", help="play the light days only")
    parser.add_argument("sites", nargs="+", help="paths of site files")
    options = parser.parse_args(arguments)
    verb = ["score"] if options.hunt is None else ["hunt", "--days", str(options.hunt)]
    if options.quick:
        verb.append("--quick")
    known = {path.name for path in JOURNAL.glob("*.json")}
    failed = False
    for site in options.sites:
        command = [options.bench, *verb, site, "--jobs", options.jobs, "--why", options.why]
        print(" ".join(command), flush=True)
        failed = subprocess.run(command, check=False).returncode != 0 or failed
    entries = new_entries(known)
    days = [day for path in entries for day in read_entry(path.read_bytes())]
    print(table(days))
    print("journal entries:", *(path.name for path in entries))
    return int(failed or not days or not all(day.gate for day in days))


if __name__ == "__main__":
    sys.exit(main())
