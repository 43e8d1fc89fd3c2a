"""The client for operators."""

from urllib.parse import quote

from turmericreach.api import AnnounceRequest, DrainRequest, LotList, LotStatus
from turmericreach.client.connection import RETRYABLE_STATUSES, ApiConnection, ApiError
from turmericreach.verdicts import Verdict

__all__ = ["ChangeUnknown", "OperatorClient"]

CALL_TIMEOUT_S = 15.0


class ChangeUnknown(ApiError):
    """A change may have taken effect, although no gateway confirmed it."""


class OperatorClient:
    """Reads the state of the deployment, and changes drains, versions and lots.

    All calls are idempotent, so that a failed call is made once at each known gateway.

    Parameters
    ----------
    connection : ApiConnection
        Open connection to the gateways.
    """

    def __init__(self, connection: ApiConnection):
        self.connection = connection

    async def call(self, method: str, path: str, body=None, response_type=dict):
        """Make a call at the first gateway that responds.

        Raises
        ------
        ChangeUnknown
            If a change may have taken effect.
        ApiError
            The error response of a gateway. If no gateway responded, an error with status 0 that
            lists the URLs and errors of all attempts.
        """
        failures = []
        refusal = None
        unknown = False
        for _ in self.connection.urls:
            try:
                return await self.connection.call(method, path, body, response_type, CALL_TIMEOUT_S)
            except ApiError as error:
                unknown |= method != "GET" and error.verdict is Verdict.MAY_HAVE_RUN
                refusal = error if error.status else refusal
                failures.append(str(error))
                if error.status and error.status not in RETRYABLE_STATUSES:
                    break
        if unknown:
            raise ChangeUnknown(f"the change may have taken effect; tried {'; '.join(failures)}")
        if refusal is not None:
            raise refusal
        raise ApiError(
            f"no gateway responded; tried {'; '.join(failures)}", verdict=Verdict.NOT_RUN
        )

    async def status(self) -> dict:
        """Return the state of the deployment as one gateway sees it."""
        return await self.call("GET", "/v1/status")

    async def targets(self) -> list[dict]:
        """Return the state of each target as one gateway sees it."""
        return await self.call("GET", "/v1/targets", None, list)

    async def target(self, name: str) -> dict:
        """Return the state of one target as its agent sees it now."""
        return await self.call("GET", f"/v1/targets/{quote(name, safe='')}")

    async def lots(self) -> LotList:
        """Return the lots of the live gateways, and the gateways that did not respond."""
        return await self.call("GET", "/v1/lots", None, LotList)

    async def lot(self, name: str) -> LotStatus:
        """Return the state of one lot."""
        return await self.call("GET", f"/v1/lots/{quote(name, safe='')}", None, LotStatus)

    async def cancel_lot(self, name: str) -> None:
        """Cancel a lot."""
        await self.call("POST", f"/v1/lots/{quote(name, safe='')}/cancel")

    async def announce(self, model: str, version: int) -> dict:
        """Announce that a version of a model's weights is in the weight store."""
        path = f"/v1/models/{quote(model, safe='')}/version"
        return await self.call("PUT", path, AnnounceRequest(version))

    async def drain(self, target: str, drain: bool) -> dict:
        """Start (`drain` is True) or end the drain of a target."""
        path = f"/v1/targets/{quote(target, safe='')}/drain"
        return await self.call("POST", path, DrainRequest(drain))

    async def explain(self, subject: str) -> list[dict]:
        """Return the decisions about a request or a sample, attempt by attempt."""
        return await self.call("GET", f"/v1/explain/{quote(subject)}", None, list)

    async def manifest(self) -> dict:
        """Return the manifest revision that a gateway has in force, empty if there is none."""
        return await self.call("GET", "/v1/manifest")

    async def unwritten_audit(self) -> list[dict]:
        """Return the audit records that the gateways have not written to the object API yet."""
        return await self.call("GET", "/v1/audit/unwritten", None, list)
