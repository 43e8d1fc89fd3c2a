"""Commands for targets."""

import asyncio
from typing import Annotated

from cyclopts import Parameter

from turmericreach.cli.options import Api, ExitCode, Output, command
from turmericreach.cli.output import note, show, table
from turmericreach.client import OperatorClient

__all__ = ["drain", "targets"]

POLL_S = 0.2
COLUMNS = [
    "target",
    "service",
    "data_centre",
    "state",
    "version",
    "wanted",
    "prepared",
    "load",
    "slots",
    "speed",
]


@command
async def targets(
    *,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Show state, version and load of each target."""
    async with api.connect() as connection:
        rows = await OperatorClient(connection).targets()
    cells = [[row.get(column) for column in COLUMNS] for row in rows]
    show(output, rows, table([name.replace("_", " ") for name in COLUMNS], cells))
    return ExitCode.OK


@command
async def drain(
    target: str,
    *,
    lift: Annotated[bool, Parameter(help="Lift the drain.", negative=())] = False,
    wait: Annotated[bool, Parameter(help="Wait until nothing is in flight.", negative=())] = False,
    timeout_s: Annotated[float, Parameter(help="Longest wait in seconds.")] = 300.0,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Give a target no new work, or give it work again.

    Exit code 4: the drain may be in force. Exit code 6: drained, but work is still in flight.
    """
    if lift and wait:
        raise ValueError("--wait goes with a drain, not with --lift")
    async with api.connect() as connection:
        client = OperatorClient(connection)
        answer = await client.drain(target, not lift)
        if not answer["durable"]:
            note("the platform is down: the gateway stores the change when it is back")
        if not answer["in_force"]:
            note("the agent did not answer: it is told as soon as it does")
        code = ExitCode.OK
        if wait:
            answer["work"] = await wait_until_idle(client, target, timeout_s)
            code = ExitCode.OK if is_idle(answer["work"]) else ExitCode.NOT_CONFIRMED
    show(output, answer, *lines(target, lift, answer))
    return code


async def wait_until_idle(client: OperatorClient, target: str, timeout_s: float) -> dict:
    """Ask the target's agent until it has nothing in flight, or the time ends."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + timeout_s
    while True:
        work = await client.target(target)
        if is_idle(work) or loop.time() >= ends:
            return work
        await asyncio.sleep(POLL_S)


def is_idle(work: dict) -> bool:
    """Return whether the agent itself said that a drained target has no work."""
    return work["answered"] and work["drained"] and not work["running"] and not work["waiting"]


def lines(target: str, lift: bool, answer: dict) -> list[str]:
    """Return the result for a person."""
    made = [f"{target}: drain {'lifted' if lift else 'set'}"]
    work = answer.get("work")
    if work is None:
        return made
    if not work["answered"]:
        return [*made, f"{target}: its agent does not answer"]
    if is_idle(work):
        return [*made, f"{target}: nothing in flight"]
    return [*made, f"{target}: {work['running']} running, {work['waiting']} waiting"]
