"""Waiting until a generation is in force at every live daemon."""

import asyncio
from collections.abc import Iterable

import attrs

from turmericreach.cli.options import Api
from turmericreach.cli.output import print_note
from turmericreach.client import ApiError, OperatorClient
from turmericreach.objectstore import HostState, ObjectStore, ObjectStoreError

__all__ = ["Confirmation", "wait_until_in_force"]

POLL_S = 0.2
# Uptime from which a gateway's list of daemons is relied on. A gateway that has just started does
# not know all daemons yet: it learns those of other data centres from digests.
MIN_UPTIME_S = 5.0
LIVE = "live"


@attrs.frozen
class Confirmation:
    """Where a generation is in force.

    Attributes
    ----------
    in_force : list of str
        Names of live daemons that have this generation or a later one.
    missing : list of str
        Names of live daemons that have an older generation or are unknown to the gateway.
    silent : list of str
        Names of suspected daemons. These install the generation before they serve again.
    problem : str
        Why the state of the daemons is unknown, empty if it is known.
    """

    in_force: list[str] = attrs.field(factory=list)
    missing: list[str] = attrs.field(factory=list)
    silent: list[str] = attrs.field(factory=list)
    problem: str = ""

    @property
    def complete(self) -> bool:
        """Whether every live daemon has the generation in force."""
        return bool(self.in_force) and not self.missing and not self.problem

    def summary(self) -> str:
        """Return the result as one line of text."""
        if self.problem:
            return f"not confirmed: {self.problem}"
        if self.missing:
            return f"not confirmed by: {', '.join(self.missing)}"
        silent = f"; suspected: {', '.join(self.silent)}" if self.silent else ""
        return f"in force at {len(self.in_force)} daemons{silent}"


def confirmation_of(status: dict, generation: int, hosts: Iterable[str]) -> Confirmation:
    """Return where a generation is in force, from the status of one gateway.

    Parameters
    ----------
    status : dict
        Response of the gateway's status endpoint.
    generation : int
        Generation to look for.
    hosts : iterable of str
        Names of the daemons that the platform lists as live. The platform's list may be outdated.
    """
    if status["uptime_s"] < MIN_UPTIME_S:
        return Confirmation(problem=f"{status['daemon']} has just started")
    members = status["members"]
    known = {member["name"] for member in members}
    confirmation = Confirmation(missing=sorted(set(hosts) - known))
    for member in members:
        if member["state"] == "suspect":
            confirmation.silent.append(member["name"])
        elif member["state"] == LIVE and member["generation"] >= generation:
            confirmation.in_force.append(member["name"])
        elif member["state"] == LIVE:
            confirmation.missing.append(member["name"])
    return confirmation


async def live_hosts(store: ObjectStore) -> list[str]:
    """Return the names that the platform lists as live, none while the platform is unavailable."""
    try:
        return [host.name for host in await store.hosts() if host.state is HostState.LIVE]
    except ObjectStoreError as error:
        print_note(f"cannot read the list of hosts: {error}")
        return []


async def wait_until_in_force(
    api: Api, store: ObjectStore, generation: int, timeout_s: float
) -> Confirmation:
    """Wait until every live daemon reports the generation, or until the timeout.

    Parameters
    ----------
    api : Api
        How to reach the gateways.
    store : ObjectStore
        The platform's object API.
    generation : int
        Generation to wait for.
    timeout_s : float
        Longest wait in seconds.
    """
    hosts = await live_hosts(store)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    async with api.connect() as connection:
        client = OperatorClient(connection)
        while True:
            try:
                confirmation = confirmation_of(await client.status(), generation, hosts)
            except ApiError as error:
                confirmation = Confirmation(problem=str(error))
            if confirmation.complete or loop.time() >= deadline:
                return confirmation
            await asyncio.sleep(POLL_S)
