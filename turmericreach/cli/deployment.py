"""The `status` command."""

from turmericreach.cli.options import Api, ExitCode, Output, command
from turmericreach.cli.output import show, table
from turmericreach.client import OperatorClient

__all__ = ["status"]


@command
async def status(
    *,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Show the daemons, the generation in force and the platform, as seen by one gateway."""
    async with api.connect() as connection:
        response = await OperatorClient(connection).status()
    show(output, response, *summary(response), member_table(response["members"]))
    return ExitCode.OK


def summary(response: dict) -> list[str]:
    """Return the lines to print above the table of daemons."""
    config = response["config"]
    lines = [
        f"seen by {response['daemon']}",
        platform_line(response),
        f"generation {config['generation']} (change {config['change_id']}),"
        f" in force at {response['confirmed']} live daemons",
    ]
    if response["unconfirmed"]:
        lines.append(f"not in force at: {', '.join(response['unconfirmed'])}")
    for row in response["wanted"]:
        lines.append(f"model {row['model']}: version {row['version']}, {row['phase']}")
    for duty, holder in sorted(response.get("duties", {}).items()):
        lines.append(f"duty {duty}: {holder}")
    return lines


def platform_line(response: dict) -> str:
    """Return the line about the state of the platform."""
    if response["platform_up"] is None:
        return "platform: unknown to this gateway, which is not a relay"
    if response["platform_up"]:
        return "platform: up"
    seconds = response.get("platform_down_s", 0.0)
    return f"platform: DOWN for {seconds:.0f} s; showing what the daemons hold in memory"


def member_table(members: list[dict]):
    """Return the table of daemons."""
    columns = ["daemon", "role", "data centre", "state", "generation", "last heartbeat (s)"]
    keys = ["name", "role", "data_centre", "state", "generation", "age_s"]
    return table(columns, [[row[key] for key in keys] for row in members])
