"""Waiting until a generation is in force at every live daemon."""

import asyncio

import attrs

from turmericreach.cli.options import Api
from turmericreach.client import ApiError, OperatorClient

__all__ = ["Confirmation", "wait_until_in_force"]

POLL_S = 0.2
LIVE = "live"


@attrs.frozen
class Confirmation:
    """Where a generation is in force.

    Attributes
    ----------
    in_force : list of str
        Live daemons that have it, or a later one.
    missing : list of str
        Live daemons that do not.
    silent : list of str
        Daemons that are suspected; they take it over before they serve again.
    problem : str
        Why the daemons are not known, empty if they are.
    """

    in_force: list[str] = attrs.field(factory=list)
    missing: list[str] = attrs.field(factory=list)
    silent: list[str] = attrs.field(factory=list)
    problem: str = ""

    @property
    def complete(self) -> bool:
        """Whether every live daemon has the generation."""
        return bool(self.in_force) and not self.missing and not self.problem

    def line(self) -> str:
        """Return the result in one line."""
        if self.problem:
            return f"not confirmed: {self.problem}"
        if self.missing:
            return f"not confirmed by: {', '.join(self.missing)}"
        silent = f"; not heard from: {', '.join(self.silent)}" if self.silent else ""
        return f"in force at {len(self.in_force)} daemons{silent}"


def confirmation_of(members: list[dict], generation: int) -> Confirmation:
    """Return where a generation is in force by the members of a status."""
    answer = Confirmation()
    for member in members:
        if member["state"] == "suspect":
            answer.silent.append(member["name"])
        elif member["state"] == LIVE and member["generation"] >= generation:
            answer.in_force.append(member["name"])
        elif member["state"] == LIVE:
            answer.missing.append(member["name"])
    return answer


async def wait_until_in_force(api: Api, generation: int, timeout_s: float) -> Confirmation:
    """Wait until every live daemon reports the generation, or the time ends."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + timeout_s
    async with api.connect() as connection:
        client = OperatorClient(connection)
        while True:
            try:
                answer = confirmation_of((await client.status())["members"], generation)
            except ApiError as error:
                answer = Confirmation(problem=str(error))
            if answer.complete or loop.time() >= ends:
                return answer
            await asyncio.sleep(POLL_S)
