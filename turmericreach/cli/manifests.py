"""The `manifest` commands."""

import asyncio
import contextlib
import getpass
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Annotated

import attrs
import cyclopts
import msgspec
from cyclopts import Parameter

from turmericreach.cli.confirmation import wait_until_in_force
from turmericreach.cli.options import Api, ExitCode, Output, Platform, command
from turmericreach.cli.output import format_time, print_note, show, show_json, table
from turmericreach.client import ApiError, OperatorClient
from turmericreach.manifest import (
    Change,
    GenerationConflict,
    Manifest,
    Revision,
    apply_manifest,
    decode_revision,
    diff_manifests,
    load_manifest,
    manifest_schema,
    read_history,
    read_revision,
    record_revision,
)
from turmericreach.objectstore import HttpObjectStore, ObjectStoreError

__all__ = ["app"]

# With --any-generation, another change can be applied between the read and the write, so that the
# write has to be repeated.
MAX_ANY_GENERATION_ATTEMPTS = 5

app = cyclopts.App(name="manifest", help="Check, compare and apply the manifest.")


def read_manifest(path: Path) -> Manifest:
    """Return the manifest in a file."""
    return load_manifest(path.read_text(), str(path))


@contextlib.asynccontextmanager
async def open_store(platform: Platform) -> AsyncIterator[HttpObjectStore]:
    """Open a client of the object API as a context manager that closes it."""
    store = platform.open()
    try:
        yield store
    finally:
        await store.close()


@app.command
def schema() -> int:
    """Print the JSON Schema of the manifest."""
    show_json(manifest_schema())
    return ExitCode.OK


@app.command
@command
async def check(file: Path, *, output: Output = Output.TABLE) -> int:
    """Check a manifest and print every problem with its line number."""
    manifest = read_manifest(file)
    counts = {
        "file": str(file),
        "services": len(manifest.services),
        "targets": len(manifest.targets),
    }
    show(output, counts, f"{file}: ok, {counts['services']} services, {counts['targets']} targets")
    return ExitCode.OK


