"""Output of commands: tables or JSON on standard output, remarks on standard error."""

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

__all__ = ["console", "format_time", "print_note", "show", "show_json", "table"]

# Width in characters if standard output is not a terminal: wide enough to never truncate a cell.
WIDTH_WITHOUT_TERMINAL = 1000
REPLACEMENT_CHARACTER = "\ufffd"


def console() -> Console:
    """Return a console for the current standard output."""
    width = None if sys.stdout.isatty() else WIDTH_WITHOUT_TERMINAL
    return Console(file=sys.stdout, markup=False, highlight=False, emoji=False, width=width)


def table(columns: Sequence[str], rows: Iterable[Sequence[Any]], title: str = "") -> Table:
    """Return a table with the given column names, rows and title.

    Cell texts may originate from callers and targets, so control characters, which could alter the
    terminal, are replaced.
    """
    result = Table(title=title or None, box=box.SIMPLE_HEAD, title_justify="left", pad_edge=False)
    for column in columns:
        result.add_column(column, overflow="fold")
    for row in rows:
        result.add_row(*(Text(to_printable(value)) for value in row))
    return result


def to_printable(value: Any) -> str:
    """Return a value as text without control characters."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = str(value)
    return "".join(char if char.isprintable() else REPLACEMENT_CHARACTER for char in text)


def show_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def show(output: Output, value: Any, *parts: Table | str) -> None:
    """Print a value as JSON, or the tables and lines that show it."""
    if output is Output.JSON:
        show_json(value)
        return
    screen = console()
    for part in parts:
        screen.print(part if isinstance(part, Table) else Text(to_printable(part)))


def print_note(message: str) -> None:
    """Print a remark to standard error."""
    print(f"turmericreach: {to_printable(message)}", file=sys.stderr)


def format_time(seconds: float) -> str:
    """Return a Unix time in seconds as text in UTC, empty for zero."""
    if not seconds:
        return ""
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.isoformat(sep=" ", timespec="milliseconds").replace("+00:00", "Z")
