"""The `targets` and `drain` commands."""

import asyncio
from typing import Annotated

from cyclopts import Parameter

from turmericreach.cli.options import Api, ExitCode, Output, command
from turmericreach.cli.output import print_note, show, table
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
    """Show the state, version and load of each target."""
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
    wait: Annotated[bool, Parameter(help="Wait until no work is in flight.", negative=())] = False,
    timeout_s: Annotated[float, Parameter(help="Longest wait in seconds.")] = 300.0,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Drain a target, so that it gets no new work, or lift its drain.

    Exit code 4: the drain may be in force. Exit code 6: drained, but work is still in flight.
    """
    if lift and wait:
        raise ValueError("--wait cannot be combined with --lift")
    async with api.connect() as connection:
        client = OperatorClient(connection)
        response = await client.drain(target, not lift)
        if not response["durable"]:
            print_note(
                "platform unavailable: the gateway stores the change when it is available again"
            )
        if not response["in_force"]:
            print_note("the agent did not respond: the change is sent when it is reachable again")
        code = ExitCode.OK
        if wait:
            response["work"] = await wait_until_idle(client, target, timeout_s)
            code = ExitCode.OK if is_idle(response["work"]) else ExitCode.NOT_CONFIRMED
    show(output, response, *result_lines(target, lift, response))
    return code


async def wait_until_idle(client: OperatorClient, target: str, timeout_s: float) -> dict:
    """Poll the target's agent until no work is in flight or until the timeout; return its state."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        work = await client.target(target)
        if is_idle(work) or loop.time() >= deadline:
            return work
        await asyncio.sleep(POLL_S)


def is_idle(work: dict) -> bool:
    """Return whether the agent itself reported that the target is drained and has no work."""
    return work["answered"] and work["drained"] and not work["running"] and not work["waiting"]


def result_lines(target: str, lift: bool, response: dict) -> list[str]:
    """Return the lines that show the result."""
    result = [f"{target}: drain {'lifted' if lift else 'set'}"]
    work = response.get("work")
    if work is None:
        return result
    if not work["answered"]:
        return [*result, f"{target}: its agent does not respond"]
    if is_idle(work):
        return [*result, f"{target}: nothing in flight"]
    return [*result, f"{target}: {work['running']} running, {work['waiting']} waiting"]
