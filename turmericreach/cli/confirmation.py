"""Waiting until a generation is in force at every live daemon."""

import asyncio
from collections.abc import Iterable

import attrs

from turmericreach.cli.options import Api
from turmericreach.cli.output import note
from turmericreach.client import ApiError, OperatorClient
from turmericreach.objectstore import HostState, ObjectStore, ObjectStoreError

__all__ = ["Confirmation", "wait_until_in_force"]

POLL_S = 0.2
# A gateway that has just started does not know all daemons yet; those of other data centres come
# with the digests.
SETTLED_S = 5.0
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


def confirmation_of(status: dict, generation: int, hosts: Iterable[str]) -> Confirmation:
    """Return where a generation is in force.

    Parameters
    ----------
    status : dict
        Status of one gateway.
    hosts : iterable of str
        Daemons that are live in the platform's list, which lags.
    """
    if status["uptime_s"] < SETTLED_S:
        return Confirmation(problem=f"{status['daemon']} has just started")
    members = status["members"]
    known = {member["name"] for member in members}
    answer = Confirmation(missing=sorted(set(hosts) - known))
    for member in members:
        if member["state"] == "suspect":
            answer.silent.append(member["name"])
        elif member["state"] == LIVE and member["generation"] >= generation:
            answer.in_force.append(member["name"])
        elif member["state"] == LIVE:
            answer.missing.append(member["name"])
    return answer


async def live_hosts(store: ObjectStore) -> list[str]:
    """Return the daemons that are live in the platform's list, none if it does not answer."""
    try:
        return [host.name for host in await store.hosts() if host.state is HostState.LIVE]
    except ObjectStoreError as error:
        note(f"the list of hosts is not known: {error}")
        return []


async def wait_until_in_force(
    api: Api, store: ObjectStore, generation: int, timeout_s: float
) -> Confirmation:
    """Wait until every live daemon reports the generation, or the time ends."""
    hosts = await live_hosts(store)
    loop = asyncio.get_running_loop()
    ends = loop.time() + timeout_s
    async with api.connect() as connection:
        client = OperatorClient(connection)
        while True:
            try:
                answer = confirmation_of(await client.status(), generation, hosts)
            except ApiError as error:
                answer = Confirmation(problem=str(error))
            if answer.complete or loop.time() >= ends:
                return answer
            await asyncio.sleep(POLL_S)
