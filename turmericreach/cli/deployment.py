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
    """Show the daemons, the generation in force and the platform, as one gateway sees them."""
    async with api.connect() as connection:
        answer = await OperatorClient(connection).status()
    show(output, answer, *summary(answer), member_table(answer["members"]))
    return ExitCode.OK


def summary(answer: dict) -> list[str]:
    """Return the lines above the members."""
    config = answer["config"]
    lines = [
        f"seen by {answer['daemon']}",
        platform_line(answer),
        f"generation {config['generation']} (change {config['change_id']}),"
        f" in force at {answer['confirmed']} live daemons",
    ]
    if answer["unconfirmed"]:
        lines.append(f"not in force at: {', '.join(answer['unconfirmed'])}")
    for row in answer["wanted"]:
        lines.append(f"model {row['model']}: version {row['version']}, {row['phase']}")
    for duty, holder in sorted(answer.get("duties", {}).items()):
        lines.append(f"duty {duty}: {holder}")
    return lines


def platform_line(answer: dict) -> str:
    """Return what the daemons say of the platform."""
    if answer["platform_up"] is None:
        return "platform: not asked by this gateway, which is no relay"
    if answer["platform_up"]:
        return "platform: up"
    seconds = answer.get("platform_down_s", 0.0)
    return f"platform: DOWN for {seconds:.0f} s; what follows is what the daemons hold in memory"


def member_table(members: list[dict]):
    """Return the table of daemons."""
    columns = ["daemon", "role", "data centre", "state", "generation", "heard s ago"]
    keys = ["name", "role", "data_centre", "state", "generation", "age_s"]
    return table(columns, [[row[key] for key in keys] for row in members])
