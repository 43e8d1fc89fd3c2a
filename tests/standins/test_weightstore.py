"""Tests the weight store stand-in, whose rate limit the pacing of prepare orders respects."""

import asyncio

from tests.standins.calls import call, serving, set_faults
from turmericreach_standins.weightstore import WeightStoreSettings, create_weightstore


async def test_versions_rate_limit_and_faults():
    """Guards against downloads beyond the rate limit, and faults without effect."""
    async with serving(create_weightstore(WeightStoreSettings(rate_per_s=0.5, burst=1))) as store:
        await call(store, "PUT", "/weights/m/10", b"ten")
        await call(store, "PUT", "/weights/m/9", b"nine")
        assert (await call(store, "GET", "/weights/m"))[2] == {"versions": [9, 10]}
        assert (await call(store, "GET", "/weights/m/10"))[2] == b"ten"
        status, headers, _ = await call(store, "GET", "/weights/m/10")
        assert (status, headers["retry-after"]) == (429, "2")
        assert (await call(store, "GET", "/standin/record"))[2]["refused"] == 1
        await set_faults(store, slow_ms=100)
        start = asyncio.get_running_loop().time()
        await call(store, "GET", "/weights/m")
        assert asyncio.get_running_loop().time() - start >= 0.1
        await set_faults(store, down=True)
        assert (await call(store, "GET", "/weights/m"))[0] == 503
