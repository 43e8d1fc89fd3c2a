"""The `weights` commands."""

import cyclopts

from turmericreach.cli.options import Api, ExitCode, Output, command
from turmericreach.cli.output import print_note, show, table
from turmericreach.client import OperatorClient

__all__ = ["app"]

app = cyclopts.App(name="weights", help="Show and announce weight versions.")


@app.default
@command
async def show_weights(
    *,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Show the wanted, the active and the real weight version of each target."""
    async with api.connect() as connection:
        client = OperatorClient(connection)
        rows = weight_rows((await client.status())["wanted"], await client.targets())
    columns = ["target", "model", "wanted", "active", "real", "prepared", "state"]
    show(output, rows, table(columns, [[row[name] for name in columns] for row in rows]))
    return ExitCode.OK


def weight_rows(wanted: list[dict], targets: list[dict]) -> list[dict]:
    """Return a row of versions for each target that has a model."""
    newest: dict[str, int] = {}
    active: dict[str, int] = {}
    for row in wanted:
        newest[row["model"]] = max(newest.get(row["model"], 0), row["version"])
        if row["phase"] == "activate":
            active[row["model"]] = max(active.get(row["model"], 0), row["version"])
    rows = []
    for target in targets:
        model = target["model"]
        if not model:
            continue
        rows.append(
            {
                "target": target["target"],
                "model": model,
                "wanted": newest.get(model, 0),
                "active": active.get(model, 0),
                "real": target["version"],
                "prepared": target["prepared"],
                "state": target["state"],
            }
        )
    return rows


@app.command
@command
async def announce(
    model: str,
    version: int,
    *,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Announce that a version of a model's weights is in the weight store.

    A version that is not newer than those already announced changes nothing.
    """
    async with api.connect() as connection:
        response = await OperatorClient(connection).announce(model, version)
    if version <= response["active"]:
        print_note(
            f"version {response['active']} is already active and is not older than {version}"
        )
    show(output, response, f"{model}: version {version} announced, {response['active']} is active")
    return ExitCode.OK
