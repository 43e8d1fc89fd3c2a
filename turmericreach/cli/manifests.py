"""Commands for the manifest."""

import asyncio
import getpass
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec
from cyclopts import Parameter

from turmericreach.cli.options import Api, ExitCode, Platform, command
from turmericreach.client import ApiError, OperatorClient
from turmericreach.manifest import (
    apply_manifest,
    load_manifest,
    manifest_schema,
    read_revision,
    record_revision,
)
from turmericreach.objectstore import ObjectStoreError

__all__ = ["app"]

WAIT_POLL_S = 0.2

app = cyclopts.App(name="manifest", help="Check, compare and apply the manifest.")


def read_manifest(path: Path):
    """Return the manifest of a file."""
    return load_manifest(path.read_text(), str(path))


@app.command
def schema() -> int:
    """Print the JSON Schema of the manifest."""
    print(msgspec.json.format(msgspec.json.encode(manifest_schema()), indent=2).decode())
    return ExitCode.OK


@app.command
@command
async def check(file: Path) -> int:
    """Check a manifest and print every problem with its line."""
    manifest = read_manifest(file)
    print(f"{file}: ok, {len(manifest.services)} services, {len(manifest.targets)} targets")
    return ExitCode.OK


@app.command
@command
async def apply(
    file: Path,
    *,
    generation: Annotated[int | None, Parameter(help="Generation it was made from.")] = None,
    author: str = "",
    wait: Annotated[bool, Parameter(help="Wait until every live daemon has it in force.")] = False,
    timeout_s: float = 30.0,
    platform: Platform = Platform(),  # noqa: B008 - cyclopts reads the default
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Apply a manifest as the next generation.

    Without --generation it replaces whatever generation is in force when it is read.
    """
    manifest = read_manifest(file)
    store = platform.open()
    try:
        if generation is None:
            held = await read_revision(store)
            generation = held.generation if held is not None else 0
        revision = await apply_manifest(store, manifest, generation, author or getpass.getuser())
        print(f"generation {revision.generation} applied, change {revision.change_id}")
        try:
            await record_revision(store, revision)
        except ObjectStoreError as error:
            print(f"the history could not be written: {error}")
    finally:
        await store.close()
    if not wait:
        return ExitCode.OK
    return await wait_until_confirmed(api, revision.generation, timeout_s)


async def wait_until_confirmed(api: Api, generation: int, timeout_s: float) -> int:
    """Wait until every live daemon reports the generation."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + timeout_s
    missing = ["no gateway has answered"]
    async with api.connect() as connection:
        client = OperatorClient(connection)
        while loop.time() < ends:
            try:
                status = await client.status()
            except ApiError as error:
                missing = [str(error)]
                await asyncio.sleep(WAIT_POLL_S)
                continue
            missing = status["unconfirmed"]
            if status["config"]["generation"] >= generation and not missing:
                print(f"in force at {status['confirmed']} daemons")
                return ExitCode.OK
            await asyncio.sleep(WAIT_POLL_S)
    print(f"not confirmed by: {', '.join(missing)}")
    return ExitCode.NOT_CONFIRMED
