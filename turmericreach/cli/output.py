"""Readable tables and JSON on standard output."""

import datetime
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from rich import box
from rich.console import Console
from rich.table import Table
from rich.text import Text

from turmericreach.cli.options import Output

__all__ = ["console", "format_time", "note", "show", "show_json", "table"]

# Without a terminal there is no width to fit into, and a cut cell would lose what it says.
FILE_WIDTH = 1000
REPLACEMENT = "\ufffd"


def console() -> Console:
    """Return a console for standard output, as it is now."""
    width = None if sys.stdout.isatty() else FILE_WIDTH
    return Console(file=sys.stdout, markup=False, highlight=False, emoji=False, width=width)


def table(columns: Sequence[str], rows: Iterable[Sequence[Any]], title: str = "") -> Table:
    """Return a table.

    Texts may come from callers and targets, so control characters are replaced: they could
    change the terminal.
    """
    made = Table(title=title or None, box=box.SIMPLE_HEAD, title_justify="left", pad_edge=False)
    for column in columns:
        made.add_column(column, overflow="fold")
    for row in rows:
        made.add_row(*(Text(printable(value)) for value in row))
    return made


def printable(value: Any) -> str:
    """Return the text of a cell."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = str(value)
    return "".join(char if char.isprintable() else REPLACEMENT for char in text)


def show_json(value: Any) -> None:
    """Print a value as JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def show(output: Output, value: Any, *parts: Table | str) -> None:
    """Print a value as JSON, or its readable parts."""
    if output is Output.JSON:
        show_json(value)
        return
    screen = console()
    for part in parts:
        screen.print(part if isinstance(part, Table) else Text(printable(part)))


def note(message: str) -> None:
    """Print a remark that is no result to standard error."""
    print(f"turmericreach: {printable(message)}", file=sys.stderr)


def format_time(seconds: float) -> str:
    """Return Unix time as text in UTC, empty for zero."""
    if not seconds:
        return ""
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.isoformat(sep=" ", timespec="milliseconds").replace("+00:00", "Z")
