"""The `lots` command and the `lot` commands."""

import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec
from cyclopts import Parameter

from turmericreach.api import LotStatus
from turmericreach.cli.options import Api, ExitCode, Output, command
from turmericreach.cli.output import print_note, show, table
from turmericreach.client import LotRun, OperatorClient, TrainerClient
from turmericreach.lots import Cursor, GroupSpec, LotSpec

__all__ = ["app", "lots"]

app = cyclopts.App(name="lot", help="Run and inspect lots.")


@app.command(name="run")
@command
async def run_lot(
    *,
    prompts: Annotated[Path, Parameter(help="Prompts as JSON lines, each with the key `prompt`.")],
    out: Annotated[Path, Parameter(help="File for the samples, one JSON object per line.")],
    name: str,
    trainer: str,
    service: str,
    model: str,
    samples_per_group: int = 8,
    staleness_bound: int = 2,
    max_tokens: int = 256,
    kind: str = "short",
    scoring_service: str = "",
    scoring_path: str = "/score",
    trainer_version: int = 1,
    cursor: Annotated[Path | None, Parameter(help="File that stores the cursor.")] = None,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Declare a lot and write its samples to a file until all have arrived.

    With --cursor, a run that was interrupted continues where it stopped.
    """
    spec = LotSpec(
        name=name,
        trainer=trainer,
        service=service,
        model=model,
        groups=read_prompts(prompts),
        samples_per_group=samples_per_group,
        staleness_bound=staleness_bound,
        max_tokens=max_tokens,
        kind=kind,
        scoring_service=scoring_service,
        scoring_path=scoring_path,
    )
    saved = Cursor(spec.size)
    if cursor is not None and cursor.exists():
        saved = Cursor.decode(cursor.read_text().strip(), spec.size)
    async with api.connect() as connection:
        lot = await TrainerClient(connection).run(spec, trainer_version, saved)
        with out.open("ab" if saved.count() else "wb") as stream:
            await write_samples(lot, stream, cursor)
        await lot.acknowledge()
    result = {"lot": name, "samples": spec.size, "durable": lot.durable, "out": str(out)}
    show(output, result, f"lot {name}: {spec.size} samples in {out}")
    return ExitCode.OK


def read_prompts(path: Path) -> list[GroupSpec]:
    """Return the groups of a prompts file.

    Raises
    ------
    ValueError
        If a line is invalid, with its number, or if there are no prompts.
    """
    groups = []
    for number, line in enumerate(path.read_bytes().splitlines(), start=1):
        if not line.strip():
            continue
        try:
            groups.append(msgspec.json.decode(line, type=GroupSpec))
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}, line {number}: {error}") from error
    if not groups:
        raise ValueError(f"{path}: no prompts")
    return groups


async def write_samples(lot: LotRun, stream, cursor: Path | None) -> None:
    """Write samples to the stream as they arrive.

    The cursor is saved after the samples were flushed to the file; then they are acknowledged.
    """
    started = time.monotonic()
    while not lot.done:
        samples = await lot.pull()
        for sample in samples:
            stream.write(msgspec.json.encode(sample) + b"\n")
        stream.flush()
        if cursor is not None and samples:
            save_cursor(cursor, lot.cursor)
        if samples:
            await lot.acknowledge()
        show_progress(lot, time.monotonic() - started)
    if sys.stderr.isatty():
        print(file=sys.stderr)


def save_cursor(path: Path, cursor: Cursor) -> None:
    """Replace the saved cursor atomically, so that a crash cannot leave a partial one."""
    temporary = path.with_suffix(f"{path.suffix}.new")
    temporary.write_text(cursor.encode())
    temporary.replace(path)


def show_progress(lot: LotRun, seconds: float) -> None:
    """Print a progress line to standard error if it is a terminal."""
    if not sys.stderr.isatty():
        return
    done = lot.cursor.count()
    rate = done / seconds if seconds > 0 else 0.0
    line = f"\r{lot.spec.name}: {done}/{lot.spec.size} samples, {rate:.1f}/s"
    print(line, end="", file=sys.stderr, flush=True)


@app.command
@command
async def status(
    name: str,
    *,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Show the samples of a lot by state, and what was discarded."""
    async with api.connect() as connection:
        lot = await OperatorClient(connection).lot(name)
    rows = [
        ("trainer", lot.trainer),
        ("coordinator", lot.coordinator),
        ("durable", lot.durable),
        ("samples", lot.samples),
        *((f"samples {state}", count) for state, count in lot.counts.items()),
        *((f"discarded: {reason}", count) for reason, count in lot.discarded.items()),
        ("straggler copies", lot.stragglers),
        ("tokens used", lot.tokens_useful),
        ("tokens discarded", lot.tokens_thrown_away),
    ]
    show(output, lot, table([f"lot {lot.lot}", ""], rows))
    return ExitCode.OK


@app.command
@command
async def cancel(
    name: str,
    *,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Cancel a lot."""
    async with api.connect() as connection:
        await OperatorClient(connection).cancel_lot(name)
    show(output, {"lot": name, "cancelled": True}, f"lot {name} cancelled")
    return ExitCode.OK


@command
async def lots(
    *,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """List the lots that the live gateways coordinate.

    Exit code 1: a gateway did not respond, so its lots are missing from the list.
    """
    async with api.connect() as connection:
        found = await OperatorClient(connection).lots()
    columns = ["lot", "trainer", "coordinator", "samples", "by state", "discarded", "durable"]
    if found.silent:
        print_note(f"lots are missing: {', '.join(found.silent)} did not respond")
    show(output, found.lots, table(columns, [lot_cells(lot) for lot in found.lots]))
    return ExitCode.FAILED if found.silent else ExitCode.OK


def lot_cells(lot: LotStatus) -> list:
    """Return the table cells of one lot; the column `discarded` holds a share of its tokens."""
    states = ", ".join(f"{count} {state}" for state, count in lot.counts.items() if count)
    tokens = lot.tokens_useful + lot.tokens_thrown_away
    share = lot.tokens_thrown_away / tokens if tokens else 0.0
    discarded = f"{share:.1%}"
    return [lot.lot, lot.trainer, lot.coordinator, lot.samples, states, discarded, lot.durable]
