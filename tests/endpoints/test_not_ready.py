"""Guards "not run" at a gateway that has no configuration yet (G5)."""

import pytest

from tests.builders.endpoints import error_of, open_endpoint


@pytest.mark.parametrize(
    ("headers", "verdict"),
    [((), "not_run"), (("Idempotency-Key: k1",), "may_have_run")],
)
async def test_a_keyed_request_may_have_run_through_another_gateway(headers, verdict):
    async with open_endpoint() as endpoint:
        endpoint.gateway.ready = lambda: False
        answer = await endpoint.request("POST", "/services/portal/orders", b"{}", headers)
        error = error_of(answer)
        assert (answer[0], error["code"], error["verdict"]) == (503, "not_ready", verdict)