@app.command
@command
async def diff(
    file: Path,
    *,
    output: Output = Output.TABLE,
    platform: Platform = Platform(),  # noqa: B008 - cyclopts reads the default
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Compare a file with the generation in force.

    The generation in force is read from the platform, or from a gateway if the platform is
    unavailable or not given.
    """
    manifest = read_manifest(file)
    current, source = await read_in_force(platform, api)
    changes = diff_manifests(current.manifest if current else None, manifest)
    generation = current.generation if current else 0
    value = {"generation": generation, "source": source, "changes": changes}
    if not changes:
        show(output, value, f"no difference from generation {generation} ({source})")
        return ExitCode.OK
    title = f"{len(changes)} differences from generation {generation} ({source})"
    show(output, value, table(["path", "in force", "in the file"], change_rows(changes), title))
    return ExitCode.OK


def change_rows(changes: list[Change]) -> list[tuple[str, str, str]]:
    """Return the table cells of the differences."""
    return [(change.path, format_value(change.old), format_value(change.new)) for change in changes]


def format_value(value) -> str:
    """Return a value as one line of text."""
    if value is None:
        return "-"
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()


async def read_in_force(platform: Platform, api: Api) -> tuple[Revision | None, str]:
    """Return the revision in force, None if there is none, and where it was read from."""
    if platform.platform:
        try:
            async with open_store(platform) as store:
                return await read_revision(store), "platform"
        except ObjectStoreError as error:
            print_note(f"the platform is unavailable: {error}; asking the gateways")
    async with api.connect() as connection:
        stored = await OperatorClient(connection).manifest()
    return decode_revision(msgspec.json.encode(stored)) if stored else None, "gateway"


@app.command
@command
async def apply(
    file: Path,
    *,
    generation: Annotated[
        int | None, Parameter(help="Generation that the manifest was made from.")
    ] = None,
    any_generation: Annotated[
        bool, Parameter(help="Replace whatever generation is in force.", negative=())
    ] = False,
    author: Annotated[
        str, Parameter(help="Author of the change; default: the name of the user.")
    ] = "",
    wait: Annotated[
        bool,
        Parameter(help="Wait until the generation is in force at every live daemon.", negative=()),
    ] = False,
    timeout_s: Annotated[float, Parameter(help="Longest wait in seconds.")] = 30.0,
    output: Output = Output.TABLE,
    platform: Platform = Platform(),  # noqa: B008 - cyclopts reads the default
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Apply a manifest as the next generation.

    Exit code 3: another generation is in force; nothing was written. Exit code 4: the write may
    have taken effect. Exit code 6: applied, but not in force at every live daemon in time.
    """
    if (generation is None) is not any_generation:
        raise ValueError("give either --generation N or --any-generation")
    manifest = read_manifest(file)
    async with open_store(platform) as store:
        revision = await write_revision(store, manifest, generation, author or getpass.getuser())
        try:
            await record_revision(store, revision)
        except ObjectStoreError as error:
            print_note(f"the history could not be written; a gateway will write it later: {error}")
        value = {"generation": revision.generation, "change_id": revision.change_id}
        summary = f"generation {revision.generation} applied, change {revision.change_id}"
        if not wait:
            show(output, value, summary)
            return ExitCode.OK
        confirmation = await wait_until_in_force(api, store, revision.generation, timeout_s)
    show(output, {**value, **attrs.asdict(confirmation)}, summary, confirmation.summary())
    return ExitCode.OK if confirmation.complete else ExitCode.NOT_CONFIRMED


async def write_revision(
    store, manifest: Manifest, generation: int | None, author: str
) -> Revision:
    """Write the next revision and return it.

    It replaces the given generation, or with None whatever generation is in force.
    """
    if generation is not None:
        return await apply_manifest(store, manifest, generation, author)
    for _ in range(MAX_ANY_GENERATION_ATTEMPTS - 1):
        current = await read_revision(store)
        with contextlib.suppress(GenerationConflict):
            return await apply_manifest(
                store, manifest, current.generation if current else 0, author
            )
        await asyncio.sleep(0)
    current = await read_revision(store)
    return await apply_manifest(store, manifest, current.generation if current else 0, author)


@app.command
@command
async def history(
    *,
    count: Annotated[int, Parameter(help="Number of generations to list.")] = 20,
    output: Output = Output.TABLE,
    platform: Platform = Platform(),  # noqa: B008 - cyclopts reads the default
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """List the latest generations with author and time."""
    try:
        async with open_store(platform) as store:
            current = await read_revision(store)
            revisions = await read_history(store, current.generation, count) if current else []
    except ObjectStoreError as error:
        print_note(f"the platform is unavailable: {error}")
        await show_revision_in_force(api, output)
        return ExitCode.UNAVAILABLE
    if current and not any(item.generation == current.generation for item in revisions):
        revisions.insert(0, current)
    rows = [history_row(item) for item in revisions]
    cells = [(row["generation"], row["applied"], row["author"], row["change_id"]) for row in rows]
    show(output, rows, table(["generation", "applied", "author", "change"], cells))
    return ExitCode.OK


def history_row(revision: Revision) -> dict:
    """Return the row for a revision, without its manifest."""
    return {
        "generation": revision.generation,
        "applied": format_time(revision.applied_at),
        "author": revision.author,
        "change_id": revision.change_id,
        "parent": revision.parent,
    }


async def show_revision_in_force(api: Api, output: Output) -> None:
    """Show the generation in force at a gateway, the only one known without the platform."""
    async with api.connect() as connection:
        try:
            stored = await OperatorClient(connection).manifest()
        except ApiError as error:
            print_note(str(error))
            return
    if stored:
        row = history_row(decode_revision(msgspec.json.encode(stored)))
        cells = [(row["generation"], row["applied"], row["author"], row["change_id"])]
        title = "in force at the gateway"
        show(output, [row], table(["generation", "applied", "author", "change"], cells, title))
