"""Calls that operators make."""

from turmericreach.api import DrainRequest, LotStatus
from turmericreach.client.connection import ApiConnection

__all__ = ["OperatorClient"]


class OperatorClient:
    """Reads state from the daemons and changes drains.

    Parameters
    ----------
    connection : ApiConnection
    """

    def __init__(self, connection: ApiConnection):
        self.connection = connection

    async def status(self) -> dict:
        """Return the state of the deployment as one gateway sees it."""
        return await self.connection.call("GET", "/v1/status")

    async def targets(self) -> list[dict]:
        """Return what is known of each target."""
        return await self.connection.call("GET", "/v1/targets", None, list)

    async def lots(self) -> list[LotStatus]:
        """Return the lots that the live gateways coordinate."""
        return await self.connection.call("GET", "/v1/lots", None, list[LotStatus])

    async def drain(self, target: str, drain: bool) -> dict:
        """Start or lift the drain of a target."""
        path = f"/v1/targets/{target}/drain"
        return await self.connection.call("POST", path, DrainRequest(drain))

    async def explain(self, subject: str) -> list[dict]:
        """Return the decisions about a request or a sample, attempt by attempt."""
        return await self.connection.call("GET", f"/v1/explain/{subject}", None, list)
