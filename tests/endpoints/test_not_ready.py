"""The verdict on requests at a gateway that has no configuration yet (G5)."""

import pytest

from tests.builders.endpoints import error_of, open_endpoint


@pytest.mark.parametrize(
    ("headers", "verdict"),
    [((), "not_run"), (("Idempotency-Key: k1",), "may_have_run")],
)
async def test_request_with_a_key_may_have_run_through_another_gateway(headers, verdict):
    """Guards against "not run" for a request that another gateway may have run with its key."""
    async with open_endpoint() as endpoint:
        endpoint.gateway.ready = lambda: False
        response = await endpoint.request("POST", "/services/portal/orders", b"{}", headers)
        error = error_of(response)
        assert (response[0], error["code"], error["verdict"]) == (503, "not_ready", verdict)
